"""An HTTP server without routes, built on the libraries of a node.

Its resident memory is the minimum that a node can have.
"""

from __future__ import annotations

import sys

import trio

from marigoldarch_fakes.serving import serve_routes

if __name__ == "__main__":
    trio.run(serve_routes, [], sys.argv[1])
