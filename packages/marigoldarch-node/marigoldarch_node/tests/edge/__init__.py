"""Tests of the HTTP interfaces and the links between nodes."""
