"""Tests of the time line and its clock."""
