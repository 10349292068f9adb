"""A server of the same libraries that does nothing: the floor of a node's memory."""

from __future__ import annotations

import sys

import trio

from marigoldarch_fakes.serving import serve_routes

if __name__ == "__main__":
    trio.run(serve_routes, [], sys.argv[1])
