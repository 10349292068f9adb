"""Tests of the package, in the same folders as the modules under test."""
