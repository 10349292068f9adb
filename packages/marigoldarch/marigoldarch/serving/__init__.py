"""Request proxying without I/O: routing, placement on engines, retries and refusals."""
