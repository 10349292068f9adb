"""A model of engines by their published formula, to compare placements under load patterns."""
