"""Routers in virtual time that read a platform for each other, with the code that serves."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from fakes._watched_platform import PlatformPath, WatchedPlatform
from pondhatch.cli._announcer import Announcer
from pondhatch.configuration import ConfigurationDocument, Snapshot
from pondhatch.kernel import Tasks
from pondhatch.membership import (
    Address,
    Alive,
    Datagram,
    Gossip,
    Member,
    MembershipLimits,
    Phase,
    short_id,
)
from pondhatch.requests import KeyHolder
from pondhatch.router import PeerDiscovery, PlatformChecks, RouterState, Sync
from pondhatch.router._peer_pulls import PulledState
from pondhatch.store import EvacuationUpdate

#: First port of the routers; router rN has this port plus N.
FIRST_PORT = 7000
ROUND_SECONDS = 0.1
#: Seconds that a packet, and each way of a pull, takes.
PACKET_SECONDS = 0.003
#: Seconds after which a pull from a router that is lost fails.
PULL_TIMEOUT = 2.0
#: Bytes of a packet's seal and headers.
OVERHEAD_BYTES = 28 + 28
DOCUMENT_KIND, DOCUMENT_NAME = "configuration", "main"


class PulledFrom:
    """A router's reply to a pull."""

    def __init__(self, state: RouterState, configuration: int, upstreams: int) -> None:
        self.configuration = state.update_since(configuration)
        self.upstreams = state.upstreams_since(upstreams)
        self.evacuations: EvacuationUpdate | None = state.halls.evacuations.as_update()


class ReadingRouter:
    """The parts of a router's process that learn of changes."""

    def __init__(self, fleet: ReadingFleet, number: int, hall: str, incarnation: int) -> None:
        self.name = f"r{number}"
        self._fleet = fleet
        self.address = Address("10.0.0.1", FIRST_PORT + number)
        rng = random.Random(fleet.rng.random())
        own = Alive(
            short_id(self.name),
            incarnation,
            Phase.LIVE,
            self.name,
            self.address.host,
            self.address.port,
            hall,
        )
        gossip = Gossip(own, MembershipLimits(), random.Random(rng.random()))
        clock = asyncio.get_running_loop().time
        self.state = RouterState(self.name, hall, gossip, clock, _no_key_holder)
        self.path = PlatformPath(fleet.platform)
        self._tasks = Tasks()
        announcer = Announcer(self.state, self, self._tasks)  # type: ignore[arg-type]
        source = ConfigurationDocument(
            self.path,  # type: ignore[arg-type]
            DOCUMENT_KIND,
            DOCUMENT_NAME,
            _decode,
        )
        discovery = PeerDiscovery(self.name, gossip, self.path, rng)  # type: ignore[arg-type]
        self.sync = Sync(
            self.state,
            self.path,  # type: ignore[arg-type]
            source,
            self._pull,
            announcer.announce,
            rng,
            discovery,
        )
        self.checks = PlatformChecks(
            self.state,
            self.path,  # type: ignore[arg-type]
            source,
            self.sync.apply_configuration_event,
            announcer.announce,
            self.send,
            rng,
        )
        self._checking: asyncio.Task[None] | None = None
        self.is_lost = False
        self._first_round_after = rng.random() * ROUND_SECONDS

    def start(self) -> None:
        self.state.refresh_members()
        self._tasks.start(self._run_rounds())
        self._tasks.start(self.sync.run())
        if self._fleet.is_confirmed:
            self._checking = self._tasks.start(self.checks.run())

    def stop_confirming(self) -> None:
        """Behave as a router of a build without confirmations from now on."""
        self.state.gossip.on_confirmation = None
        if self._checking is not None:
            self._checking.cancel()

    def stop(self) -> None:
        """End without a word."""
        self.is_lost = True
        self._tasks.cancel_all()

    def send(self, datagrams: Iterable[Datagram]) -> None:
        for datagram in datagrams:
            self._fleet.carry(self, datagram)

    def receive(self, payload: bytes, source: Address) -> None:
        if self.is_lost:
            return
        gossip = self.state.gossip
        replies = gossip.receive(payload, source, self.state.clock())
        self.state.refresh_members()
        if gossip.routers_ahead():
            self._tasks.start(self.sync.on_peer_ahead())
        self.send(replies)

    async def _run_rounds(self) -> None:
        await asyncio.sleep(self._first_round_after)
        while True:
            self.state.tick()
            self.checks.tick()
            self.send(self.state.gossip.tick(self.state.clock()))
            await asyncio.sleep(ROUND_SECONDS)

    async def _pull(self, member: Member, configuration: int, upstreams: int) -> PulledState | None:
        await asyncio.sleep(PACKET_SECONDS)
        peer = self._fleet.routers[member.name]
        if peer.is_lost or self._fleet.is_cut(self.name, peer.name):
            await asyncio.sleep(PULL_TIMEOUT)
            self.state.note_unreachable(member.name)
            return None
        pulled = PulledFrom(peer.state, configuration, upstreams)
        await asyncio.sleep(PACKET_SECONDS)
        return pulled


