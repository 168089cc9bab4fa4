"""Who calls: customers by the digests of their bearer keys."""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING

from sassafrastally.serving.refusals import Refusal

if TYPE_CHECKING:
    from sassafrastally.control.bundle import BundleInForce, Customer

_SCHEME = "bearer"


class Callers:
    """Finds the customer of a key in the bundle in force.

    The index is made anew with each generation, so that a key that a roll takes away is refused
    from the next request on.
    """

    def __init__(self) -> None:
        self._generation = -1
        self._by_digest: dict[str, Customer] = {}

    def customer(self, in_force: BundleInForce, authorization: str | None) -> Customer:
        """Return the customer of an ``Authorization`` header.

        Raises
        ------
        Refusal
            ``unknown-customer`` when there is none.
        """
        if in_force.generation != self._generation:
            self._by_digest = {
                digest.lower(): customer
                for customer in in_force.bundle.customers
                for digest in customer.key_digests
            }
            self._generation = in_force.generation
        scheme, _, key = (authorization or "").partition(" ")
        # Keys are looked up by digest: what the comparison's time tells is of no use to a caller.
        found = self._by_digest.get(sha256(key.strip().encode()).hexdigest())
        if scheme.lower() != _SCHEME or found is None:
            raise Refusal("unknown-customer")
        return found
