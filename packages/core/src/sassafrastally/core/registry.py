"""Registries populated by decorators."""

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
        Singular noun for an entry, used in messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers an entry under a name.

        Raises
        ------
        ValueError
            If the name is already registered.
        """

        def decorate(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return decorate

    def get(self, name: str) -> T:
        """Return the entry registered under a name.

        Raises
        ------
        KeyError
            If there is none; the message lists the registered names.
        """
        try:
            return self._entries[name]
        except KeyError:
            known = ", ".join(sorted(self._entries)) or "none"
            raise KeyError(f"no {self.kind} named {name!r}; known: {known}") from None

    def names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self._entries)

    def __contains__(self, name: object) -> bool:
        return name in self._entries

    def __iter__(self) -> Iterator[tuple[str, T]]:
        return iter(sorted(self._entries.items()))

    def __len__(self) -> int:
        return len(self._entries)
