"""The commands, one module each, and `subtrees`, which they share."""
