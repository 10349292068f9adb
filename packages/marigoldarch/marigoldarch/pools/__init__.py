"""Pool scheduling: targets, permits, queues and placement."""
