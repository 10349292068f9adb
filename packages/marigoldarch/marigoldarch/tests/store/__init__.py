"""Tests of the replicated document."""
