"""Tests of keys and certificates."""