class ReadingFleet:
    """Routers of several data halls; to be made within a running event loop."""

    def __init__(self, count: int, halls: int, seed: int, is_confirmed: bool = True) -> None:
        #: Whether routers confirm to each other that nothing has changed, and ask if none does.
        self.is_confirmed = is_confirmed
        self.rng = random.Random(seed)
        self.platform = WatchedPlatform()
        self.version = 0
        self.change()
        #: Packets and their bytes, headers included, since ``reset_counts``.
        self.packets = 0
        self.bytes_sent = 0
        self.bytes_between_halls = 0
        #: Returns whether two routers do not reach each other.
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.routers = {
            f"r{number}": ReadingRouter(self, number, f"h{number % halls}", 1)
            for number in range(count)
        }
        records = [each.state.gossip.membership.own_record for each in self.routers.values()]
        for router in self.routers.values():
            for record in records:
                if record.name != router.name:
                    router.state.gossip.membership.table.apply_alive(record, 0.0)
            router.start()

    def change(self) -> int:
        """Write a new version of the configuration, and return it."""
        self.version += 1
        self.platform.put(DOCUMENT_KIND, DOCUMENT_NAME, self.version)
        return self.version

    def restart(self, name: str) -> None:
        """Start a router that was lost again, under a higher incarnation; it knows the others."""
        lost = self.routers[name]
        number = lost.address.port - FIRST_PORT
        router = ReadingRouter(self, number, lost.state.hall, 10_000)
        self.routers[name] = router
        for other in self.routers.values():
            record = other.state.gossip.membership.own_record
            if other is not router:
                router.state.gossip.membership.table.apply_alive(record, 0.0)
        router.start()

    def living(self) -> list[ReadingRouter]:
        return [each for each in self.routers.values() if not each.is_lost]

    def readers(self) -> list[ReadingRouter]:
        """Return the routers that watch the platform for their halls."""
        return [each for each in self.living() if each.state.is_watcher()]

    def carry(self, sender: ReadingRouter, datagram: Datagram) -> None:
        """Carry a packet to its receiver."""
        self.packets += 1
        size = len(datagram.payload) + OVERHEAD_BYTES
        name = f"r{datagram.to.port - FIRST_PORT}"
        self.bytes_sent += size
        if sender.state.hall != self.routers[name].state.hall:
            self.bytes_between_halls += size
        if sender.is_lost or self.is_cut(sender.name, name):
            return
        asyncio.get_running_loop().call_later(
            PACKET_SECONDS,
            lambda: self.routers[name].receive(datagram.payload, sender.address),
        )

    def reset_counts(self) -> None:
        self.packets = self.bytes_sent = self.bytes_between_halls = 0
        self.platform.called_at.clear()

    def stop(self) -> None:
        for router in self.living():
            router.stop()


def _decode(value: Any) -> Snapshot:
    """Return the configuration of a document, which is its version."""
    if not isinstance(value, int):
        raise msgspec.ValidationError("expected a version")
    return Snapshot(value, ())


def _no_key_holder(member: Member) -> KeyHolder:
    raise NotImplementedError(f"nothing is sent to {member.name} here")
