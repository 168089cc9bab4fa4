"""Errors of a connection, as the code that reads or writes it gets them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sassafrastally.core import CodedError, error

if TYPE_CHECKING:
    from sassafrastally.proxy.input_limits import InputExcess


@error(10004)
class ConnectionLost(CodedError):
    """The connection ended or received bytes that aren't valid HTTP."""

    is_refused = False
    """Whether the host refused the connection because no process listens on the port."""
    is_own_shortage = False
    """Whether this process lacked the resources for a connection, so that nothing was tried."""


@error(10008)
class InputTooLong(ConnectionLost):
    """A backend server sent more than the bound of a part of its response."""

    def __init__(self, excess: InputExcess) -> None:
        self.excess = excess
        super().__init__(str(excess))
