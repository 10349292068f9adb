"""Access keys and TLS certificates of a node, and their reloading."""
