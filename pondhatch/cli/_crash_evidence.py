"""Assembles the exchange of crash evidence, whose probes take this router's paths."""

from __future__ import annotations

import random

from pondhatch.kernel import Tasks
from pondhatch.observing import Records
from pondhatch.router import CrashEvidenceExchange, CrashProbe, RouterPaths, RouterState
from pondhatch.transport import GossipPort, HttpUpstreams


def new_crash_evidence(
    state: RouterState,
    gossip_port: GossipPort,
    tasks: Tasks,
    rng: random.Random,
    records: Records,
    paths: RouterPaths,
    upstreams: HttpUpstreams,
) -> CrashEvidenceExchange:
    """Return the exchange of crash evidence of one router."""
    probe = CrashProbe(state, paths, upstreams.refuses_connections, upstreams.accepts_connections)
    return CrashEvidenceExchange(
        state,
        gossip_port.send,
        tasks,
        rng,
        records,
        probe.has_crashed,
        upstreams.accepts_connections,
    )
