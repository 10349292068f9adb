"""The time line: events of a node, ordered by a hybrid logical clock."""
