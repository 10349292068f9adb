"""Tests of the process of a serving node."""
