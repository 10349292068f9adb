"""Tests of the shell of pass-through serving."""
