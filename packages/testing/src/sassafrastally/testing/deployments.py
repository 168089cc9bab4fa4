"""Both deployments of the users, in small and at their sizes."""

from __future__ import annotations

from typing import NamedTuple

from sassafrastally.control.bundle import Bundle, Customer, Limits, Model, PlainService, Weights
from sassafrastally.testing.deployment import DeploymentShape, VmSpec, key_digest
from sassafrastally.testing.engine_model import EngineShape


class UserDeployment(NamedTuple):
    """What tells one user's deployment from the other's."""

    name: str
    title: str
    region: str
    data_centres: tuple[str, ...]
    model: str
    service: str
    weights: Weights
    small_customer: str
    large_customer: str
    note: str
    """A short prompt of theirs."""
    dossier_opening: str
    """How a long prompt of theirs begins."""
    booking: str
    """Body of a call that may not be repeated."""


YESO_JUSTO = UserDeployment(
    name="yeso-justo",
    title="Yeso Justo: plasterers in Montevideo and the interior",
    region="uy-sur",
    data_centres=("sala-cordon", "sala-prado", "sala-cerro"),
    model="crew-planner",
    service="agenda",
    weights=Weights(short_slowdown=2.0, long_first_token=1.0),
    small_customer="crew-leaders",
    large_customer="renovations",
    note="Two rooms in Prado, lime plaster, Friday before noon?",
    dossier_opening="Renovation file, house of three floors. ",
    booking='{"marker": "crew 7, Friday"}',
)

SONDRIO = UserDeployment(
    name="sondrio",
    title="Sondrio: parcels for crossing into Switzerland",
    region="lombardia-nord",
    data_centres=("sondrio", "tirano", "chiavenna"),
    model="parcel-reader",
    service="crossings",
    weights=Weights(short_slowdown=1.0, long_first_token=2.0),
    small_customer="counter",
    large_customer="dossiers",
    note="Duty on twelve kilograms of chestnuts?",
    dossier_opening="Seasonal dossier, consignment manifest. ",
    booking='{"marker": "lorry 17, Monday"}',
)

USER_DEPLOYMENTS = (YESO_JUSTO, SONDRIO)

SMALL_RATE_TOKENS_PER_S = 50.0
SMALL_BURST_TOKENS = 600


def customer_key(customer: str) -> str:
    """Return the bearer key of a customer of these deployments."""
    return f"{customer}-key"


def make_bundle(user: UserDeployment, max_context_tokens: int = 200_000) -> Bundle:
    """Return a small bundle of a user's deployment."""
    return Bundle(
        name=user.name,
        models=(Model(user.model, "1", max_context_tokens),),
        customers=(
            Customer(
                name=user.small_customer,
                key_digests=(key_digest(customer_key(user.small_customer)),),
                share=2.0,
                rate_tokens_per_s=SMALL_RATE_TOKENS_PER_S,
                burst_tokens=SMALL_BURST_TOKENS,
            ),
            Customer(
                name=user.large_customer,
                key_digests=(key_digest(customer_key(user.large_customer)),),
                priority=1,
            ),
        ),
        services=(PlainService(user.service, max_concurrent=4, time_limit_s=10.0),),
        weights=user.weights,
        limits=Limits(default_time_limit_s=30.0),
    )


def make_shape(user: UserDeployment, engine: EngineShape | None = None) -> DeploymentShape:
    """Return a deployment with an entry, a replica in each data centre and one plain service."""
    vms = [VmSpec(f"entry-{centre}", "entry", centre) for centre in user.data_centres[:2]]
    vms += [VmSpec(f"model-{centre}", "sidecar", centre) for centre in user.data_centres]
    vms.append(VmSpec(f"{user.service}-1", "sidecar", user.data_centres[0], user.service))
    shape = engine or EngineShape(models=(user.model,), total_blocks=16_384)
    return DeploymentShape(tuple(vms), make_bundle(user), shape, user.region)
