"""Exchange of the contention state between entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sassafrastally.proxy.contention.contention_news import NO_CONTENTION_NEWS

if TYPE_CHECKING:
    from sassafrastally.proxy.contention.contention_news import ContentionNews


class ContentionExchange(Protocol):
    """Source and receiver of contention state for the datagram exchange."""

    def news_to_send(self, now_s: float) -> ContentionNews:
        """Return this entry's own state."""
        ...

    def apply(self, news: ContentionNews, now_s: float) -> None:
        """Apply the state received from a peer or another data centre."""
        ...


class NullContentionExchange:
    """Exchange that sends nothing and ignores what is received; used as the default."""

    def news_to_send(self, now_s: float) -> ContentionNews:
        """Return no state."""
        return NO_CONTENTION_NEWS

    def apply(self, news: ContentionNews, now_s: float) -> None:
        """Ignore the received state."""
