"""Cost of the quarantine: for every request, and for each engine that crashes under requests."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable, Iterator

import msgspec

from bench._measures import Measure
from pondhatch.quarantine import MAX_SUSPECTS, Evidence, EvidencePacket, Suspects
from pondhatch.requests import digest_of

ROUNDS = 20_000
#: Requests that one engine runs as it crashes: the maximum of the users' engines.
REQUESTS_PER_ENGINE = 64
#: Body of a request; a prompt of 10,000 tokens is some four times as long, most are shorter.
BODY = b"x" * 10_240
#: Bytes of a packet's type tag and seal and of the IP and UDP headers.
PACKET_OVERHEAD = 1 + 8 + 28
#: A digest without evidence against it.
UNKNOWN = 2**63


def _microseconds(work: Callable[[], object]) -> float:
    began = time.perf_counter()
    for _ in range(ROUNDS):
        work()
    return (time.perf_counter() - began) / ROUNDS * 1e6


def _full_suspects() -> Suspects:
    """Return a full table of suspects: each engine crashed under 64 requests."""
    suspects = Suspects()
    for index in range(MAX_SUSPECTS):
        suspects.add(Evidence(index, f"i-{index // REQUESTS_PER_ENGINE:010x}", 0), 0.0)
    for engine in range(3):
        suspects.add(Evidence(0, f"i-{engine:010x}", 0), 0.0)
    return suspects


def measure_quarantine() -> Iterator[Measure]:
    """Measure the digest, the check before each send, the memory and the bytes sent."""
    yield Measure(
        "digest of a request, 10 KB",
        _microseconds(lambda: digest_of("a", "POST", "/a/b", BODY)),
        "us",
    )
    tracemalloc.start()
    suspects = _full_suspects()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield Measure(
        "question before a send, not suspected",
        _microseconds(lambda: suspects.is_suspected(UNKNOWN)),
        "us",
    )
    yield Measure(
        "question before a send, suspected",
        _microseconds(lambda: suspects.is_quarantined(1, 0.0)),
        "us",
    )
    yield Measure("memory of 4,096 suspects", held / 1e6, "MB")
    packet = EvidencePacket((Evidence(UNKNOWN, "i-2263e1fdea~1778825992599", 0),))
    yield Measure(
        "bytes of one end told to one router",
        len(msgspec.msgpack.encode(packet)) + PACKET_OVERHEAD,
        "B",
    )
