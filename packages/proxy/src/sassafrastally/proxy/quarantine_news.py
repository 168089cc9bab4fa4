"""Exchange between entries of requests during which backend servers crash."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class CrashNews(NamedTuple):
    """A server crashed while it ran a request."""

    fingerprint: int
    server: int
    """Hash of the server's incarnation."""
    age_s: float
    is_presumed: bool = False
    """Whether it isn't certain yet that the server has crashed."""


class VerdictNews(NamedTuple):
    """A request is quarantined."""

    fingerprint: int
    left_s: float
    crashes: int
    """Servers that crashed while running it."""


class AnswerNews(NamedTuple):
    """A request during which servers crashed has been answered."""

    fingerprint: int
    age_s: float


class QuarantineNews(NamedTuple):
    """Records about harmful requests sent to peers."""

    crashes: tuple[CrashNews, ...] = ()
    verdicts: tuple[VerdictNews, ...] = ()
    answers: tuple[AnswerNews, ...] = ()


NO_NEWS = QuarantineNews()


class QuarantineExchange(Protocol):
    """Source and receiver of quarantine records for the datagram exchange."""

    def own_news(self, *, is_full: bool) -> QuarantineNews:
        """Return the records that this entry has made itself; if `is_full`, older ones too."""
        ...

    def all_news(self, *, is_full: bool) -> QuarantineNews:
        """Return all records, those of peers included, on behalf of a data centre."""
        ...

    def take(self, news: QuarantineNews) -> bool:
        """Apply a peer's records; return whether to forward them to other data centres at once."""
        ...


class NullQuarantineExchange:
    """Placeholder until the quarantine has started; sends and records nothing."""

    def own_news(self, *, is_full: bool) -> QuarantineNews:
        """Return no news."""
        return NO_NEWS

    def all_news(self, *, is_full: bool) -> QuarantineNews:
        """Return no news."""
        return NO_NEWS

    def take(self, news: QuarantineNews) -> bool:
        """Ignore the records; the peers repeat them."""
        return False
