"""Stateful fuzzing of the real reducers, checked against oracles that keep only what was observed."""
