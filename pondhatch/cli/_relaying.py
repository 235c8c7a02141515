"""Assembles the parts of a router that send requests by way of other routers, and relay theirs."""

from __future__ import annotations

from pondhatch.membership import Address
from pondhatch.observing import Metrics, Records, RequestRelayed
from pondhatch.requests import (
    CrashGuard,
    DirectUpstreams,
    RelayEnded,
    RelayingUpstreams,
    Relays,
    RelaySide,
)
from pondhatch.router import RouterPaths, RouterState
from pondhatch.transport import PeerTls, RelayCalls


class Relaying:
    """Both sides of relaying at one router, with their metrics and records."""

    def __init__(
        self,
        state: RouterState,
        paths: RouterPaths,
        direct: DirectUpstreams,
        crash_guard: CrashGuard,
        records: Records,
        metrics: Metrics,
    ) -> None:
        self.side = RelaySide(paths, direct, crash_guard, state.held_bytes, self._record_end)
        self._state = state
        self._paths = paths
        self._direct = direct
        self._records = records
        self._metrics = metrics

    def calls(self, token: str, tls: PeerTls | None) -> RelayCalls:
        """Return the calls that have other routers relay requests."""
        client_tls = tls.client if tls is not None else None
        return RelayCalls(self._address_of, token, client_tls, self._state.held_bytes)

    def upstreams(self, relays: Relays) -> RelayingUpstreams:
        """Return the sender of this router's own requests."""
        return RelayingUpstreams(
            self._state.name, self._direct, relays, self._paths, self._metrics.count
        )

    def _address_of(self, router: str) -> Address | None:
        """Return the address of another router, or None if it is no member."""
        found = [each.address for each in self._state.members() if each.name == router]
        return found[0] if found else None

    def _record_end(self, ended: RelayEnded) -> None:
        head = ended.request.head
        self._metrics.count(f"relayed.{ended.outcome}")
        self._records.write(
            RequestRelayed(
                # The entry router gave each of the request's tries an id of its own.
                id=head.caller_id or head.request_id.rpartition(".")[0],
                entry=ended.request.router,
                upstream=ended.request.engine,
                outcome=ended.outcome,
                ms=round(ended.seconds * 1000),
            )
        )
