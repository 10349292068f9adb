"""Durable storage of the replicated log and of the known targets."""
