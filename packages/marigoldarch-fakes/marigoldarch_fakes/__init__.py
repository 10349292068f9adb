"""Stand-ins for targets and callers, used by tests, the demo and measurements."""
