"""Slopes of what each role needs, measured on this machine, and the sums at the target size.

``sassafrastally bench capacity`` prints them; docs/CAPACITY.md explains each line.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import TYPE_CHECKING, NamedTuple

import structlog
import trio

from sassafrastally.control.bundle import Bundle, Customer, Model
from sassafrastally.control.head import Head, sign_head, verify_head
from sassafrastally.control.parts import pack_bundle
from sassafrastally.control.signing import BundleSettings, SigningKey, TrustedSigner, sign_digest
from sassafrastally.control.store import PartStore
from sassafrastally.core import Address, Kernel, TcpNetwork
from sassafrastally.core.secret import Secret
from sassafrastally.wire import (
    Chunk,
    Frame,
    HeadNotice,
    LoadReport,
    PeerService,
    PeerSettings,
    Ping,
    Pong,
    decode_frame,
    encode_frame,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from sassafrastally.control.parts import PackedBundle

ENTRIES = 340
SIDECARS = 1_500
REQUESTS_PER_S = 6_700.0
TOKENS_PER_S = 3_000_000.0
CUSTOMERS = 5_000
MODELS = 12
CHANGES_PER_DAY = 1_900
SUBSET = 16
"""Sidecars to which an entry links by default."""
REPORTS_PER_S = 1 / 2.25
"""Load reports that a sidecar sends on each link while its load moves slowly."""
PINGS_PER_S = 1 / 2.6
"""Signs of life asked on an idle link: by the sidecar only, since its reports are the entry's."""
VM_LIST_BYTES_PER_S = (181 + 162) / 2.0
"""An unchanged poll of the VM list each 2 s, question and answer (docs/design/membership.md)."""
EXCHANGES_PER_S = 1 / 5.0
"""Comparisons of heads with a peer."""
TOKENS_PER_CHUNK = 8
"""Tokens that leave together when a stream is behind; one when it is not."""
DAY_S = 86_400.0
LIMIT_CORE_PERCENT = 3.2
LIMIT_BYTES_PER_S = 3_000.0

LINKS = 100
IDLE_S = 6.0
"""How long idle links are watched."""
ROUNDS = 5_000
APPLY_ROUNDS = 10
BLOCK_TOKENS = 16
SIGNER = SigningKey("capacity", Secret("11" * 32))


class Slopes(NamedTuple):
    """What one unit costs."""

    link_bytes: float
    """Memory of one end of a link."""
    idle_link_s: float
    """Processor time that one end of an idle link takes in a second, for its signs of life."""
    ping_bytes: float
    """A sign of life, asked and answered."""
    report_bytes: float
    """A load report in its frame."""
    report_s: float
    """Processor time to code and decode a load report."""
    head_bytes: float
    """A signed head in its frame."""
    change_bytes: float
    """Parts, manifest and head of a change of one customer among `CUSTOMERS`."""
    change_s: float
    """Processor time to verify and apply such a change."""
    bundle_bytes: float
    """Memory of a bundle of `CUSTOMERS` and its parts."""
    chunk_s: float
    """Processor time to code and decode an answer chunk."""


class Line(NamedTuple):
    """One sum at the target size."""

    role: str
    what: str
    value: float
    unit: str
    limit: str
    """The bound that it must keep; empty when it is only told."""


