"""A replicated document: one text with a version, stored through the replicated log."""
