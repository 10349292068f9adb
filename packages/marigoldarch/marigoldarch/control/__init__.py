"""Replicated control state: log, election, sessions, leases and assignments."""
