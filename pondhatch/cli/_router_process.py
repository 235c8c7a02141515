"""One router process: its parts put together, started, drained and stopped."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from pathlib import Path
from typing import Any

from grpclib.server import Server
from twisted.internet.error import CannotListenError
from twisted.web.server import Site

from pondhatch.cli._figures import Figures
from pondhatch.cli._peer_connections import PeerConnections
from pondhatch.cli._ports import listen_to_callers, listening
from pondhatch.cli._settings_file import SettingsFile
from pondhatch.cli._surroundings import Surroundings, surroundings_of
from pondhatch.configuration import MetricsEndpoint, RetrySettings, Settings
from pondhatch.kernel import Tasks, collect_garbage
from pondhatch.limits import RetryAllowance, RetryBudgets
from pondhatch.membership import (
    Address,
    Alive,
    Gossip,
    Member,
    MembershipLimits,
    Phase,
    Seal,
    short_id,
)
from pondhatch.observing import (
    STANDARD_OUTPUT,
    AllMetrics,
    LineRecords,
    LoggedRecords,
    Metrics,
    Records,
    ServedMetrics,
    StatsdMetrics,
    log_for,
)
from pondhatch.requests import HOLDERS, Ways
from pondhatch.router import (
    GRANT_MARK,
    Authority,
    Beliefs,
    Granting,
    Introduction,
    RouterState,
    Starting,
    Sync,
)
from pondhatch.transport import (
    Admin,
    CallerParts,
    Callers,
    CallerSite,
    GossipPort,
    HttpClient,
    HttpUpstreams,
    MetricsPage,
    PeerService,
    PullReply,
    PullRequest,
    Readiness,
    bounded,
    fleet_token,
    peer_tls,
)

log = log_for("process")

#: Seconds from one telling of something new to the next: each reaches four random peers,
#: and with one alone about two in a hundred routers would have to wait for a ping.
RETELL_PAUSES = (0.1, 0.2)
#: Seconds between two tellings of levels to statsd.
LEVEL_SECONDS = 5.0
#: Seconds between looks at the settings file.
SETTINGS_SECONDS = 5.0
#: Signals that ask a router to stop.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
#: Seconds between rounds of what is due.
ROUND_SECONDS = 0.1
#: Seconds between looks at what still runs while draining.
DRAIN_STEP = 0.05
#: Seconds that a stopping router tries to give its leases up; a platform that is out
#: makes the next router wait for them to lapse.
STEP_DOWN_SECONDS = 3.0
#: Seconds for which a draining router goes on being reachable, so that all hear of it.
DRAIN_NOTICE = 1.0


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
        self.state = self._new_state()
        self._gossip_port = GossipPort(Seal(fleet_key), self._receive)
        self._granting = Granting(self.state, self._gossip_port.send, self._tasks, time.time_ns())
        self._platform = parts.platform
        self._sync = Sync(
            self.state,
            self._platform,
            self._interface.configuration(self._platform),
            self._pull,
            self._spread,
            self._rng,
            self._introduction(),
        )
        self._authority = Authority(self.state, self._platform, self._interface.orders, self._rng)
        self._served = ServedMetrics(settings.name)
        self._metrics = self._new_metrics()
        lines = settings.log.form == "lines"
        self._records: Records = LineRecords(settings.name) if lines else LoggedRecords()
        self._beliefs = Beliefs(self.state, self._records)
        self._callers = self._new_callers(parts.client)
        self._peer_service = PeerService(self.state.local, self._answer_pull, self._token)
        self._peer_server: Server = self._peer_service.server()
        self._figures = Figures(
            self.state, self._callers, self._gossip_port, self._granting, self._platform
        )
        self._retelling: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Serve until a signal asks to stop, then drain."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, stop.set)
        await self._listen()
        self.state.refresh()
        self._tasks.start(self._rounds())
        self._tasks.start(self._sync.run())
        polling = self._interface.poll_loads(self.state)
        if polling is not None:
            self._tasks.start(polling)
        self._tasks.start(self._authority.run())
        self._tasks.start(self._tell_levels())
        self._tasks.start(self._watch_settings())
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._beliefs.note_process("serving", f"hall {self._settings.hall}")
        await stop.wait()
        await self._drain()
        for number in STOP_SIGNALS:
            # From here on the loop no longer listens: a signal that comes again would kill.
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)

    def _new_state(self) -> RouterState:
        settings = self._settings
        own = Alive(
            router=short_id(settings.name),
            incarnation=time.time_ns() // 1_000_000,
            phase=Phase.LIVE,
            name=settings.name,
            host=settings.peers.host,
            port=settings.peers.port,
            hall=settings.hall,
        )
        seeds = [_address(seed) for seed in settings.seeds]
        gossip = Gossip(own, MembershipLimits(), self._rng, seeds)
        return RouterState(
            settings.name,
            settings.hall,
            gossip,
            time.monotonic,
            self._connections.to,
            retries=RetryBudgets(_allowance(settings.retries)),
        )

    def _introduction(self) -> Introduction:
        own = self._settings.peers
        address = None if self._interface.lists_vms else f"{own.host}:{own.port}"
        state = self.state
        return Introduction(state.name, state.gossip, self._platform, self._rng, address)

    def _new_callers(self, client: HttpClient) -> Callers:
        return self._interface.callers(
            CallerParts(
                state=self.state,
                ways=Ways(self._granting.entry, HttpUpstreams(client, self._interface.upstreams)),
                limits=lambda: self._settings.limits,
                metrics=self._metrics,
                records=self._records,
                tasks=self._tasks,
                rng=self._rng,
                starting=Starting(self.state),
            )
        )

    def _new_metrics(self) -> Metrics:
        several: list[Metrics] = []
        statsd = self._settings.statsd
        if statsd is not None:
            prefix = f"{statsd.prefix}.{self._settings.name}"
            several.append(StatsdMetrics(statsd.host, statsd.port, prefix))
        if self._settings.metrics is not None:
            several.append(self._served)
        return AllMetrics(*several)

    async def _listen(self) -> None:
        settings = self._settings
        peers, admin = settings.peers, settings.admin
        tls = self._peer_tls.server if self._peer_tls is not None else None
        await self._peer_server.start(sock=listening(peers.host, peers.port), ssl=tls)
        self._reactor.listenUDP(peers.port, self._gossip_port, interface=peers.host)
        admin_app = Admin(self.state, self._authority, self._figures.counters)
        self._reactor.listenTCP(admin.port, Site(admin_app), interface=admin.host)
        self._listen_to_callers()
        if settings.ready is not None:
            ready = Readiness(settings.ready.path, self._is_ready)
            self._reactor.listenTCP(settings.ready.port, Site(ready), interface=settings.ready.host)

        if settings.metrics is not None:
            self._listen_for_metrics(settings.metrics)

    def _listen_for_metrics(self, endpoint: MetricsEndpoint) -> None:
        """Tell metrics as text; a port that is taken costs the metrics, not the router."""
        page = MetricsPage(endpoint.path, self._metrics_text)
        try:
            self._reactor.listenTCP(endpoint.port, Site(page), interface=endpoint.host)
        except CannotListenError as error:
            log.error("No metrics are told at {}:{}: {}.", endpoint.host, endpoint.port, error)

    def _metrics_text(self) -> bytes:
        self._note_levels()
        return self._served.text()

    def _listen_to_callers(self) -> None:
        resource: Any = self._callers.resource()
        site = CallerSite(resource, lambda: bounded(self.state, self._settings.limits))
        listen_to_callers(self._reactor, self._settings.callers, site)

    def _is_ready(self) -> bool:
        """Return whether the balancer should send callers here."""
        return self.state.fleet.version > 0 and not self.state.stopping()

    # -- peers ----------------------------------------------------------------

    async def _pull(self, member: Member, configuration: int, upstreams: int) -> PullReply | None:
        reply = await self._connections.to(member).pull(configuration, upstreams)
        if reply is None:
            self.state.unreachable(member.name)
        return reply

    def _answer_pull(self, asked: PullRequest) -> PullReply:
        return PullReply(
            self.state.update_since(asked.configuration),
            self.state.upstreams.since(asked.upstreams),
        )

    def _receive(self, payload: bytes, source: Address) -> list[Any]:
        if payload.startswith(GRANT_MARK):
            self._granting.receive(payload[len(GRANT_MARK) :], source)
            return []
        answers = self.state.gossip.receive(payload, source, self.state.clock())
        self.state.refresh()
        self._granting.follow_members()
        if self.state.gossip.ahead():
            self._tasks.start(self._sync.heard_news())
        return answers

    def _spread(self) -> None:
        """Tell some peers at once of something new, and others a little later."""
        self.state.publish()
        self._gossip_port.send(self.state.gossip.news())
        if self._retelling is not None:
            self._retelling.cancel()
        self._retelling = self._tasks.start(self._retell())

    async def _retell(self) -> None:
        for pause in RETELL_PAUSES:
            await asyncio.sleep(pause)
            self._gossip_port.send(self.state.gossip.news())

    async def _rounds(self) -> None:
        while True:
            self.state.tick()
            self._beliefs.look()
            self._granting.tick()
            self._connections.close_gone(self.state.gossip.is_gone)
            now = self.state.clock()
            self._gossip_port.send(self.state.gossip.tick(now))
            self._gossip_port.send(self.state.limits.tick(now))
            STANDARD_OUTPUT.flush()
            await asyncio.sleep(ROUND_SECONDS)

    async def _tell_levels(self) -> None:
        while True:
            await asyncio.sleep(LEVEL_SECONDS)
            self._note_levels()

    def _note_levels(self) -> None:
        for name, level in self._figures.levels().items():
            self._metrics.gauge(name, level)

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
            self._beliefs.note_process("serving", "settings were read anew")

    # -- stopping ---------------------------------------------------------------

    async def _drain(self) -> None:
        self._note_stopping("draining")
        self.state.phase = Phase.DRAINING
        self._announce()
        begun = time.monotonic()
        drain = self._settings.drain
        await asyncio.sleep(max(DRAIN_NOTICE, drain.accept_seconds))
        self._callers.takes_work = False
        whole = drain.whole_seconds
        seconds = self._settings.drain_seconds if whole is None else whole
        deadline = begun + seconds
        while self._busy() and time.monotonic() < deadline:
            await asyncio.sleep(DRAIN_STEP)
        await self._step_down()
        self._note_stopping("stopping")
        await self._hand_over_keys()
        self.state.phase = Phase.LEFT
        self._announce()
        self._tasks.cancel_all()
        self._connections.close_all()
        self._peer_server.close()

    def _note_stopping(self, now: str) -> None:
        self._beliefs.note_process(now, f"{self._callers.in_flight} requests in flight")

    async def _step_down(self) -> None:
        """Give the leases of services up, so that the next router need not wait for them."""
        deadline = time.monotonic() + STEP_DOWN_SECONDS
        while self._authority.holds_anything() and time.monotonic() < deadline:
            await asyncio.sleep(DRAIN_STEP)

    async def _hand_over_keys(self) -> None:
        """Give the keys held here to those who hold them from now on."""
        for key, record in tuple(self.state.keys.record_by_key.items()):
            for name in self.state.key_holders(key)[:HOLDERS]:
                holder = self.state.key_holder(name)
                if holder is not None:
                    await holder.settle(key, record)

    def _announce(self) -> None:
        self.state.refresh()
        self._granting.follow_members()
        self._spread()

    def _busy(self) -> bool:
        return self._callers.in_flight > 0


def _allowance(settings: RetrySettings) -> RetryAllowance:
    named = {"share": settings.share, "slack": settings.slack}
    return RetryAllowance(**{name: value for name, value in named.items() if value is not None})


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


async def serve(settings: Settings, reactor: Any, path: Path) -> None:
    """Run a router until it is asked to stop; ``path`` is where its settings are kept."""
    process = RouterProcess(settings, reactor, await surroundings_of(settings, reactor), path)
    collect_garbage()
    await process.run()
    STANDARD_OUTPUT.flush()
