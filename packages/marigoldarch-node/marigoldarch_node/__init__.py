"""The shell of a marigoldarch node: sockets, files, clocks, logs and metrics around the core."""
