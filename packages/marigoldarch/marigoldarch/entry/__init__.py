"""The entry node's part: admission, limits, attempts, retries and the directory of nodes."""
