"""Declared state: teams and their subtrees, validation and comparison."""
