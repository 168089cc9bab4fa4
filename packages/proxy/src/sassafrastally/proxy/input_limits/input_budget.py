"""Accounts of unfinished input, whose largest holder is ended when the budget is exceeded."""

from __future__ import annotations

import math
from contextlib import contextmanager
from typing import TYPE_CHECKING

import trio

from sassafrastally.core import CodedError, error
from sassafrastally.core.held_input import HeldInput
from sassafrastally.proxy.input_limits.bounds import InputExcess, InputPlace

if TYPE_CHECKING:
    from collections.abc import Iterator


@error(10007)
class InputBudgetExceeded(CodedError):
    """A reader held the most unfinished input when the budget of the process was exceeded."""

    def __init__(self, held_bytes: int, most_bytes: float) -> None:
        self.excess = InputExcess(InputPlace.ALL, held_bytes, int(most_bytes))
        super().__init__(str(self.excess))


class InputBudget:
    """Budget of a process for the bytes of input that isn't complete yet.

    Parameters
    ----------
    most_bytes
        Bound for all accounts together, as from `most_held_bytes`.
    """

    def __init__(self, most_bytes: float = math.inf) -> None:
        self.most_bytes = most_bytes
        self._held: HeldInput[InputAccount] = HeldInput(most_bytes)

    @property
    def held_bytes(self) -> int:
        """Bytes of all accounts together."""
        return self._held.total_bytes + self._held.kept_bytes

    @contextmanager
    def account(self) -> Iterator[InputAccount]:
        """Yield an account whose bytes are freed on exit."""
        account = InputAccount(self)
        try:
            yield account
        finally:
            account.close()

    def record(self, account: InputAccount) -> None:
        """Take over the bytes of an account; end the largest ones beyond the bound."""
        for largest in self._held.hold(account, account.held_bytes):
            largest.end()

    def keep(self, account: InputAccount) -> int:
        """Count the bytes of an account as complete input in use; return their number."""
        return self._held.keep(account)

    def release(self, account: InputAccount, kept_bytes: int) -> None:
        """Forget an account and the bytes of its complete input."""
        self._held.release(account)
        self._held.release_kept(kept_bytes)


class InputAccount:
    """The bytes that one reader holds.

    An ended reader gets `InputBudgetExceeded` from its next call to `add`, or at once while it
    waits inside of `reading`.
    """

    def __init__(self, budget: InputBudget) -> None:
        self.held_bytes = 0
        """Number of bytes that it holds."""
        self.is_ended = False
        """Whether the reader must give up."""
        self._budget = budget
        self._kept_bytes = 0
        self._is_closed = False
        self._scopes: set[trio.CancelScope] = set()

    def add(self, number_bytes: int) -> None:
        """Record bytes that are held from now on; negative for bytes that have been handed on.

        Raises
        ------
        InputBudgetExceeded
            If the reader has been ended.
        """
        if self._is_closed:
            return
        if not self.is_ended and number_bytes:
            self.held_bytes += number_bytes
            self._budget.record(self)
        self.check()

    def keep(self) -> None:
        """Record that the input is complete and in use; it counts until the account is closed."""
        self._kept_bytes += self._budget.keep(self)
        self.held_bytes = 0

    def check(self) -> None:
        """Raise `InputBudgetExceeded` if the reader has been ended."""
        if self.is_ended:
            raise InputBudgetExceeded(self.held_bytes, self._budget.most_bytes)

    @contextmanager
    def reading(self) -> Iterator[None]:
        """Surround a wait for input, which is cancelled when the reader is ended.

        Raises
        ------
        InputBudgetExceeded
            If the reader has been ended.
        """
        self.check()
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)
        self.check()

    def end(self) -> None:
        """Make the reader give up."""
        self.is_ended = True
        for scope in self._scopes:
            scope.cancel()

    def close(self) -> None:
        """Free all its bytes; what is added later doesn't count."""
        self._is_closed = True
        self._budget.release(self, self._kept_bytes)
