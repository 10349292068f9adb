"""Tests of the durable files of a replica and of a control host."""
