"""The interfaces to callers, operators, targets and peers."""
