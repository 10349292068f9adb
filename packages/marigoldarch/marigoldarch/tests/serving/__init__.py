"""Tests of pass-through serving."""
