"""Declared options of the node and their validation."""
