"""Capacity measurements: how processor time, bytes and memory grow with size, and role costs."""
