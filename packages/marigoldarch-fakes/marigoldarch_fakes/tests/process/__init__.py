"""Tests of failures in clusters of real processes with real sockets and files."""
