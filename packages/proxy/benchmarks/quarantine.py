"""CPU time and memory of the quarantine, without crashes and at its limits.

Run: ``python packages/proxy/benchmarks/quarantine.py``
"""

from __future__ import annotations

import random
import tracemalloc
from itertools import count

from sassafrastally.proxy.fingerprint import Subjects, part_key, request_fingerprint
from sassafrastally.proxy.peer_messages import Hello, encode_hello
from sassafrastally.proxy.quarantine import Quarantine
from sassafrastally.proxy.store import StorePosition
from sassafrastally.testing.timing import median_us

BODIES = {"4 KB": 4_096, "100 KB": 102_400, "4 MB": 4_194_304}


def quarantine_at_limits() -> Quarantine:
    """Return a quarantine at its limits, after thousands of bodies with crashes and answers."""
    quarantine, draw = Quarantine(), random.Random(1)
    for number in range(4000):
        fingerprint = draw.getrandbits(63)
        for _ in range(1 + number % 3):
            quarantine.record_crash(fingerprint, draw.getrandbits(63), 0.01 * number, is_own=True)
        quarantine.record_answered(draw.getrandbits(63), 0.01 * number)
    return quarantine


def main() -> None:
    """Run the measurements and print the results."""
    for name, size in BODIES.items():
        body = b"x" * size
        taken_us = median_us(
            lambda body=body: request_fingerprint("ana", b"POST", "h", b"/a", body),  # type: ignore[misc]
            max(3, 4_000_000 // size),
        )
        print(f"fingerprint of {name:6} {taken_us:9.1f} us")
    calm = Quarantine()
    print(f"calm: verdict {median_us(lambda: calm.verdict(7, 1.0), 20_000):.2f} us, ", end="")
    print(f"answer {median_us(lambda: calm.record_answered(7, 1.0), 20_000):.2f} us, ", end="")
    print(f"news {median_us(lambda: calm.report(1.0, is_full=False), 20_000):.2f} us")
    tracemalloc.start()
    quarantine = quarantine_at_limits()
    kept_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    print(f"full: {len(quarantine)} verdicts, {kept_kb:.0f} KB, ", end="")
    print(f"verdict {median_us(lambda: quarantine.verdict(7, 40.0), 2_000):.1f} us, ", end="")
    print(f"news {median_us(lambda: quarantine.report(40.2, is_full=False), 200):.0f} us, ", end="")
    print(f"told again {median_us(lambda: quarantine.report(41.0, is_full=True), 200):.0f} us")
    report = quarantine.report(40.2, is_full=True)
    hello = Hello(
        "10.0.0.1", 7, 3, StorePosition(1, 12), 0.5, False, {}, (), {}, {}, 0.0, 0.0, "here", 10
    )
    sizes = [len(encode_hello(one)) for one in (hello, hello._replace(quarantine=report))]
    parts = tuple(part_key(f"{number}") for number in range(50))
    taken_us = median_us(lambda: [part_key(f"{number}") for number in range(50)], 2_000)
    print(f"keys of 50 known parts {taken_us:.1f} us")
    fresh = Quarantine()
    taken_us = median_us(lambda: [fresh.record_answered(part, 1.0) for part in parts], 2_000)
    print(f"answer with 50 parts {taken_us:.1f} us")
    servers = count()
    taken_us = median_us(
        lambda: quarantine.record_crashed_run(Subjects(2, parts), next(servers), 41.0), 100
    )
    print(f"crash with 50 parts at the limits {taken_us:.0f} us")
    print(f"datagram: {sizes[0]} bytes without, {sizes[1]} with all that fits")


if __name__ == "__main__":
    main()
