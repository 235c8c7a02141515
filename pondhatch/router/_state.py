"""The state of one router, and the queries that its routing decisions make.

This module does no I/O: its callers pass in packets, listings, changes and time.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from pondhatch.configuration import (
    Change,
    Difference,
    FleetConfiguration,
    LoadManagement,
    Rejected,
    Update,
    VersionGap,
)
from pondhatch.limits import HeldBytes, LimitVerdict, RetryBudgets
from pondhatch.membership import (
    Gossip,
    Member,
    Phase,
    ServiceLoad,
    short_id,
    watchers,
)
from pondhatch.placement import (
    BrittleEngines,
    ColdPacer,
    ContextLocations,
    EnginePaces,
    Gate,
    Health,
    Notice,
    Notices,
    Regions,
    TokenCounts,
    is_region_allowed,
    ranked,
    winner,
)
from pondhatch.quarantine import Suspects
from pondhatch.requests import KeyHolder, KeyTable, LocalKeyHolder, RoutingDecision, Target
from pondhatch.router._hall_states import HallStates
from pondhatch.router._intakes import Intakes
from pondhatch.router._lag import ConfigurationLag
from pondhatch.router._limits import FleetLimits
from pondhatch.router._owners import Owners
from pondhatch.router._upstream_changes import UpstreamChanges
from pondhatch.store import (
    REMOVED,
    EvacuationUpdate,
    Listed,
    Upstream,
    UpstreamList,
    UpstreamUpdate,
    VanishedUpstreams,
    WatchEvent,
)

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
#: Source of a configuration that was read from the platform and not pulled from a peer.
PLATFORM_SOURCE = "the platform"


@dataclass
class RouterState:
    """One router's state; OwnerView and EntryView are the interfaces through which it is read."""

    name: str
    hall: str
    gossip: Gossip
    clock: Callable[[], float]
    #: Returns a client for another router's idempotency keys.
    connect: Callable[[Member], KeyHolder]
    configuration: FleetConfiguration = field(default_factory=FleetConfiguration)
    upstreams: UpstreamList = field(default_factory=UpstreamList)
    #: Upstreams whose entries vanished from the list a short while ago.
    vanished: VanishedUpstreams = field(default_factory=VanishedUpstreams)
    #: Regions of data halls, and which halls are evacuated.
    halls: HallStates = field(default_factory=HallStates)
    gate: Gate = field(default_factory=Gate)
    cold_pacer: ColdPacer = field(default_factory=ColdPacer)
    #: Tokens of engine memory that requests hold at the engines that this router owns.
    token_counts: TokenCounts = field(default_factory=TokenCounts)
    #: The engine that holds the context of each chat that was sent past its home engine.
    spill_locations: ContextLocations = field(default_factory=ContextLocations)
    #: The engine that last answered each chat through this router.
    last_served_engines: ContextLocations = field(default_factory=ContextLocations)
    key_table: KeyTable = field(default_factory=KeyTable)
    health: Health = field(default_factory=Health)
    #: Requests that were running when an engine crashed.
    suspects: Suspects = field(default_factory=Suspects)
    limits: FleetLimits = field(init=False)
    retry_budgets: RetryBudgets = field(default_factory=RetryBudgets)
    #: Bytes buffered for callers and engines, by account.
    held_bytes: HeldBytes = field(default_factory=HeldBytes)
    #: What upstreams reported of themselves in their answers: that they leave or rest.
    notices: Notices = field(default_factory=Notices)
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
    #: Why the platform is unreachable; empty while it answers.
    platform_error: str = ""
    #: Why the newest configuration that was read here was rejected as a whole; None where it is
    #: in force.
    rejected: Rejected | None = None
    #: When the current configuration came into force, in seconds since 1970.
    in_force_at: float = 0.0
    #: Where the configuration in force came from: the platform, or a peer by name.
    configuration_source: str = ""
    #: Whether a peer's difference did not apply to the configuration in force here, so that the
    #: next pull asks for a snapshot.
    needs_snapshot: bool = False
    #: For how long this router has known of a newer configuration.
    lag: ConfigurationLag = field(default_factory=ConfigurationLag)
    decisions: deque[RoutingDecision] = field(default_factory=lambda: deque(maxlen=MAX_DECISIONS))
    #: This router as a holder of idempotency keys.
    local_key_holder: KeyHolder = field(init=False)
    _members: tuple[Member, ...] = ()
    #: Names of the routers that are neither draining nor gone. Cached: read ten times a second.
    _live_routers: tuple[str, ...] = ()
    _member_by_name: dict[str, Member] = field(default_factory=dict)
    _started_at: float = field(init=False)
    _owners: Owners = field(init=False)
    _upstream_changes: UpstreamChanges = field(init=False)
    _intakes: Intakes = field(init=False)

    def __post_init__(self) -> None:
        self.limits = FleetLimits(self.name, self.gossip, lambda: self.configuration)
        self._started_at = self.clock()
        self.local_key_holder = LocalKeyHolder(self.key_table, self.clock)
        self._upstream_changes = UpstreamChanges(self.upstreams, self.vanished, self.notices)
        self._intakes = Intakes(
            self.upstreams,
            self.vanished,
            self.halls,
            self._upstream_changes.cold_periods,
            self.notices,
            lambda: self.clock(),
            lambda: self.configuration.service_by_name,
        )
        self._owners = Owners(self.name, self.upstreams, self._intakes.upstream)

    # -- membership ---------------------------------------------------------

    def members(self) -> tuple[Member, ...]:
        """Return the current members of the fleet, this router included."""
        return self._members

    def refresh_members(self) -> None:
        """Update the members from gossip; called each round and after each gossip packet."""
        members = self.gossip.members(self.clock())
        if members is self._members:
            return
        member_by_name = {member.name: member for member in members}
        for gone in self._member_by_name.keys() - member_by_name.keys():
            self.key_table.router_gone(gone)
        self._members = members
        self._member_by_name = member_by_name
        live = tuple(member for member in members if member.phase == Phase.LIVE)
        self._live_routers = tuple(member.name for member in live)
        self.limits.set_live(live)
        self._owners.set_live(live)

    def owner_name(self, engine: str) -> str | None:
        """Return the name of the engine's owner in this router's view."""
        return self._owners.owner_name(engine)

    def key_holder(self, name: str) -> KeyHolder | None:
        """Return a client for the keys that a router holds, or None for an unknown router."""
        if name == self.name:
            return self.local_key_holder
        member = self._member_by_name.get(name)
        return self.connect(member) if member is not None else None

    def key_holders(self, key: str, regions: Regions = None) -> tuple[str, ...]:
        """Return the names of the live routers of the regions, ranked for a key."""
        names = self.live_routers()
        if regions is not None:
            hall_by_name = {member.name: member.hall for member in self._members}
            names = tuple(
                n for n in names if is_region_allowed(self.halls.region(hall_by_name[n]), regions)
            )
        return ranked(f"key:{key}", names)

    def live_routers(self) -> tuple[str, ...]:
        """Return the names of the routers that are neither draining nor gone."""
        return self._live_routers

    def note_unreachable(self, name: str) -> None:
        """Record that a call to a router failed."""
        self.gossip.mark_unreachable(name, self.clock())
        self.refresh_members()

    def is_reachable(self, name: str) -> bool:
        """Return whether a router is a member in this router's view."""
        return name in self._member_by_name

    def mark_reachable(self, name: str) -> None:
        """Record contact with a router that was unreachable for a while."""
        self.gossip.mark_reachable(name)
        self.refresh_members()

    def is_watcher(self) -> bool:
        """Return whether this router is one of those that watch the platform for their hall."""
        return self.name in watchers(self.hall, self._members)

    # -- upstreams ----------------------------------------------------------

    def live_upstreams(
        self, service: str, regions: Regions = None, software_version: str | None = None
    ) -> tuple[str, ...]:
        """Return the names of the service's upstreams open to requests bound to some regions.

        With a software version, only the upstreams of that version.
        """
        return self._intakes.open_upstreams(service, regions, software_version)

    def closed_home(self, service: str, chat: str, regions: Regions) -> tuple[str, str] | None:
        """Return the chat's home engine if its hall is closed to the chat, and the reason.

        Return None where the home engine's hall is open.
        """
        return self._intakes.closed_home(service, chat, regions)

    def former_home(self, service: str, chat: str) -> str | None:
        """Return what a chat's home engine would be if leaving upstreams still counted."""
        entries = self.upstreams.entry_by_name.values()
        names = [
            each.upstream.name
            for each in entries
            if each.upstream.service == service and each.upstream.state != REMOVED
        ]
        return winner(chat, names)

    def note_served(self, chat: int, engine: str) -> None:
        """Record which engine answered a chat last."""
        self.last_served_engines.remember(chat, engine)

    def last_served(self, chat: int) -> str | None:
        """Return the engine that answered a chat last through this router."""
        return self.last_served_engines.engine_of(chat)

    def is_young(self, engine: str) -> bool:
        """Return whether an upstream joined lately, and after this router first had the list."""
        return self._upstream_changes.join_times.is_young(engine, self.clock())

    def can_resume(self, engine: str) -> bool:
        """Return whether an engine can resume a broken stream."""
        upstream = self.upstreams.upstream(engine)
        return upstream is not None and upstream.resumes

    def owned_by_service(self) -> dict[str, tuple[str, ...]]:
        """Return the names of the live upstreams that this router owns, by service."""
        return self._owners.owned_by_service()

    def owned(self) -> tuple[Upstream, ...]:
        """Return the live upstreams that this router owns."""
        names = [name for own in self.owned_by_service().values() for name in own]
        return tuple(self.upstreams.entry_by_name[name].upstream for name in names)

    def apply_listed_upstreams(self, listed: Listed) -> bool:
        """Apply the platform's list of upstreams; return whether anything changed."""
        changed = self._upstream_changes.apply_listing(listed, self.clock())
        self.invalidate_upstream_caches()
        return changed

    def apply_upstreams(self, update: UpstreamUpdate) -> bool:
        """Apply a peer's entries of upstreams; return whether anything changed."""
        changed = self._upstream_changes.apply_update(update, self.clock())
        self.invalidate_upstream_caches()
        return changed

    def upstreams_since(self, version: int) -> UpstreamUpdate:
        """Return the entries of upstreams that a peer at a version lacks."""
        return self._upstream_changes.since(version, self.clock())

    def apply_upstream_event(self, event: WatchEvent) -> bool:
        """Apply one event of the watch on upstreams; return whether it changed anything."""
        changed = self._upstream_changes.apply_event(event, self.clock())
        if changed:
            self.invalidate_upstream_caches()
        return changed

    def invalidate_upstream_caches(self) -> None:
        """Drop the caches that were derived from the list of upstreams."""
        self._intakes.invalidate()
        self._owners.invalidate()

    # -- data halls ---------------------------------------------------------

    def apply_listed_evacuations(self, listed: Listed) -> bool:
        """Apply the platform's list of evacuations; return whether anything changed."""
        return self._invalidate_if_changed(self.halls.apply_listing(listed, self.clock()))

    def apply_evacuation_event(self, event: WatchEvent) -> bool:
        """Apply one event of the watch on evacuations; return whether it changed anything."""
        return self._invalidate_if_changed(self.halls.apply_event(event, self.clock()))

    def apply_evacuations(self, update: EvacuationUpdate | None) -> bool:
        """Apply the evacuations that a peer knows; return whether anything changed."""
        return update is not None and self._invalidate_if_changed(
            self.halls.apply_update(update, self.clock())
        )

    def _invalidate_if_changed(self, changed: bool) -> bool:
        if changed:
            self._intakes.invalidate()
        return changed

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

    # -- configuration ------------------------------------------------------

    def apply_change(
        self, change: Change, source: str = PLATFORM_SOURCE
    ) -> Rejected | VersionGap | None:
        """Put the next change in force; return None where it is in force now or was before.

        A rejected change is skipped: the version advances, and none of its edits apply.
        Where versions in between are missing, nothing changes and the gap is returned.
        """
        if change.version <= self.configuration.version:
            return None
        next_configuration = self.configuration.with_change(change)
        if isinstance(next_configuration, VersionGap):
            return next_configuration
        if isinstance(next_configuration, Rejected):
            self._put_in_force(self.configuration.with_skipped_change(change), source)
            return next_configuration
        self._put_in_force(next_configuration, source)
        return None

    def apply_configuration(
        self, configuration: FleetConfiguration, source: str = PLATFORM_SOURCE
    ) -> bool:
        """Put a configuration in force if it is newer; return whether it is."""
        if configuration.version <= self.configuration.version:
            return False
        self._put_in_force(configuration, source)
        return True

    def _put_in_force(self, configuration: FleetConfiguration, source: str) -> None:
        self.configuration = configuration
        self.configuration_source = source
        self.needs_snapshot = False
        self.rejected = None
        self.in_force_at = time.time()
        self._intakes.invalidate()

    def has_all_entries(self, kind: str) -> bool:
        """Return whether every entry of a kind is in force here as the operator wrote it.

        Otherwise an entry that a caller names and this router lacks may be one that is not in
        force here, and to answer that it does not exist would be wrong.
        """
        return self.rejected is None and self.configuration.is_fully_applied(kind)

    def apply_update(
        self, update: Update, source: str = PLATFORM_SOURCE
    ) -> Rejected | VersionGap | None:
        """Apply a peer's update; return the first change that was rejected or left a gap."""
        if update.snapshot is not None and update.snapshot.version > self.configuration.version:
            self.apply_configuration(self.configuration.with_snapshot(update.snapshot), source)
        if update.difference is not None:
            self._apply_difference(update.difference, source)
        problems = [self.apply_change(change, source) for change in update.changes]
        return next((problem for problem in problems if problem is not None), None)

    def _apply_difference(self, difference: Difference, source: str) -> None:
        if difference.version <= self.configuration.version:
            return
        next_configuration = self.configuration.with_difference(difference)
        self.needs_snapshot = next_configuration is None
        if next_configuration is not None:
            self.apply_configuration(next_configuration, source)

    def update_since(self, version: int, takes_difference: bool = True) -> Update:
        """Return the update for a router at a version: changes, a difference or a snapshot."""
        changes = self.configuration.changes_since(version)
        if changes is not None:
            return Update(changes=changes)
        difference = self.configuration.difference_since(version) if takes_difference else None
        if difference is not None:
            return Update(difference=difference)
        return Update(snapshot=self.configuration.snapshot())

    # -- load ---------------------------------------------------------------

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
