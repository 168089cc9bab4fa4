"""Validation rules for bundles beyond their types, applied when compiling and when decoding."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any, NamedTuple

from sassafrastally.control.bundle import (
    Bundle,
    Customer,
    Drain,
    Limits,
    Model,
    PlainService,
    Weights,
)
from sassafrastally.control.canonical import is_digest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Sequence

MAX_INTEGER = 2**53
"""Largest integer; other JSON libraries may not read larger ones exactly."""
MAX_PRIORITY = 1_000
MAX_CUSTOMERS = 50_000
MAX_MODELS = 1_000
MAX_SERVICES = 1_000
MAX_KEYS = 64
"""Maximum number of API keys per customer."""

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._/-]{0,127}")
METHOD = re.compile(r"[A-Z]{1,32}")


class Problem(NamedTuple):
    """A violated rule, at a key such as ``customers[3].models``."""

    key: str
    message: str


class Bound(NamedTuple):
    """Inclusive range of a number."""

    low: float
    high: float


_COUNT = Bound(0, MAX_INTEGER)
_BOUNDS: dict[type[Any], dict[str, Bound]] = {
    Model: {"max_context_tokens": Bound(1, MAX_INTEGER), "min_replicas": Bound(1, 100_000)},
    Customer: {
        "share": Bound(1e-6, 1e6),
        "rate_tokens_per_s": _COUNT,
        "burst_tokens": _COUNT,
        "max_concurrent": _COUNT,
        "priority": Bound(-MAX_PRIORITY, MAX_PRIORITY),
    },
    PlainService: {"max_concurrent": _COUNT, "time_limit_s": Bound(0.001, 86_400)},
    Weights: {
        "short_slowdown": Bound(0, 1e6),
        "long_first_token": Bound(0, 1e6),
        "short_tokens": _COUNT,
        "long_tokens": _COUNT,
    },
    Limits: {
        "default_time_limit_s": Bound(0.001, 86_400),
        "max_time_limit_s": Bound(0.001, 86_400),
        "max_body_bytes": Bound(1, MAX_INTEGER),
        "max_output_tokens": Bound(1, MAX_INTEGER),
        "max_attempts": Bound(1, 100),
        "retry_ratio": Bound(0, 1),
    },
    Drain: {},
}


def entry_problems(entry: object, key: str) -> Iterator[Problem]:
    """Yield the problems of one entry or table."""
    for field, bound in _BOUNDS[type(entry)].items():
        value = getattr(entry, field)
        if not bound.low <= value <= bound.high:
            message = f"must be {bound.low:g} to {bound.high:g}, not {value!r}"
            yield Problem(f"{key}.{field}", message)
    if hasattr(entry, "name"):
        yield from name_problems(entry.name, f"{key}.name")
    if isinstance(entry, Model):
        yield from _list_problems(entry.adapters, f"{key}.adapters", _is_name, "a name")
    elif isinstance(entry, Customer):
        yield from _customer_problems(entry, key)
    elif isinstance(entry, PlainService):
        methods = entry.idempotent_methods
        yield from _list_problems(methods, f"{key}.idempotent_methods", _is_method, "a method")
    elif isinstance(entry, Drain):
        yield from _list_problems(entry.vms, f"{key}.vms", _is_name, "a name")
    elif isinstance(entry, Limits) and entry.default_time_limit_s > entry.max_time_limit_s:
        yield Problem(f"{key}.default_time_limit_s", "must not be over max_time_limit_s")
    elif isinstance(entry, Weights) and entry.short_tokens >= entry.long_tokens:
        yield Problem(f"{key}.short_tokens", "must be under long_tokens")


def name_problems(name: str, key: str) -> Iterator[Problem]:
    """Yield the problems of a name."""
    if not _is_name(name):
        yield Problem(key, f"must match {NAME.pattern}, not {name!r}")


def bundle_problems(bundle: Bundle) -> Iterator[Problem]:
    """Yield the problems across the entries of a bundle."""
    yield from _size_problems(bundle)
    yield from _duplicate_problems("models", [model.name for model in bundle.models])
    yield from _duplicate_problems("customers", [customer.name for customer in bundle.customers])
    yield from _duplicate_problems("services", [service.name for service in bundle.services])
    known = {model.name for model in bundle.models}
    owners: dict[str, str] = {}
    for index, customer in enumerate(bundle.customers):
        for name in customer.models:
            if name not in known:
                yield Problem(f"customers[{index}].models", f"no such model: {name!r}")
        for digest in customer.key_digests:
            owner = owners.setdefault(digest, customer.name)
            if owner != customer.name:
                message = f"a key digest also belongs to customer {owner!r}"
                yield Problem(f"customers[{index}].key_digests", message)


def _size_problems(bundle: Bundle) -> Iterator[Problem]:
    for key, entries, max_entries in (
        ("models", bundle.models, MAX_MODELS),
        ("customers", bundle.customers, MAX_CUSTOMERS),
        ("services", bundle.services, MAX_SERVICES),
    ):
        if len(entries) > max_entries:
            yield Problem(key, f"at most {max_entries}, not {len(entries)}")


def _duplicate_problems(key: str, names: Sequence[str]) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            yield Problem(f"{key}[{index}].name", f"duplicate name {name!r}")
        seen.add(name)


def _customer_problems(customer: Customer, key: str) -> Iterator[Problem]:
    if len(customer.key_digests) > MAX_KEYS:
        yield Problem(f"{key}.key_digests", f"at most {MAX_KEYS} keys")
    # The value may be a bearer key pasted by mistake, so the message doesn't contain it.
    if not all(is_digest(digest) for digest in customer.key_digests):
        yield Problem(f"{key}.key_digests", "must be 64 lowercase hexadecimal digits")
    if len(set(customer.key_digests)) != len(customer.key_digests):
        yield Problem(f"{key}.key_digests", "contains a duplicate digest")
    yield from _list_problems(customer.models, f"{key}.models", _is_name, "a name")


def _list_problems(
    values: Sequence[str], key: str, is_valid: Callable[[str], bool], expected: str
) -> Iterator[Problem]:
    if not all(is_valid(value) for value in values):
        yield Problem(key, f"each must be {expected}")
    if len(set(values)) != len(values):
        yield Problem(key, "contains a duplicate entry")


def _is_name(name: str) -> bool:
    return NAME.fullmatch(name) is not None


def _is_method(method: str) -> bool:
    return METHOD.fullmatch(method) is not None
