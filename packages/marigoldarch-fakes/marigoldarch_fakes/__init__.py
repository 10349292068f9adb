"""Small stand-ins for targets and callers, for tests and measurements."""
