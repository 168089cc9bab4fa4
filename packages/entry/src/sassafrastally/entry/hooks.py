"""Access of the request path to optional services of the process: limits and receipts."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

from sassafrastally.serving.limits import Admission, LimitService
from sassafrastally.serving.receipts import ReceiptFacts, ReceiptService

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sassafrastally.control.bundle import Customer
    from sassafrastally.control.interfaces import BundleSource
    from sassafrastally.core import Kernel
    from sassafrastally.serving.refusals import Refusal


class RefusedCall(NamedTuple):
    """Request and customer of a refused call, where known at the time of the refusal."""

    request_id: str = ""
    customer: str = ""


@asynccontextmanager
async def admitted(kernel: Kernel, customer: Customer, tokens: int) -> AsyncIterator[Admission]:
    """Count a request against the customer's limits for the duration of the context.

    Raises
    ------
    Refusal
        ``rate-limit`` or ``concurrency-limit``.
    """
    if not kernel.has(LimitService.name):
        yield Admission(tokens)
        return
    limits = kernel.get(LimitService.name, LimitService)
    async with limits.admit(customer, tokens) as admission:
        yield admission


def seal_receipt(
    kernel: Kernel, bundle: BundleSource, refusal: Refusal, refused: RefusedCall
) -> str:
    """Return the receipt of a refusal; empty if the process has no receipt service."""
    if not kernel.has(ReceiptService.name):
        return ""
    in_force = bundle.in_force
    figures = refusal.figures
    facts = ReceiptFacts(
        request_id=refused.request_id,
        code=refusal.kind.code,
        outcome=str(refusal.outcome),
        limit=float(figures.limit),
        measured=float(figures.measured),
        unit=refusal.kind.limit_unit,
        retry_after_s=float(figures.retry_after_s),
        generation=in_force.generation if in_force else 0,
        digest=in_force.digest if in_force else "",
        wall_s=kernel.clock.wall_s(),
        customer=refused.customer,
        vm=kernel.vm,
        data_centre=kernel.data_centre,
    )
    return kernel.get(ReceiptService.name, ReceiptService).seal(facts)
