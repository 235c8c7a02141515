"""What one router knows, and the answers that its decisions read from it.

No I/O here: the shell hands in packets, listings, changes and time.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from pondhatch.configuration import (
    Change,
    Difference,
    Fleet,
    Gap,
    LoadManagement,
    Rejected,
    Update,
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
    ColdPaces,
    EnginePaces,
    Gate,
    Health,
    Notice,
    Notices,
    Regions,
    SpillMemory,
    TokenCounts,
    is_allowed,
    ranked,
    winner,
)
from pondhatch.quarantine import Suspects
from pondhatch.requests import KeyHolder, KeyTable, LocalKeyHolder, RoutingDecision, Target
from pondhatch.router._hall_states import HallStates
from pondhatch.router._intakes import Intakes
from pondhatch.router._lag import Lag
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
    Vanished,
    WatchEvent,
)

#: Seconds from a router's start in which it grants nothing at cold upstreams: until it has met
#: its peers, it takes itself for the owner of all.
ALONE_SECONDS = 0.5
#: Seconds after the last pace that was read for which load is still managed: engines that state
#: one do so in each answer, and a service may see no request for a while.
PACED_SECONDS = 60.0
#: Idle connections to one engine that a router may keep, however many routers share it: with
#: fewer, requests that overlap would open one each.
LEAST_IDLE_CONNECTIONS = 2
#: Decisions kept for the state dump.
KEPT_DECISIONS = 64
#: Who gave a configuration that no peer gave.
PLATFORM = "the platform"


@dataclass
class RouterState:
    """One router's state; see OwnerView and EntryView for what reads it."""

    name: str
    hall: str
    gossip: Gossip
    clock: Callable[[], float]
    #: Returns the way to another router.
    connect: Callable[[Member], KeyHolder]
    fleet: Fleet = field(default_factory=Fleet)
    upstreams: UpstreamList = field(default_factory=UpstreamList)
    #: Those whose entries went a short while ago.
    vanished: Vanished = field(default_factory=Vanished)
    #: What is known of data halls: their regions, and which are evacuated.
    halls: HallStates = field(default_factory=HallStates)
    gate: Gate = field(default_factory=Gate)
    cold_paces: ColdPaces = field(default_factory=ColdPaces)
    #: Tokens that requests hold at the engines that this router owns.
    tokens: TokenCounts = field(default_factory=TokenCounts)
    memory: SpillMemory = field(default_factory=SpillMemory)
    #: Which engine answered a chat last through this router.
    served: SpillMemory = field(default_factory=SpillMemory)
    keys: KeyTable = field(default_factory=KeyTable)
    health: Health = field(default_factory=Health)
    #: Requests under which engines ended.
    suspects: Suspects = field(default_factory=Suspects)
    limits: FleetLimits = field(init=False)
    retries: RetryBudgets = field(default_factory=RetryBudgets)
    #: Bytes held for callers and engines, by account.
    held: HeldBytes = field(default_factory=HeldBytes)
    #: What upstreams said of themselves in their answers.
    notices: Notices = field(default_factory=Notices)
    #: How fast engines work now, as they report it.
    paces: EnginePaces = field(default_factory=EnginePaces)
    #: When load is managed; see ``is_load_managed``.
    load_management: LoadManagement = "off"
    #: When this router last read an engine's pace, in the clock's seconds.
    pace_read_at: float = float("-inf")
    #: Requests that one engine queues itself beyond its slots.
    engine_queue: int = 0
    phase: Phase = Phase.LIVE
    #: Why the platform was last found out of reach; empty while it answers.
    platform_lost: str = ""
    #: Why the newest configuration that was read here is none at all; None where it is in force.
    refused: Rejected | None = None
    #: When the configuration in force came into force, in seconds since 1970.
    in_force_at: float = 0.0
    #: Who gave the configuration in force: the platform, or a peer by name.
    in_force_from: str = ""
    #: Whether what differed did not fit what is in force here, so that peers are asked for the
    #: whole.
    wants_whole: bool = False
    #: For how long this router has known of a newer one.
    lag: Lag = field(default_factory=Lag)
    decisions: deque[RoutingDecision] = field(default_factory=lambda: deque(maxlen=KEPT_DECISIONS))
    #: This router's own side as a holder of keys.
    local: KeyHolder = field(init=False)
    _members: tuple[Member, ...] = ()
    #: Names of those that are neither draining nor gone: asked for ten times a second.
    _live_routers: tuple[str, ...] = ()
    _member_by_name: dict[str, Member] = field(default_factory=dict)
    _started_at: float = field(init=False)
    _owners: Owners = field(init=False)
    _upstream_changes: UpstreamChanges = field(init=False)
    _intakes: Intakes = field(init=False)

    def __post_init__(self) -> None:
        self.limits = FleetLimits(self.name, self.gossip, lambda: self.fleet)
        self._started_at = self.clock()
        self.local = LocalKeyHolder(self.keys, self.clock)
        self._upstream_changes = UpstreamChanges(self.upstreams, self.vanished, self.notices)
        self._intakes = Intakes(
            self.upstreams,
            self.vanished,
            self.halls,
            self._upstream_changes.cold,
            self.notices,
            lambda: self.clock(),
            lambda: self.fleet.service_by_name,
        )
        self._owners = Owners(self.name, self.upstreams, self._intakes.upstream)

    # -- membership ---------------------------------------------------------

    def members(self) -> tuple[Member, ...]:
        """Return the routers that are believed to be there, this one included."""
        return self._members

    def refresh(self) -> None:
        """Take in who is there now; called each round and after each packet's news."""
        members = self.gossip.members(self.clock())
        if members is self._members:
            return
        member_by_name = {member.name: member for member in members}
        for gone in self._member_by_name.keys() - member_by_name.keys():
            self.keys.router_gone(gone)
        self._members = members
        self._member_by_name = member_by_name
        live = tuple(member for member in members if member.phase == Phase.LIVE)
        self._live_routers = tuple(member.name for member in live)
        self.limits.set_live(live)
        self._owners.follow(live)

    def owner_name(self, engine: str) -> str | None:
        """Return the router that owns an engine in this router's view."""
        return self._owners.of(engine)

    def key_holder(self, name: str) -> KeyHolder | None:
        """Return the way to a router as a holder of keys, or None where it is not known."""
        if name == self.name:
            return self.local
        member = self._member_by_name.get(name)
        return self.connect(member) if member is not None else None

    def key_holders(self, key: str, regions: Regions = None) -> tuple[str, ...]:
        """Return the live routers of some regions, ranked for a key."""
        names = self.live_routers()
        if regions is not None:
            hall = {member.name: member.hall for member in self._members}
            names = tuple(n for n in names if is_allowed(self.halls.region(hall[n]), regions))
        return ranked(f"key:{key}", names)

    def live_routers(self) -> tuple[str, ...]:
        """Return the names of the routers that are neither draining nor gone."""
        return self._live_routers

    def note_unreachable(self, name: str) -> None:
        """Note that a router could not be reached."""
        self.gossip.unreachable(name, self.clock())
        self.refresh()

    def is_reachable(self, name: str) -> bool:
        """Return whether a router counts as there for this one."""
        return name in self._member_by_name

    def heard_from(self, name: str) -> None:
        """Note a word of a router that could not be reached for a while."""
        self.gossip.heard_from(name)
        self.refresh()

    def is_watcher(self) -> bool:
        """Return whether this router watches the platform for its hall."""
        return self.name in watchers(self.hall, self._members)

    # -- upstreams ----------------------------------------------------------

    def live_upstreams(self, service: str, regions: Regions = None) -> tuple[str, ...]:
        """Return the service's upstreams that take work bound to some regions, by name."""
        return self._intakes.open_to(service, regions)

    def closed_home(self, service: str, chat: str, regions: Regions) -> tuple[str, str] | None:
        """Return a chat's home engine were its hall not closed to it, and why it is closed."""
        return self._intakes.closed_home(service, chat, regions)

    def former_home(self, service: str, chat: str) -> str | None:
        """Return a chat's home engine were those that leave still counted."""
        entries = self.upstreams.entry_by_name.values()
        there = [
            each.upstream.name
            for each in entries
            if each.upstream.service == service and each.upstream.state != REMOVED
        ]
        return winner(chat, there)

    def note_served(self, chat: int, engine: str) -> None:
        """Remember which engine answered a chat last."""
        self.served.remember(chat, engine)

    def last_served(self, chat: int) -> str | None:
        """Return the engine that answered a chat last, as far as this router saw."""
        return self.served.engine_of(chat)

    def is_young(self, engine: str) -> bool:
        """Return whether an upstream joined after this router knew the list, and lately."""
        return self._upstream_changes.joins.is_young(engine, self.clock())

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

    def take_listed_upstreams(self, listed: Listed) -> bool:
        """Take in what the platform lists; return whether any was news."""
        news = self._upstream_changes.take_listing(listed, self.clock())
        self.upstreams_changed()
        return news

    def take_upstreams(self, update: UpstreamUpdate) -> bool:
        """Take in a peer's entries; return whether any was news."""
        news = self._upstream_changes.take(update, self.clock())
        self.upstreams_changed()
        return news

    def upstreams_since(self, version: int) -> UpstreamUpdate:
        """Return what a peer at a version lacks of the list of upstreams."""
        return self._upstream_changes.since(version, self.clock())

    def take_upstream_event(self, event: WatchEvent) -> bool:
        """Take in one event of a watch on upstreams; return whether it was news."""
        news = self._upstream_changes.take_event(event, self.clock())
        if news:
            self.upstreams_changed()
        return news

    def upstreams_changed(self) -> None:
        """Drop what was derived from the list of upstreams."""
        self._intakes.forget()
        self._owners.forget()

    # -- data halls ---------------------------------------------------------

    def take_listed_evacuations(self, listed: Listed) -> bool:
        """Take in the evacuations that the platform lists; return whether any was news."""
        return self._halls_changed(self.halls.take_listing(listed, self.clock()))

    def take_evacuation_event(self, event: WatchEvent) -> bool:
        """Take in one event of a watch on evacuations; return whether it was news."""
        return self._halls_changed(self.halls.take_event(event, self.clock()))

    def take_evacuations(self, update: EvacuationUpdate | None) -> bool:
        """Take in what a peer knows of evacuations; return whether any was news."""
        return update is not None and self._halls_changed(self.halls.take(update, self.clock()))

    def _halls_changed(self, is_news: bool) -> bool:
        if is_news:
            self._intakes.forget()
        return is_news

    def target(self, engine: str) -> Target | None:
        """Return an upstream as the owner's side needs it, or None."""
        upstream = self._intakes.upstream(engine)
        service = self.fleet.service_by_name.get(upstream.service) if upstream else None
        if upstream is None or service is None:
            return None
        return Target(
            name=engine,
            url=upstream.url,
            intake=self._intakes.intake(upstream, service, self.clock()),
            load_bound=service.load_bound,
            peers=self._intakes.working(upstream.service, self.clock()),
            slots=upstream.slots or service.engine_slots,
            engine_queue=self.engine_queue,
            load_slack=service.load_slack,
            shares_context=service.shares_context,
            instance=upstream.instance,
            pace=self.paces.pace(engine, self.clock()),
            memory_tokens=service.engine_tokens,
            max_idle_connections=self._connections_share(service.max_connections),
        )

    def _connections_share(self, most: int | None) -> int | None:
        """Return how many idle connections of an engine's are this router's, None for no bound."""
        if most is None or not self.is_load_managed():
            return None
        return max(LEAST_IDLE_CONNECTIONS, most // max(1, len(self._live_routers)))

    def cold_count(self) -> int:
        """Return how many upstreams are cold by their own word."""
        return self._upstream_changes.cold.count(self.clock())

    def cold_seconds(self, upstream: str) -> float:
        """Return for how many seconds an upstream is still cold by its own word."""
        return self._upstream_changes.cold.seconds_left(upstream, self.clock())

    def hear(self, upstream: str, notice: Notice, is_own: bool = True) -> bool:
        """Take in what an upstream said of itself in an answer; return whether it was news.

        A pace closes no upstream, so it is no news here.
        ``is_own`` says whether this router was told, or heard of it from another one.
        """
        now = self.clock()
        if notice.pace > 0:
            self.paces.hear(upstream, notice.pace, now)
            if is_own:
                self.pace_read_at = now
            if not notice:
                return False
        known = self._intakes.upstream(upstream)
        is_start_known = known is not None and known.start > 0
        is_news = self.notices.hear(upstream, notice, now, is_start_known, is_own)
        if is_news and notice.rest > 0 and not notice.has_places:
            self.gate.rests(upstream, now, notice.rest)
        if is_news and notice.is_leaving:
            self._intakes.forget()
        return is_news

    def hear_staying(self, upstream: str) -> None:
        """Take in an upstream's own late report that it is not leaving."""
        if self.notices.reports_staying(upstream, self.clock()):
            self._intakes.forget()

    def owners_beside(self, engine: str) -> set[str]:
        """Return the routers that own an engine's service's live upstreams."""
        upstream = self._intakes.upstream(engine)
        names = self.live_upstreams(upstream.service) if upstream is not None else ()
        return {owner for name in names if (owner := self.owner_name(name)) is not None}

    def elsewhere_in_flight(self, engine: str) -> int:
        """Return the in-flight total of the other engines of an engine's service."""
        upstream = self._intakes.upstream(engine)
        if upstream is None:
            return 0
        now = self.clock()
        heard = self.gossip.load_elsewhere(upstream.service, now)
        own = self.owned_by_service().get(upstream.service, ())
        return heard + self.gate.total(tuple(name for name in own if name != engine), now)

    def mean_load(self, service: str) -> float:
        """Return the requests in flight at a service's engines, by engine."""
        now, engines = self.clock(), len(self.live_upstreams(service))
        own = self.owned_by_service().get(service, ())
        total = self.gossip.load_elsewhere(service, now) + self.gate.total(own, now)
        return total / max(1, engines)

    # -- configuration ------------------------------------------------------

    def take_change(self, change: Change, source: str = PLATFORM) -> Rejected | Gap | None:
        """Put the next change in force; None where it is in force now or was before.

        A rejected change is voided: its version passes, nothing of it is in force.
        """
        if change.version <= self.fleet.version:
            return None
        following = self.fleet.with_change(change)
        if isinstance(following, Gap):
            return following
        if isinstance(following, Rejected):
            self._put_in_force(self.fleet.voided(change), source)
            return following
        self._put_in_force(following, source)
        return None

    def take_fleet(self, fleet: Fleet, source: str = PLATFORM) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        if fleet.version <= self.fleet.version:
            return False
        self._put_in_force(fleet, source)
        return True

    def _put_in_force(self, fleet: Fleet, source: str) -> None:
        self.fleet = fleet
        self.in_force_from = source
        self.wants_whole = False
        self.refused = None
        self.in_force_at = time.time()
        self._intakes.forget()

    def knows_all(self, kind: str) -> bool:
        """Return whether every entry of a kind is in force here as the operator wrote it.

        Where it is not, what a caller names may be in the part that is not, and "there is no
        such thing" would be false.
        """
        return self.refused is None and self.fleet.is_whole(kind)

    def take_update(self, update: Update, source: str = PLATFORM) -> Rejected | Gap | None:
        """Take in what a peer says that this router lacks."""
        if update.snapshot is not None and update.snapshot.version > self.fleet.version:
            self.take_fleet(self.fleet.replaced_by(update.snapshot), source)
        if update.difference is not None:
            self._take_difference(update.difference, source)
        wrongs = [self.take_change(change, source) for change in update.changes]
        return next((wrong for wrong in wrongs if wrong is not None), None)

    def _take_difference(self, difference: Difference, source: str) -> None:
        if difference.version <= self.fleet.version:
            return
        following = self.fleet.with_difference(difference)
        self.wants_whole = following is None
        if following is not None:
            self.take_fleet(following, source)

    def update_since(self, version: int, takes_difference: bool = True) -> Update:
        """Return what a router at a version lacks."""
        changes = self.fleet.changes_since(version)
        if changes is not None:
            return Update(changes=changes)
        difference = self.fleet.difference_since(version) if takes_difference else None
        if difference is not None:
            return Update(difference=difference)
        return Update(snapshot=self.fleet.snapshot())

    # -- load ---------------------------------------------------------------

    def is_load_managed(self) -> bool:
        """Return whether the parts of load management are in force at this router now."""
        if self.load_management == "as-needed":
            return self.clock() - self.pace_read_at < PACED_SECONDS
        return self.load_management == "on"

    def begin(self, account: str) -> LimitVerdict:
        """Hold a request against the account's limits."""
        return self.limits.begin(account, self.clock())

    # -- rounds -------------------------------------------------------------

    def is_informed(self) -> bool:
        """Return whether this router knows all that it needs to send requests."""
        is_listed = self.upstreams.version > 0 and self.halls.evacuations.is_known
        return self.fleet.version > 0 and is_listed

    def is_draining(self) -> bool:
        """Return whether this router is draining."""
        return self.phase != Phase.LIVE

    def publish(self) -> None:
        """Set what this router's heartbeats say."""
        self.gossip.publish(
            self.phase,
            self.fleet.version,
            self.upstreams.version,
            self._loads(),
            sees_platform=not self.platform_lost,
            evacuations=self.halls.evacuations.version,
        )

    def tick(self) -> None:
        """Do what is due each round."""
        if self.vanished and self.vanished.forget_old(self.clock()):
            self.upstreams_changed()
        if self._upstream_changes.settle(self.clock()):
            self.upstreams_changed()
        self._halls_changed(self.halls.settle(self.clock()))
        self.paces.forget_old(self.clock())
        if self.notices.forget_old(self.upstreams.entry_by_name, self.clock()):
            self._intakes.forget()
        self.refresh()
        self.retries.set_routers(len(self.live_routers()), self.clock())
        is_alone = self.clock() - self._started_at < ALONE_SECONDS
        self.cold_paces.share = 0.0 if is_alone else self.retries.routers.share
        self.publish()
        self.lag.note(self.fleet.version, self.gossip.newest_configuration(), self.clock())

    def _loads(self) -> tuple[ServiceLoad, ...]:
        now = self.clock()
        return tuple(
            ServiceLoad(short_id(service), len(names), self.gate.total(names, now))
            for service, names in sorted(self.owned_by_service().items())
        )
