"""A replicated document: one text with a version, on the project's own log."""
