"""Run the measures: ``python -m bench [NAME...]``; without names, all of them.

Each prints JSON lines: name, value, unit, baseline, ratio. ``python -m bench policies --help``
describes the comparison of several checkouts of the code on the users' bench.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from itertools import chain

from bench._abandoned_streams import measure_abandoned_streams
from bench._authority import measure_authority
from bench._connections import measure_connections
from bench._decisions import measure_decisions
from bench._fleet_size import measure_engine_counts, measure_fleet_sizes
from bench._gossip import measure_gossip
from bench._grants import measure_grants
from bench._large_fleets import measure_members, measure_starts
from bench._load_polls import measure_load_polls
from bench._lost_readers import measure_lost_readers
from bench._measures import Measure
from bench._memory import measure_memory
from bench._placement import measure_placement
from bench._quarantine import measure_quarantine
from bench._relay import measure_relay
from bench._relayed import measure_relayed
from bench._resumed_streams import measure_resumed_streams
from bench._retries import measure_retries
from bench._routers_begun_anew import measure_routers_begun_anew
from bench._surge import measure_surge
from bench._surplus import measure_surplus_answers

MEASURES: dict[str, Callable[[], Iterable[Measure]]] = {
    "starts": measure_starts,
    "members": measure_members,
    "decisions": measure_decisions,
    "memory": measure_memory,
    "connections": measure_connections,
    "placement": measure_placement,
    "retries": measure_retries,
    "surge": measure_surge,
    "surplus": measure_surplus_answers,
    "quarantine": measure_quarantine,
    "gone": measure_abandoned_streams,
    "authority": measure_authority,
    "gossip": measure_gossip,
    "readers": measure_lost_readers,
    "relay": measure_relay,
    "relayed": measure_relayed,
    "resumed": lambda: chain(measure_routers_begun_anew(), measure_resumed_streams()),
    "grants": measure_grants,
    "loads": measure_load_polls,
    "engines": measure_engine_counts,
    "fleet": measure_fleet_sizes,
}


def main(names: list[str]) -> int:
    """Run the named measures, or compare checkouts of the code on the users' bench."""
    if names[:1] == ["policies"]:
        from bench import _policies

        return _policies.main(names[1:])
    unknown = [name for name in names if name not in MEASURES]
    if unknown:
        print(f"no measure {unknown[0]!r}; known: {', '.join(MEASURES)}", file=sys.stderr)
        return 2
    for name in names or MEASURES:
        for measure in MEASURES[name]():
            print(measure.to_json(), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
