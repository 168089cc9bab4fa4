"""Where a request is placed under which a server has crashed.

The load that it answers: a server crashes with some eight requests on it, one of which was the
cause. Entries that all choose the least busy server sent them to the same next one, where the
harmful one broke them all off again, for good: routes allow two attempts. Each draws its own few
servers instead, so that most part from the harmful one, and its next crash tells them apart. A body
that many callers ask for draws the same ones for all of them, so that fewer crash at once.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sassafrastally.proxy.lanes import ServerView

DRAWN = 2
"""Servers that a request draws. With one it would wait behind whatever is there; the less busy one
of two is nearly as good as the least busy of all, and eight requests on 14 servers meet rarely."""


def drawn_apart(views: Sequence[ServerView], fingerprint: int) -> list[ServerView]:
    """Return the servers among which a request is placed, in the order that all entries share.

    Parameters
    ----------
    views
        Servers that may get the request.
    fingerprint
        The request; each entry draws the same servers for it.
    """
    key = fingerprint.to_bytes(8, "big")

    def rank(view: ServerView) -> bytes:
        digest = hashlib.blake2b(view.server.life_id.encode(), digest_size=8, key=key)
        return digest.digest()

    drawn = sorted(views, key=rank)[:DRAWN]
    return [view for view in views if view in drawn]
