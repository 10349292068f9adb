"""HTTP interfaces for callers, operators and targets, and the links between nodes."""
