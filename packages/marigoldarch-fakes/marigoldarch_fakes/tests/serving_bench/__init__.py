"""Tests of the comparison of placement policies."""
