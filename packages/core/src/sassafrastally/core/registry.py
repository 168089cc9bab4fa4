"""Registries that decorators fill."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

T = TypeVar("T")


class Registry(Generic[T]):
    """Named entries of one kind, each registered by a decorator.

    Parameters
    ----------
    kind
        What the entries are, in the singular; used in messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers an entry under a name.

        Raises
        ------
        ValueError
            When the name is taken.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry of a name.

        Raises
        ------
        KeyError
            When there is none; the message lists the names that exist.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(sorted(self._entries)) or "none"
            raise KeyError(f"no {self.kind} named {name!r}; known: {known}") from None

    def names(self) -> list[str]:
        """Return the names, sorted."""
        return sorted(self._entries)

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[tuple[str, T]]:
        return iter(sorted(self._entries.items()))

    def __len__(self) -> int:
        return len(self._entries)
