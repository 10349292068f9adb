"""Capacity measurements: slopes of processor time, bytes and memory, and what they come to."""
