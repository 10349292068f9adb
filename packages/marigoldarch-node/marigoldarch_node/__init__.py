"""The I/O of a marigoldarch node: sockets, files, clocks, logs and metrics around the reducer."""
