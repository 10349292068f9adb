"""The pure core of marigoldarch: maps events to effects without I/O and clock reads."""
