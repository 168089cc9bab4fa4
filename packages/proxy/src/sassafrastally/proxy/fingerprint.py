"""Fingerprints that identify equal requests across retries.

A caller's retry has a new request id, may arrive at another entry and may resume a stream
elsewhere. Its customer, method, host, target and body stay the same and determine what a backend
server does.
"""

from __future__ import annotations

import hashlib
import re

DIGEST_BYTES = 8
"""Length of a fingerprint. At a million requests per second, a chance collision occurs once in
about a hundred thousand years; forging another customer's fingerprint takes 2^64 bodies."""


_TEXT = re.compile(r"[0-9a-f]{16}")


def request_fingerprint(customer: str, method: bytes, host: str, target: bytes, body: bytes) -> int:
    """Return the fingerprint of a request.

    Parameters
    ----------
    customer
        Customer of the request; empty where no key is required. Included so that no customer can
        produce the fingerprint of another customer's request.
    method, host, target
        HTTP method, host, and target with its query.
    body
        The whole body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (customer.encode(), method, host.encode(), target):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big")


def fingerprint_text(fingerprint: int) -> str:
    """Format a fingerprint for logs, answers and store keys."""
    return f"{fingerprint:016x}"


def parse_fingerprint(text: str) -> int:
    """Parse the text of a fingerprint; raises `ValueError`."""
    if not _TEXT.fullmatch(text):
        raise ValueError(f"invalid fingerprint: {text[:40]!r}")
    return int(text, 16)
