"""The router process: builds its components, runs them and shuts them down."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from pathlib import Path
from typing import Any

from grpclib.server import Server

from pondhatch._early_signals import take_hangup
from pondhatch.cli._announcer import Announcer
from pondhatch.cli._configured_records import configured_records
from pondhatch.cli._crash_evidence import new_crash_evidence
from pondhatch.cli._current_settings import CurrentSettings
from pondhatch.cli._endpoints import Endpoints
from pondhatch.cli._environment import RouterEnvironment
from pondhatch.cli._gauge_reporter import GaugeReporter, configured_metrics
from pondhatch.cli._initial_state import initial_state
from pondhatch.cli._packet_receiver import PacketReceiver
from pondhatch.cli._peer_connections import PeerConnections
from pondhatch.cli._peer_updates import PeerUpdates
from pondhatch.cli._periodic_jobs import PeriodicJobs
from pondhatch.cli._platform_reading import PlatformReading
from pondhatch.cli._relaying import Relaying
from pondhatch.cli._router_statistics import RouterStatistics
from pondhatch.cli._shutdown import Shutdown
from pondhatch.cli._stop_signals import StopSignals
from pondhatch.cli._surplus_answers import SurplusAnswers
from pondhatch.configuration import Settings
from pondhatch.kernel import Tasks
from pondhatch.membership import Address, Datagram, Seal
from pondhatch.observing import (
    STANDARD_OUTPUT,
    PrometheusMetrics,
)
from pondhatch.requests import Collaborators
from pondhatch.router import (
    Authority,
    CatchUp,
    GrantExchange,
    NoticeExchange,
    PooledEngines,
    RouterPaths,
    StartupWait,
    StateRecorder,
    StreamOriginExchange,
)
from pondhatch.transport import (
    CallerDependencies,
    Callers,
    GossipPort,
    HttpUpstreams,
    PeerService,
    RelayService,
    fleet_token,
    peer_tls,
)


class RouterProcess:
    """Owns every component of a router; the reactor must be installed before."""

    def __init__(
        self, settings: Settings, reactor: Any, environment: RouterEnvironment, path: Path
    ) -> None:
        self._settings = CurrentSettings(settings, path, self._record_reload)
        self._reactor = reactor
        self._tasks = Tasks()
        self._interface = environment.interface
        fleet_key = environment.fleet_key
        self._token = fleet_token(fleet_key)
        self._peer_tls = peer_tls(settings.name, settings.peers)
        self._connections = PeerConnections(self._token, self._peer_tls)
        self._rng = random.Random()
        self.state = initial_state(settings, self._rng, self._connections, environment.interface)
        self._gossip_port = GossipPort(Seal(fleet_key), self._receive_packet)
        self._grant_exchange = GrantExchange(
            self.state, self._gossip_port.send, self._tasks, time.time_ns()
        )
        self._announcer = Announcer(self.state, self._gossip_port, self._tasks)
        self._platform = environment.platform
        self._peer_updates = PeerUpdates(self.state, self._connections)
        self._platform_reading = PlatformReading(
            self.state,
            settings,
            environment,
            self._announcer,
            self._gossip_port,
            self._peer_updates,
            self._rng,
        )
        self._authority = Authority(self.state, self._platform, self._interface.orders, self._rng)
        prometheus_metrics = PrometheusMetrics(settings.name)
        self._metrics = configured_metrics(settings, prometheus_metrics)
        self._records = configured_records(settings)
        environment.client.configure(self.state.is_load_managed, self._metrics)
        self._state_recorder = StateRecorder(self.state, self._records)
        self._notice_exchange = NoticeExchange(self.state, self._gossip_port.send)
        self._stream_origins = StreamOriginExchange(
            self.state,
            self._gossip_port.send,
            environment.record_platform,
            self._rng,
            environment.is_first_start,
        )
        self._paths = RouterPaths(self.state, self._records)
        surplus_answers = SurplusAnswers(self._records, self._metrics)
        upstreams = HttpUpstreams(
            environment.client,
            self._interface.upstreams,
            self._metrics,
            self._notice_exchange,
            self.state.held_bytes,
            self._paths,
            surplus_answers,
        )
        self._crash_evidence = new_crash_evidence(
            self.state,
            self._gossip_port,
            self._tasks,
            self._rng,
            self._records,
            self._paths,
            upstreams,
        )
        self._packet_receiver = PacketReceiver(
            self.state,
            self._grant_exchange,
            self._crash_evidence,
            self._notice_exchange,
            self._stream_origins,
            self._platform_reading.sync,
            self._tasks,
        )
        self._relaying = Relaying(
            self.state, self._paths, upstreams, self._crash_evidence, self._records, self._metrics
        )
        self._relay_calls = self._relaying.calls(self._token, self._peer_tls)
        self._callers = self._new_callers(upstreams)
        self._peer_service = PeerService(
            self.state.local_key_holder, self._peer_updates.answer, self._token
        )
        self._peer_server: Server = self._peer_service.server(RelayService(self._relaying.side))
        self._statistics = RouterStatistics(
            self.state,
            self._callers,
            self._gossip_port,
            self._grant_exchange,
            self._platform,
            self._paths,
            self._relaying.side,
            self._stream_origins,
            surplus_answers,
        )
        self._gauge_reporter = GaugeReporter(self._statistics, self._metrics, prometheus_metrics)
        self._jobs = self._new_periodic_jobs()

    async def run(self) -> None:
        """Serve until a stop signal, then drain and shut down."""
        stop_signals = StopSignals(self._jobs.ran_at)
        stop_signals.follow()
        await self._stream_origins.read_versions()
        await self._new_endpoints().open()
        self.state.refresh_members()
        self._start_tasks()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._settings.reload)
        if take_hangup():
            # The settings may have been read before they changed.
            self._settings.reload()
        self._state_recorder.record_process("serving", f"hall {self._settings.value.hall}")
        stopped_at = await stop_signals.wait()
        await self._new_shutdown().run(stopped_at)
        self._close()
        stop_signals.ignore()

    def _start_tasks(self) -> None:
        self._tasks.start(self._jobs.run())
        self._platform_reading.start(self._tasks)
        polling = self._interface.poll_loads(self.state)
        if polling is not None:
            self._tasks.start(polling)
        self._tasks.start(self._authority.run())
        self._tasks.start(self._gauge_reporter.run())
        self._tasks.start(self._settings.watch())

    def _close(self) -> None:
        """Cancel the tasks, and close the connections and the port for peers."""
        self._tasks.cancel_all()
        self._stream_origins.stop()
        self._connections.close_all()
        self._relay_calls.close_all()
        self._peer_server.close()

    def _record_reload(self) -> None:
        self._state_recorder.record_process("serving", "settings were read anew")

    def _receive_packet(self, payload: bytes, source: Address) -> list[Datagram]:
        return self._packet_receiver.receive(payload, source)

    def _new_callers(self, upstreams: HttpUpstreams) -> Callers:
        return self._interface.callers(
            CallerDependencies(
                state=self.state,
                collaborators=Collaborators(
                    self._grant_exchange.entry,
                    self._relaying.upstreams(self._relay_calls),
                    self._crash_evidence,
                    PooledEngines(self.state, upstreams.is_pooled),
                    self._stream_origins,
                ),
                limits=lambda: self._settings.value.limits,
                metrics=self._metrics,
                records=self._records,
                tasks=self._tasks,
                rng=self._rng,
                startup_wait=StartupWait(
                    self.state, CatchUp(self.state, self._platform_reading.sync.catch_up)
                ),
            )
        )

    def _new_endpoints(self) -> Endpoints:
        return Endpoints(
            settings=self._settings.value,
            reactor=self._reactor,
            state=self.state,
            peer_server=self._peer_server,
            peer_tls=self._peer_tls,
            gossip_port=self._gossip_port,
            authority=self._authority,
            crash_evidence=self._crash_evidence,
            statistics=self._statistics,
            callers=self._callers,
            limits=lambda: self._settings.value.limits,
            metrics_text=self._gauge_reporter.text,
        )

    def _new_shutdown(self) -> Shutdown:
        return Shutdown(
            state=self.state,
            callers=self._callers,
            authority=self._authority,
            grant_exchange=self._grant_exchange,
            announcer=self._announcer,
            state_recorder=self._state_recorder,
            relay_side=self._relaying.side,
            settings=lambda: self._settings.value,
        )

    def _new_periodic_jobs(self) -> PeriodicJobs:
        state, send = self.state, self._gossip_port.send
        return PeriodicJobs(
            {
                "state": state.tick,
                "platform checks": self._platform_reading.checks.tick,
                "beliefs": self._state_recorder.record_changes,
                "grants": self._grant_exchange.tick,
                "crashes": self._crash_evidence.tick,
                "notices": self._notice_exchange.tick,
                "streams": self._stream_origins.tick,
                "paths": self._paths.tick,
                "connections": lambda: self._connections.close_gone(state.gossip.is_gone),
                "relays": lambda: self._relay_calls.close_gone(state.gossip.is_gone),
                "gossip": lambda: send(state.gossip.tick(state.clock())),
                "limits": lambda: send(state.limits.tick(state.clock())),
                "output": STANDARD_OUTPUT.flush,
            },
            state.clock,
        )