def run() -> int:
    """Measure, print slopes and sums; return 0."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    slopes = measure()
    print("Slopes measured here")
    for name, value in slopes._asdict().items():
        scaled = f"{value * 1e6:,.1f} us" if name.endswith("_s") else f"{value:,.0f} bytes"
        print(f"  {name.rsplit('_', 1)[0]:<10} {scaled}")
    print("\nSums at the target size")
    for line in sums(slopes):
        limit = f"  (bound {line.limit})" if line.limit else ""
        print(f"  {line.role:<8} {line.what:<48} {line.value:>12,.2f} {line.unit}{limit}")
    return 0


def measure() -> Slopes:
    """Measure all slopes; takes some seconds."""
    report = LoadReport(
        models=tuple(f"model-{number}" for number in range(1)),
        queued_tokens=123_456,
        running=17,
        free_blocks=9_000,
        total_blocks=16_000,
        first_token_s=(0.1, 0.2, 0.4, 2.0, 8.0),
        prefill_tokens_per_s=19_000.0,
        generation=1_234,
        block_tokens=BLOCK_TOKENS,
    )
    chunk = Chunk("ab" * 16, 1, 7, TOKENS_PER_CHUNK, b"x" * 240 * TOKENS_PER_CHUNK)
    old, new = (pack_bundle(_bundle(share)) for share in (1.0, 2.0))
    digest = sign_digest(SIGNER, new.digest)
    head = sign_head(SIGNER, Head(2, new.digest, 1, SIGNER.signer, "nonce", (digest,)))
    notice = HeadNotice(2, new.digest, b"0" * 700)
    changed = sum(len(new.parts[key]) for key in new.parts.keys() - old.parts.keys())
    link_bytes, idle_link_s = trio.run(_link_slopes)
    return Slopes(
        link_bytes=link_bytes,
        idle_link_s=idle_link_s,
        ping_bytes=_frame_bytes(Ping(1)) + _frame_bytes(Pong(1)),
        report_bytes=_frame_bytes(report),
        report_s=_codec_s(report),
        head_bytes=_frame_bytes(notice),
        change_bytes=changed + len(new.manifest) + _frame_bytes(notice),
        change_s=_change_s(old, new, head),
        bundle_bytes=_bundle_bytes(new),
        chunk_s=_codec_s(chunk),
    )


def sums(slopes: Slopes) -> list[Line]:
    """Return what each role needs at the target size."""
    links_of_sidecar = ENTRIES * SUBSET / SIDECARS
    changes_per_s = CHANGES_PER_DAY / DAY_S
    exchange_bytes_per_s = EXCHANGES_PER_S * slopes.head_bytes
    change_bytes_per_s = changes_per_s * slopes.change_bytes
    entry_bytes = SUBSET * REPORTS_PER_S * slopes.report_bytes
    common_bytes = exchange_bytes_per_s + change_bytes_per_s + VM_LIST_BYTES_PER_S
    ping_bytes_per_s = PINGS_PER_S * slopes.ping_bytes
    entry_bytes += common_bytes + SUBSET * ping_bytes_per_s
    entry_core = SUBSET * slopes.idle_link_s
    entry_core += SUBSET * REPORTS_PER_S * slopes.report_s + changes_per_s * slopes.change_s
    sidecar_bytes = links_of_sidecar * REPORTS_PER_S * slopes.report_bytes
    sidecar_bytes += common_bytes + links_of_sidecar * ping_bytes_per_s
    sidecar_core = links_of_sidecar * slopes.idle_link_s
    sidecar_core += links_of_sidecar * REPORTS_PER_S * slopes.report_s
    sidecar_core += changes_per_s * slopes.change_s
    tokens_of_entry = TOKENS_PER_S / ENTRIES
    tokens_of_sidecar = TOKENS_PER_S / SIDECARS
    bytes_bound = f"{LIMIT_BYTES_PER_S:,.0f}"
    core_bound = f"{LIMIT_CORE_PERCENT:g}"
    return [
        Line("entry", "control bytes", entry_bytes, "bytes/s", bytes_bound),
        Line("entry", "control processor time", entry_core * 100, "% of a core", core_bound),
        Line("entry", "links", SUBSET, "links", ""),
        Line("entry", "memory of links", SUBSET * slopes.link_bytes / 1e6, "MB", ""),
        Line("entry", "memory of the bundle", slopes.bundle_bytes / 1e6, "MB", ""),
        Line("entry", "tokens to relay", tokens_of_entry, "tokens/s", ""),
        Line(
            "entry",
            f"chunk coding alone, {TOKENS_PER_CHUNK} tokens a chunk",
            tokens_of_entry / TOKENS_PER_CHUNK * slopes.chunk_s * 50,
            "% of a core",
            "",
        ),
        Line("sidecar", "control bytes", sidecar_bytes, "bytes/s", bytes_bound),
        Line("sidecar", "control processor time", sidecar_core * 100, "% of a core", core_bound),
        Line("sidecar", "links", links_of_sidecar, "links", ""),
        Line("sidecar", "tokens to relay", tokens_of_sidecar, "tokens/s", ""),
        Line("all", "bytes of one change of a customer", slopes.change_bytes, "bytes", ""),
    ]


def _bundle(share: float) -> Bundle:
    customers = tuple(
        Customer(f"customer-{number}", (f"{number:064x}",), share=share if number == 0 else 1.0)
        for number in range(CUSTOMERS)
    )
    models = tuple(Model(f"model-{number}", "1", 200_000) for number in range(MODELS))
    return Bundle("capacity", models, customers)


def _frame_bytes(message: LoadReport | HeadNotice | Ping | Pong) -> float:
    return float(len(encode_frame(Frame(0, 1, message))))


def _codec_s(message: LoadReport | Chunk) -> float:
    frame = Frame(3, 1 << 60, message)
    return _timed_s(lambda: decode_frame(encode_frame(frame)), ROUNDS)


def _change_s(old: PackedBundle, new: PackedBundle, head: Head) -> float:
    settings = BundleSettings((TrustedSigner(SIGNER.signer, SIGNER.public_key),))
    store = PartStore()
    _fill(store, old)

    def apply() -> None:
        store.keep_only([old.digest])
        verify_head(settings, head)
        _fill(store, new)

    return _timed_s(apply, APPLY_ROUNDS)


def _bundle_bytes(packed: PackedBundle) -> float:
    gc.collect()
    tracemalloc.start()
    store = PartStore()
    bundle = _fill(store, packed)
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert bundle.customers
    return float(size_bytes)


def _fill(store: PartStore, packed: PackedBundle) -> Bundle:
    manifest = store.add_manifest(packed.digest, packed.manifest)
    for digest in store.missing(manifest):
        store.add_part(digest, packed.parts[digest])
    return store.assemble(manifest)


def _timed_s(work: Callable[[], object], rounds: int) -> float:
    started_s = time.process_time()
    for _ in range(rounds):
        work()
    return (time.process_time() - started_s) / rounds


async def _link_slopes() -> tuple[float, float]:
    """Open links from many kernels to one over loopback TCP and see what an end takes.

    Returns
    -------
    tuple
        Memory in bytes, and seconds of processor time in a second without messages.
    """
    settings = PeerSettings(Address("127.0.0.1", 0), Secret("a secret for measuring"))
    async with trio.open_nursery() as nursery:
        services = []
        for number in range(LINKS + 1):
            kernel = Kernel(f"vm-{number}", "here")
            services.append(kernel.add(PeerService(settings, TcpNetwork())))
            await nursery.start(kernel.run)
        server, *clients = services
        gc.collect()
        tracemalloc.start()
        for client in clients:
            await client.link_to("vm-0", server.bound_address)
        gc.collect()
        size_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        started_s = time.process_time()
        await trio.sleep(IDLE_S)
        idle_s = (time.process_time() - started_s) / IDLE_S
        nursery.cancel_scope.cancel()
    return size_bytes / LINKS / 2, idle_s / LINKS / 2
