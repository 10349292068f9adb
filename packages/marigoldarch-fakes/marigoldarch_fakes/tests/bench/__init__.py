"""Tests of the scheduling benchmark."""
