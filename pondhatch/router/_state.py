"""The state of one router, and the queries that its routing decisions make.

This module does no I/O: its callers pass in packets, listings, changes and time.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from pondhatch.configuration import LoadManagement
from pondhatch.kernel import Standstill
from pondhatch.limits import HeldBytes, LimitVerdict, RetryBudgets
from pondhatch.membership import Member, Phase, ServiceLoad, Versions, short_id
from pondhatch.placement import (
    BrittleEngines,
    ColdPacer,
    ContextLocations,
    EnginePaces,
    Gate,
    Health,
    Notice,
    TokenCounts,
)
from pondhatch.quarantine import Suspects
from pondhatch.requests import RoutingDecision, Target, WorkTimes
from pondhatch.router._freshness import Freshness
from pondhatch.router._grace import Grace
from pondhatch.router._limits import FleetLimits
from pondhatch.router._upstream_state import UpstreamState

#: Seconds after its start in which a router grants no requests at cold upstreams: until it has
#: discovered its peers, it considers itself the owner of all upstreams.
NO_COLD_GRANTS_SECONDS = 0.5
#: Seconds for which load stays managed after a pace was last read. Engines that report a pace do
#: so in each answer, but a service may get no request for a while.
PACE_TIMEOUT_SECONDS = 60.0
#: Minimum number of idle connections to one engine that a router may keep, however many routers
#: share the engine: with fewer, requests that overlap would each open a connection.
MIN_IDLE_CONNECTIONS = 2
#: Decisions kept for the state dump.
MAX_DECISIONS = 64


@dataclass
class RouterState(UpstreamState):
    """One router's state; OwnerView and EntryView are the interfaces through which it is read."""

    gate: Gate = field(default_factory=Gate)
    cold_pacer: ColdPacer = field(default_factory=ColdPacer)
    #: Tokens of engine memory that requests hold at the engines that this router owns.
    token_counts: TokenCounts = field(default_factory=TokenCounts)
    #: The engine that holds the context of each chat that was sent past its home engine.
    spill_locations: ContextLocations = field(default_factory=ContextLocations)
    #: The engine that last answered each chat through this router.
    last_served_engines: ContextLocations = field(default_factory=ContextLocations)
    health: Health = field(default_factory=Health)
    #: Requests that were running when an engine crashed.
    suspects: Suspects = field(default_factory=Suspects)
    #: When this process last stood still, by its rounds.
    standstill: Standstill = field(default_factory=Standstill)
    #: Up to when this router is known to hold what is newest at the platform.
    freshness: Freshness = field(default_factory=Freshness)
    limits: FleetLimits = field(init=False)
    retry_budgets: RetryBudgets = field(default_factory=RetryBudgets)
    #: Bytes buffered for callers and engines, by account.
    held_bytes: HeldBytes = field(default_factory=HeldBytes)
    #: The current processing speed of engines, as they report it.
    paces: EnginePaces = field(default_factory=EnginePaces)
    #: Refusal limits of engines, by their latest answers to this router.
    brittle_engines: BrittleEngines = field(default_factory=BrittleEngines)
    #: The setting that decides when load is managed; see ``is_load_managed``.
    load_management: LoadManagement = "off"
    #: When this router last read a pace in an engine's answer, in the clock's seconds.
    pace_read_at: float = float("-inf")
    #: Requests beyond its slots that one engine queues by itself.
    engine_queue: int = 0
    phase: Phase = Phase.LIVE
    #: Set once this router was asked to stop.
    grace: Grace | None = None
    #: How long requests of callers took lately.
    work_times: WorkTimes = field(default_factory=WorkTimes)
    #: Why the platform is unreachable; empty while it answers.
    platform_error: str = ""
    decisions: deque[RoutingDecision] = field(default_factory=lambda: deque(maxlen=MAX_DECISIONS))
    _started_at: float = field(init=False)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.limits = FleetLimits(self.name, self.gossip, lambda: self.configuration)
        self._started_at = self.clock()

    # -- targets, notices and load ------------------------------------------

    def target(self, engine: str) -> Target | None:
        """Return an upstream as its owner's decisions need it, or None for an unknown one."""
        upstream = self._intakes.upstream(engine)
        service = self.configuration.service_by_name.get(upstream.service) if upstream else None
        if upstream is None or service is None:
            return None
        return Target(
            name=engine,
            url=upstream.url,
            intake=self._intakes.intake(upstream, service, self.clock()),
            load_bound=service.load_bound,
            open_upstream_count=self._intakes.count_open_not_resting(
                upstream.service, self.clock()
            ),
            slots=upstream.slots or service.engine_slots,
            engine_queue=self.engine_queue,
            load_slack=service.load_slack,
            shares_context=service.shares_context,
            instance=upstream.instance,
            pace=self.paces.pace(engine, self.clock()),
            memory_tokens=service.engine_tokens,
            max_idle_connections=self._idle_connections_share(service.max_connections),
            refusal_limit=self.brittle_engines.limit(engine),
            software_version=upstream.software_version,
        )

    def _idle_connections_share(self, max_connections: int | None) -> int | None:
        """Return this router's share of an engine's idle connections, or None for no bound."""
        if max_connections is None or not self.is_load_managed():
            return None
        return max(MIN_IDLE_CONNECTIONS, max_connections // max(1, len(self._live_routers)))

    def cold_count(self) -> int:
        """Return how many upstreams are cold by their own report."""
        return self._upstream_changes.cold_periods.count(self.clock())

    def cold_seconds(self, upstream: str) -> float:
        """Return for how many more seconds an upstream is cold by its own report."""
        return self._upstream_changes.cold_periods.seconds_left(upstream, self.clock())

    def apply_notice(self, upstream: str, notice: Notice, is_for_this_router: bool = True) -> bool:
        """Apply a notice that an upstream sent in an answer; return whether it changed anything.

        A pace closes no upstream, so it does not count as a change.
        ``is_for_this_router`` is True where this router read the answer itself, and False where
        another router passed the notice on.
        """
        now = self.clock()
        if notice.pace > 0:
            self.paces.record(upstream, notice.pace, now)
            if is_for_this_router:
                self.pace_read_at = now
            if not notice:
                return False
        known = self._intakes.upstream(upstream)
        is_start_known = known is not None and known.start > 0
        changed = self.notices.record(upstream, notice, now, is_start_known, is_for_this_router)
        if changed and notice.rest > 0 and not notice.has_free_slots:
            self.gate.record_rest(upstream, now, notice.rest)
        if changed and notice.is_leaving:
            self._intakes.invalidate()
        return changed

    def apply_live_report(self, upstream: str) -> None:
        """Apply an upstream's own later report that it is not leaving."""
        if self.notices.record_live_report(upstream, self.clock()):
            self._intakes.invalidate()

    def owners_of_same_service(self, engine: str) -> set[str]:
        """Return the owners of the live upstreams of an engine's service."""
        upstream = self._intakes.upstream(engine)
        names = self.live_upstreams(upstream.service) if upstream is not None else ()
        return {owner for name in names if (owner := self.owner_name(name)) is not None}

    def elsewhere_in_flight(self, engine: str) -> int:
        """Return the requests in flight at the other engines of an engine's service."""
        upstream = self._intakes.upstream(engine)
        if upstream is None:
            return 0
        now = self.clock()
        load_at_peers = self.gossip.in_flight_elsewhere(upstream.service, now)
        own = self.owned_by_service().get(upstream.service, ())
        return load_at_peers + self.gate.total(tuple(name for name in own if name != engine), now)

    def mean_load(self, service: str) -> float:
        """Return the mean number of requests in flight at a service's engines."""
        now, engines = self.clock(), len(self.live_upstreams(service))
        own = self.owned_by_service().get(service, ())
        total = self.gossip.in_flight_elsewhere(service, now) + self.gate.total(own, now)
        return total / max(1, engines)

    def note_served(self, chat: int, engine: str) -> None:
        """Record which engine answered a chat last."""
        self.last_served_engines.remember(chat, engine)

    def last_served(self, chat: int) -> str | None:
        """Return the engine that answered a chat last through this router."""
        return self.last_served_engines.engine_of(chat)

    def is_load_managed(self) -> bool:
        """Return whether load management is active at this router now."""
        if self.load_management == "as-needed":
            return self.clock() - self.pace_read_at < PACE_TIMEOUT_SECONDS
        return self.load_management == "on"

    def begin_request(self, account: str) -> LimitVerdict:
        """Check a request against the account's limits, and count it if it is allowed."""
        return self.limits.begin_request(account, self.clock())

    # -- rounds -------------------------------------------------------------

    def has_initial_state(self) -> bool:
        """Return whether this router knows all that it needs to route requests."""
        is_listed = self.upstreams.version > 0 and self.halls.evacuations.is_known
        return self.configuration.version > 0 and is_listed

    def held_versions(self) -> Versions:
        """Return the versions that this router holds."""
        return Versions(
            self.configuration.version, self.upstreams.version, self.halls.evacuations.version
        )

    def is_draining(self) -> bool:
        """Return whether this router is draining."""
        return self.phase != Phase.LIVE

    def publish(self) -> None:
        """Set the contents of this router's heartbeats."""
        self.gossip.publish(
            self.phase,
            self.configuration.version,
            self.upstreams.version,
            self._loads(),
            sees_platform=not self.platform_error,
            evacuations=self.halls.evacuations.version,
        )

    def tick(self) -> None:
        """Run the periodic work of one round."""
        self.standstill.note_round(self.clock())
        if self.vanished and self.vanished.forget_old(self.clock()):
            self.invalidate_upstream_caches()
        if self._upstream_changes.remove_unconfirmed(self.clock()):
            self.invalidate_upstream_caches()
        self._invalidate_if_changed(self.halls.end_unconfirmed_evacuations(self.clock()))
        self.paces.drop_expired(self.clock())
        self.brittle_engines.drop_gone(self.upstreams.entry_by_name.keys())
        if self.notices.drop_expired(self.upstreams.entry_by_name, self.clock()):
            self._intakes.invalidate()
        self.refresh_members()
        self.retry_budgets.set_routers(len(self.live_routers()), self.clock())
        is_discovering_peers = self.clock() - self._started_at < NO_COLD_GRANTS_SECONDS
        self.cold_pacer.fleet_share = (
            0.0 if is_discovering_peers else self.retry_budgets.peak_routers.live_share
        )
        self.publish()
        self.lag.record_versions(
            self.configuration.version, self.gossip.newest_configuration(), self.clock()
        )

    def _loads(self) -> tuple[ServiceLoad, ...]:
        now = self.clock()
        return tuple(
            ServiceLoad(short_id(service), len(names), self.gate.total(names, now))
            for service, names in sorted(self.owned_by_service().items())
        )

    def _set_live(self, live: tuple[Member, ...]) -> None:
        self.limits.set_live(live)
        self._owners.set_live(live)
