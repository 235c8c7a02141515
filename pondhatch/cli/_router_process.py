"""One router process: its parts put together, run in rounds and ended."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from pathlib import Path
from typing import Any

from grpclib.server import Server

from pondhatch.cli._endpoints import Endpoints
from pondhatch.cli._figures import Figures
from pondhatch.cli._levels import Levels, metrics_of
from pondhatch.cli._own_state import own_state
from pondhatch.cli._peer_connections import PeerConnections
from pondhatch.cli._rounds import Rounds
from pondhatch.cli._settings_file import SettingsFile
from pondhatch.cli._spreading import Spreading
from pondhatch.cli._stopping import Stopping
from pondhatch.cli._surroundings import Surroundings, surroundings_of
from pondhatch.configuration import Settings
from pondhatch.kernel import Tasks, enable_garbage_collection
from pondhatch.membership import Address, Member, Seal
from pondhatch.observing import (
    STANDARD_OUTPUT,
    LineRecords,
    LoggedRecords,
    Records,
    ServedMetrics,
)
from pondhatch.requests import Collaborators
from pondhatch.router import (
    CRASH_PACKET_PREFIX,
    GRANT_PACKET_PREFIX,
    NOTICE_PACKET_PREFIX,
    Authority,
    CrashEvidenceExchange,
    GrantExchange,
    NoticeExchange,
    PeerDiscovery,
    PlatformRestorer,
    PooledEngines,
    StartupWait,
    StateRecorder,
    Sync,
)
from pondhatch.transport import (
    CallerParts,
    Callers,
    GossipPort,
    HttpUpstreams,
    PeerService,
    PullReply,
    PullRequest,
    fleet_token,
    peer_tls,
)

#: Seconds between looks at the settings file.
SETTINGS_SECONDS = 5.0
#: Signals that ask a router to stop.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class RouterProcess:
    """Owns every part of a router; the reactor must be installed before."""

    def __init__(self, settings: Settings, reactor: Any, parts: Surroundings, path: Path) -> None:
        self._settings = settings
        self._settings_file = SettingsFile(path)
        self._reactor = reactor
        self._tasks = Tasks()
        self._interface = parts.interface
        fleet_key = parts.fleet_key
        self._token = fleet_token(fleet_key)
        self._peer_tls = peer_tls(settings.name, settings.peers)
        self._connections = PeerConnections(self._token, self._peer_tls)
        self._rng = random.Random()
        self.state = own_state(settings, self._rng, self._connections, parts.interface)
        self._gossip_port = GossipPort(Seal(fleet_key), self._receive)
        self._granting = GrantExchange(
            self.state, self._gossip_port.send, self._tasks, time.time_ns()
        )
        self._spreading = Spreading(self.state, self._gossip_port, self._tasks)
        self._platform = parts.platform
        self._introduction = self._new_introduction()
        self._sync = self._new_sync()
        self._restoring = PlatformRestorer(
            self.state,
            self._platform,
            self._introduction,
            self._rng,
            fleet_key if parts.is_key_agreed else None,
        )
        self._authority = Authority(self.state, self._platform, self._interface.orders, self._rng)
        served = ServedMetrics(settings.name)
        self._metrics = metrics_of(settings, served)
        self._records = _records_of(settings)
        parts.client.configure(self.state.is_load_managed, self._metrics)
        self._beliefs = StateRecorder(self.state, self._records)
        self._notice_keeping = NoticeExchange(self.state, self._gossip_port.send)
        upstreams = HttpUpstreams(
            parts.client,
            self._interface.upstreams,
            self._metrics,
            self._notice_keeping,
            self.state.held_bytes,
        )
        self._crash_guarding = CrashEvidenceExchange(
            self.state,
            self._gossip_port.send,
            self._tasks,
            self._rng,
            self._records,
            upstreams.has_ended,
        )
        self._callers = self._new_callers(upstreams)
        self._peer_service = PeerService(
            self.state.local_key_holder, self._answer_pull, self._token
        )
        self._peer_server: Server = self._peer_service.server()
        self._figures = Figures(
            self.state, self._callers, self._gossip_port, self._granting, self._platform
        )
        self._levels = Levels(self._figures, self._metrics, served)

    async def run(self) -> None:
        """Serve until a signal asks to stop, then drain."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, stop.set)
        await self._new_endpoints().open()
        self.state.refresh_members()
        self._start_tasks()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._beliefs.record_process("serving", f"hall {self._settings.hall}")
        await stop.wait()
        await self._new_stopping().run()
        self._end()
        for number in STOP_SIGNALS:
            # From here on the loop no longer listens: a signal that comes again would kill.
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)

    def _start_tasks(self) -> None:
        self._tasks.start(self._new_rounds().run())
        self._tasks.start(self._sync.run())
        self._tasks.start(self._restoring.run())
        polling = self._interface.poll_loads(self.state)
        if polling is not None:
            self._tasks.start(polling)
        self._tasks.start(self._authority.run())
        self._tasks.start(self._levels.run())
        self._tasks.start(self._watch_settings())

    def _end(self) -> None:
        """End what the router runs and holds open to its peers."""
        self._tasks.cancel_all()
        self._connections.close_all()
        self._peer_server.close()

    def _new_sync(self) -> Sync:
        return Sync(
            self.state,
            self._platform,
            self._interface.configuration(self._platform),
            self._pull,
            self._spreading.spread,
            self._rng,
            self._introduction,
        )

    def _new_introduction(self) -> PeerDiscovery:
        own = self._settings.peers
        address = None if self._interface.lists_vms else f"{own.host}:{own.port}"
        state = self.state
        return PeerDiscovery(state.name, state.gossip, self._platform, self._rng, address)

    def _new_callers(self, upstreams: HttpUpstreams) -> Callers:
        return self._interface.callers(
            CallerParts(
                state=self.state,
                collaborators=Collaborators(
                    self._granting.entry,
                    upstreams,
                    self._crash_guarding,
                    PooledEngines(self.state, upstreams.is_pooled),
                ),
                limits=lambda: self._settings.limits,
                metrics=self._metrics,
                records=self._records,
                tasks=self._tasks,
                rng=self._rng,
                startup_wait=StartupWait(self.state),
            )
        )

    def _new_endpoints(self) -> Endpoints:
        return Endpoints(
            settings=self._settings,
            reactor=self._reactor,
            state=self.state,
            peer_server=self._peer_server,
            peer_tls=self._peer_tls,
            gossip_port=self._gossip_port,
            authority=self._authority,
            crash_guarding=self._crash_guarding,
            figures=self._figures,
            callers=self._callers,
            limits=lambda: self._settings.limits,
            metrics_text=self._levels.text,
        )

    def _new_stopping(self) -> Stopping:
        return Stopping(
            state=self.state,
            callers=self._callers,
            authority=self._authority,
            granting=self._granting,
            spreading=self._spreading,
            beliefs=self._beliefs,
            settings=lambda: self._settings,
        )

    # -- peers ----------------------------------------------------------------

    async def _pull(self, member: Member, configuration: int, upstreams: int) -> PullReply | None:
        takes_difference = not self.state.needs_snapshot
        peer = self._connections.to(member)
        reply = await peer.pull(configuration, upstreams, takes_difference)
        if reply is None:
            self.state.note_unreachable(member.name)
        return reply

    def _answer_pull(self, asked: PullRequest) -> PullReply:
        return PullReply(
            self.state.update_since(asked.configuration, asked.takes_difference),
            self.state.upstreams_since(asked.upstreams),
            self.state.halls.evacuations.as_update(),
        )

    def _receive(self, payload: bytes, source: Address) -> list[Any]:
        if payload.startswith(GRANT_PACKET_PREFIX):
            self._granting.receive(payload[len(GRANT_PACKET_PREFIX) :], source)
            return []
        if payload.startswith(CRASH_PACKET_PREFIX):
            self._crash_guarding.receive(payload[len(CRASH_PACKET_PREFIX) :])
            return []
        if payload.startswith(NOTICE_PACKET_PREFIX):
            self._notice_keeping.receive(payload[len(NOTICE_PACKET_PREFIX) :])
            return []
        answers = self.state.gossip.receive(payload, source, self.state.clock())
        self.state.refresh_members()
        self._granting.follow_members()
        if self.state.gossip.routers_ahead():
            self._tasks.start(self._sync.on_peer_ahead())
        return answers

    def _new_rounds(self) -> Rounds:
        state, send = self.state, self._gossip_port.send
        return Rounds(
            {
                "state": state.tick,
                "beliefs": self._beliefs.record_changes,
                "grants": self._granting.tick,
                "crashes": self._crash_guarding.tick,
                "notices": self._notice_keeping.tick,
                "connections": lambda: self._connections.close_gone(state.gossip.is_gone),
                "gossip": lambda: send(state.gossip.tick(state.clock())),
                "limits": lambda: send(state.limits.tick(state.clock())),
                "output": STANDARD_OUTPUT.flush,
            },
            state.clock,
        )

    # -- settings -------------------------------------------------------------

    async def _watch_settings(self) -> None:
        """Look at the settings file now and then: it may change without a signal."""
        while True:
            await asyncio.sleep(SETTINGS_SECONDS)
            if self._settings_file.changed():
                self._reload()

    def _reload(self) -> None:
        """Put changed settings in force as far as a running router can."""
        reloaded = self._settings_file.reloaded(self._settings)
        if reloaded is not None:
            self._settings = reloaded
            self._beliefs.record_process("serving", "settings were read anew")


def _records_of(settings: Settings) -> Records:
    """Return where decisions are recorded: as lines for machines, else in the log."""
    if settings.log.form == "lines":
        return LineRecords(settings.name)
    return LoggedRecords()


async def serve(settings: Settings, reactor: Any, path: Path) -> None:
    """Run a router until it is asked to stop; ``path`` is where its settings are kept."""
    process = RouterProcess(settings, reactor, await surroundings_of(settings, reactor), path)
    enable_garbage_collection()
    await process.run()
    STANDARD_OUTPUT.flush()
