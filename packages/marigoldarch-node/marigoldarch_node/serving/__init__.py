"""Process of a serving node: entries, which proxy requests to HTTP targets, and control hosts."""
