"""The pure core of marigoldarch: events in, effects out, with no I/O and no clock reads."""
