"""Tests of request proxying."""
