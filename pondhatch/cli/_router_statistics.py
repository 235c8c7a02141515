"""The statistics of a router: gauges for its metrics and counters for its state dump."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from pondhatch.cli._surplus_answers import SurplusAnswers
from pondhatch.requests import RelaySide
from pondhatch.router import GrantExchange, RouterPaths, RouterState, StreamOriginExchange
from pondhatch.store import Platform
from pondhatch.transport import Callers, GossipPort


class RouterStatistics(msgspec.Struct, frozen=True):
    """Reads the statistics from the components of a router."""

    state: RouterState
    callers: Callers
    gossip_port: GossipPort
    grant_exchange: GrantExchange
    platform: Platform
    paths: RouterPaths
    relay_side: RelaySide
    stream_origins: StreamOriginExchange
    surplus_answers: SurplusAnswers
    #: When the router started, in seconds of the monotonic clock.
    started_at: float = msgspec.field(default_factory=time.monotonic)

    def gauges(self) -> dict[str, int]:
        """Return the current gauges by metric name."""
        notices = self.state.notices.current(self.state.clock()).values()
        return {
            "routers.known": len(self.state.members()),
            "requests.in_flight": self.callers.in_flight,
            "held.bytes": self.state.held_bytes.total,
            "configuration.version": self.state.configuration.version,
            "configuration.behind_ms": round(1000 * self.state.lag.seconds(self.state.clock())),
            "platform.confirmed_ms": round(1000 * self._confirmed_seconds()),
            "configuration.refused": int(self.state.rejected is not None),
            "configuration.misfits": len(self.state.configuration.misfits_by_entry),
            "upstreams.owned": len(self.state.owned()),
            "upstreams.cold": self.state.cold_count(),
            "upstreams.said_leaving": sum(notice.is_leaving for notice in notices),
            "upstreams.resting": sum(notice.rest > 0 for notice in notices),
            "upstreams.unreachable": len(self.paths.reachability.unreachable()),
            "relays.in_flight": self.relay_side.in_flight,
            "streams.origins": len(self.stream_origins.records),
            "services.mixed_versions": self._services_with_several_versions(),
            "services.versions_age_ms": int(self.stream_origins.versions_age_ms()),
            "engines.slow": self.state.paces.count_slow(self.state.clock()),
            "engines.memory-full": self.state.token_counts.refusals,
            "halls.evacuated": len(self.state.halls.evacuations.halls),
            "requests.suspected": len(self.state.suspects.suspect_by_digest),
            "requests.quarantined": len(
                list(self.state.suspects.quarantined_digests(self.state.clock()))
            ),
            "chats.spilled": len(self.state.spill_locations.engine_by_chat),
            "queue.refused-in-vain": self.grant_exchange.owner.wrongly_refused,
            "control.bytes_sent": self.gossip_port.bytes_sent,
            "control.bytes_received": self.gossip_port.bytes_received,
        }

    def _confirmed_seconds(self) -> float:
        """Return for how long this router may have missed a change, its uptime at most."""
        uptime = time.monotonic() - self.started_at
        return min(uptime, self.state.freshness.age(self.state.clock()))

    def _services_with_several_versions(self) -> int:
        """Return of how many services several software versions may have begun streams."""
        services = self.state.configuration.service_by_name
        return sum(self.stream_origins.versions.has_several_versions(name) for name in services)

    def counters(self) -> dict[str, Any]:
        """Return the counters of the state dump."""
        return {
            "uptime_seconds": round(time.monotonic() - self.started_at, 3),
            "requests_in_flight": self.callers.in_flight,
            "relays_in_flight": self.relay_side.in_flight,
            "unreachable_upstreams": sorted(self.paths.reachability.unreachable()),
            "gossip_bytes_sent": self.gossip_port.bytes_sent,
            "gossip_bytes_received": self.gossip_port.bytes_received,
            "grant_packets": self.grant_exchange.packet_count,
            "grants_held": len(self.grant_exchange.entry.held_by_number),
            "grants_given": len(self.grant_exchange.owner.leases.by_holder),
            "gossip_unsealed": self.gossip_port.invalid_seals,
            "surplus_answers": dict(self.surplus_answers.count_by_upstream),
            "platform_calls": getattr(self.platform, "calls", 0),
        }
