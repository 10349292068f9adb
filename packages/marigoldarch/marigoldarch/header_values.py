"""Which names can be sent as the value of an HTTP header (RFC 9110, section 5.5)."""

from __future__ import annotations

import re

# No control characters, no blanks at the ends, and no surrogates, which UTF-8 cannot encode.
_VALUE = re.compile(
    r"[^\x00-\x20\x7f\ud800-\udfff](?:[^\x00-\x1f\x7f\ud800-\udfff]*[^\x00-\x20\x7f\ud800-\udfff])?"
)


def is_header_value(text: str) -> bool:
    """Return whether a text that is not empty arrives as it is, encoded as UTF-8."""
    return _VALUE.fullmatch(text) is not None
