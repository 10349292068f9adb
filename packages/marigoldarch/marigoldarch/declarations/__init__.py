"""Declarations of teams and operators: schema, validation and comparison."""
