"""Pass-through serving: routes, placement on engines, retries and refusals, without I/O."""
