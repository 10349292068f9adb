"""Failures of real processes over real sockets and files."""
