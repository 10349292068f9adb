"""Compares placement policies under load patterns, on engines simulated by the engine formula."""
