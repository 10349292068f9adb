"""A virtual-time bench of scheduling policies against a small engine model."""
