"""Errors that a nursery has wrapped."""

from __future__ import annotations

from typing import NoReturn

import trio


def first_error(errors: BaseExceptionGroup) -> BaseException:
    """Return the error that ended a nursery; the cancellation if there is no other."""
    _, others = errors.split(trio.Cancelled)
    error: BaseException = others or errors
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def raise_first(errors: BaseExceptionGroup) -> NoReturn:
    """Raise the error that ended a nursery in place of its group.

    The error refers neither to the group nor, by its traceback, to itself: such a circle would hold
    the request that it ends until a garbage collection.
    """
    error = first_error(errors)
    try:
        raise error from None
    finally:
        error.__context__ = None
        del error, errors
