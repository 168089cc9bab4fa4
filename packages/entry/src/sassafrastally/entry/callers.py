"""Authentication of callers: finds customers by the digests of their bearer keys."""

from __future__ import annotations

from hashlib import sha256
from typing import TYPE_CHECKING

from sassafrastally.serving.refusals import Refusal

if TYPE_CHECKING:
    from sassafrastally.control.bundle import BundleInForce, Customer

_SCHEME = "bearer"


class Callers:
    """Finds the customer that a key belongs to, in the bundle in force.

    The index is rebuilt for each generation, so that a key removed by a roll is rejected from the
    next request on.
    """

    def __init__(self) -> None:
        self._generation = -1
        self._by_digest: dict[str, Customer] = {}

    def customer(self, in_force: BundleInForce, authorization: str | None) -> Customer:
        """Return the customer of an ``Authorization`` header.

        Raises
        ------
        Refusal
            ``unknown-customer`` if there is none.
        """
        if in_force.generation != self._generation:
            self._by_digest = {
                digest.lower(): customer
                for customer in in_force.bundle.customers
                for digest in customer.key_digests
            }
            self._generation = in_force.generation
        scheme, _, key = (authorization or "").partition(" ")
        # Keys are looked up by digest, so the timing of the lookup reveals nothing useful.
        found = self._by_digest.get(sha256(key.strip().encode()).hexdigest())
        if scheme.lower() != _SCHEME or found is None:
            raise Refusal("unknown-customer")
        return found
