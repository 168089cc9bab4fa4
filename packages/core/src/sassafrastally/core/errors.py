"""Exceptions with numeric codes.

Every exception that the project raises deliberately derives from `CodedError` and has a unique
registered code. Each package has its own range of codes by thousands: core 1, wire 2, platform 3,
control 4, serving 5, entry 6, sidecar 7, cli 8, testing 9.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

E = TypeVar("E", bound="type[CodedError]")

ERRORS: dict[int, type[CodedError]] = {}
"""Registered exceptions by code; the errors reference page is generated from it."""


class CodedError(Exception):
    """Base of all exceptions of the project."""

    code: ClassVar[int] = 0
    """Code of the exception in the errors reference page."""

    def __str__(self) -> str:
        return f"[E{self.code}] {super().__str__()}"

    @property
    def detail(self) -> str:
        """The message without the code."""
        return super().__str__()


def error(code: int) -> Callable[[E], E]:
    """Return a class decorator that registers an exception under its code.

    Raises
    ------
    ValueError
        If the code is already registered or the exception has no docstring.
    """

    def decorate(cls: E) -> E:
        if code in ERRORS:
            raise ValueError(f"error code {code} is already registered by {ERRORS[code].__name__}")
        if not cls.__doc__:
            raise ValueError(f"{cls.__name__} needs a docstring for the errors reference page")
        cls.code = code
        ERRORS[code] = cls
        return cls

    return decorate
