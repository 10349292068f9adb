"""Tests of the capacity measurements."""
