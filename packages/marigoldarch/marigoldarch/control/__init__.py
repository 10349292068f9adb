"""The replicated control state: log, elections, sessions, leases and pool assignments."""
