"""What a router tells of itself in numbers: levels for statsd, counters for its state dump."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from pondhatch.router import GrantExchange, RouterState
from pondhatch.store import Platform
from pondhatch.transport import Callers, GossipPort


class Figures(msgspec.Struct, frozen=True):
    """Reads the numbers from a router's parts."""

    state: RouterState
    callers: Callers
    gossip_port: GossipPort
    granting: GrantExchange
    platform: Platform
    #: When the router started, in seconds of the monotonic clock.
    started: float = msgspec.field(default_factory=time.monotonic)

    def levels(self) -> dict[str, int]:
        """Return what statsd is told now and then, by metric."""
        notices = self.state.notices.current(self.state.clock()).values()
        return {
            "routers.known": len(self.state.members()),
            "requests.in_flight": self.callers.in_flight,
            "held.bytes": self.state.held_bytes.total,
            "configuration.version": self.state.fleet.version,
            "configuration.behind_ms": round(1000 * self.state.lag.seconds(self.state.clock())),
            "configuration.refused": int(self.state.rejected is not None),
            "configuration.misfits": len(self.state.fleet.misfits_by_entry),
            "upstreams.owned": len(self.state.owned()),
            "upstreams.cold": self.state.cold_count(),
            "upstreams.said_leaving": sum(notice.is_leaving for notice in notices),
            "upstreams.resting": sum(notice.rest > 0 for notice in notices),
            "engines.slow": self.state.paces.count_slow(self.state.clock()),
            "engines.memory-full": self.state.token_counts.refusals,
            "halls.evacuated": len(self.state.halls.evacuations.halls),
            "requests.suspected": len(self.state.suspects.suspect_by_digest),
            "requests.quarantined": len(
                list(self.state.suspects.quarantined_digests(self.state.clock()))
            ),
            "chats.spilled": len(self.state.spill_locations.engine_by_chat),
            "queue.refused-in-vain": self.granting.owner.wrongly_refused,
            "control.bytes_sent": self.gossip_port.bytes_sent,
            "control.bytes_received": self.gossip_port.bytes_received,
        }

    def counters(self) -> dict[str, Any]:
        """Return the counters that stand in the state dump."""
        return {
            "uptime_seconds": round(time.monotonic() - self.started, 3),
            "requests_in_flight": self.callers.in_flight,
            "gossip_bytes_sent": self.gossip_port.bytes_sent,
            "gossip_bytes_received": self.gossip_port.bytes_received,
            "grant_packets": self.granting.packet_count,
            "grants_held": len(self.granting.entry.held_by_number),
            "grants_given": len(self.granting.owner.leases.by_holder),
            "gossip_unsealed": self.gossip_port.invalid_seals,
            "platform_calls": getattr(self.platform, "calls", 0),
        }
