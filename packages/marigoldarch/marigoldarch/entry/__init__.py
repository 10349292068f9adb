"""Entry of requests: admission, attempts, deadlines and the directory."""
