"""What entries tell each other of requests under which backend servers crash."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class CrashNews(NamedTuple):
    """A server crashed while it ran a request."""

    fingerprint: int
    server: int
    """Hash of the server's life."""
    age_s: float
    is_presumed: bool = False
    """Whether the server's end isn't certain yet."""


class VerdictNews(NamedTuple):
    """A request is quarantined."""

    fingerprint: int
    left_s: float
    crashes: int
    """Servers that crashed under it."""


class AnswerNews(NamedTuple):
    """A request under which servers crashed has brought an answer."""

    fingerprint: int
    age_s: float


class QuarantineNews(NamedTuple):
    """What entries tell each other of harmful requests."""

    crashes: tuple[CrashNews, ...] = ()
    verdicts: tuple[VerdictNews, ...] = ()
    answers: tuple[AnswerNews, ...] = ()


NO_NEWS = QuarantineNews()


class QuarantineExchange(Protocol):
    """What entries tell each other of harmful requests, as the exchange of datagrams sees it."""

    def own_news(self, *, is_full: bool) -> QuarantineNews:
        """Return what this entry has seen itself; with older news if `is_full`."""
        ...

    def all_news(self, *, is_full: bool) -> QuarantineNews:
        """Return also what others have told, on behalf of a data centre."""
        ...

    def take(self, news: QuarantineNews) -> bool:
        """Take what a peer tells; return whether other data centres should hear of it at once."""
        ...


class NothingQuarantined:
    """Stands in until the quarantine has started."""

    def own_news(self, *, is_full: bool) -> QuarantineNews:
        """Return no news."""
        return NO_NEWS

    def all_news(self, *, is_full: bool) -> QuarantineNews:
        """Return no news."""
        return NO_NEWS

    def take(self, news: QuarantineNews) -> bool:
        """Leave it: it is told again."""
        return False
