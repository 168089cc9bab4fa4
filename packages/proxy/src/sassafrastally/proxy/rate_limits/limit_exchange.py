"""Exchange of backend servers' rate limits between entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from sassafrastally.proxy.rate_limits.share_grants import NO_SHARE_NEWS, ShareNews

if TYPE_CHECKING:
    from collections.abc import Mapping


class LimitReport(NamedTuple):
    """Latest rate limit that a server announced."""

    most_per_s: float | None
    """Requests per second over all entries; ``None`` if the server no longer has a limit."""
    age_s: float


class LimitExchange(Protocol):
    """Source and receiver of server limits for the datagram exchange."""

    def limits_to_send(self) -> Mapping[int, LimitReport]:
        """Return the limits to send, by hash of the server's incarnation, the latest first."""
        ...

    def apply(self, limits: Mapping[int, LimitReport], host: str) -> None:
        """Apply the limits received from a peer."""
        ...

    def shares_to_send(self) -> ShareNews:
        """Return the demand for shares of limits and the grants to send."""
        ...

    def apply_shares(self, news: ShareNews, host: str) -> None:
        """Apply the demand and the grants received from a peer."""
        ...


class NullLimitExchange:
    """Exchange that sends no limits and ignores received ones; used as the default."""

    def limits_to_send(self) -> Mapping[int, LimitReport]:
        """Return no limits."""
        return {}

    def apply(self, limits: Mapping[int, LimitReport], host: str) -> None:
        """Ignore received limits."""

    def shares_to_send(self) -> ShareNews:
        """Return no demand and no grants."""
        return NO_SHARE_NEWS

    def apply_shares(self, news: ShareNews, host: str) -> None:
        """Ignore received demand and grants."""
