"""A benchmark of scheduling policies, on simulated engines in virtual time."""
