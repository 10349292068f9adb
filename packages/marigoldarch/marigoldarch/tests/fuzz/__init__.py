"""Stateful fuzzing of real reducers against simple oracles."""
