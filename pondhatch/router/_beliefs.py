"""What a router takes to be so, and a record whenever that changes.

Compared once a round with what was last recorded, so that no part that learns something
has to tell of it, and what changes and changes back within a round leaves no record.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pondhatch.configuration import EntryKey, Misfit, told
from pondhatch.membership import Member
from pondhatch.observing import Believed, Records
from pondhatch.placement import Notice
from pondhatch.router._state import RouterState

#: Records of one round at most: a platform that drops all of 2,100 entries must not flood
#: the log. What is left out is counted in a record of its own.
MOST_A_ROUND = 100


class Beliefs(msgspec.Struct):
    """Notes what changed since the last look."""

    state: RouterState
    records: Records
    # What was last recorded:
    #: The version of the configuration in force.
    _configuration_version: int = 0
    #: Why the newest configuration was none; empty where it was in force.
    _refused: str = ""
    #: What was wrong with entries of the configuration in force.
    _misfits_by_entry: Mapping[EntryKey, tuple[Misfit, ...]] = msgspec.field(default_factory=dict)
    #: The version of the list of upstreams.
    _upstreams_version: int = 0
    _state_by_upstream: dict[str, str] = msgspec.field(default_factory=dict)
    _members: tuple[Member, ...] = ()
    #: "down" or "ailing" by upstream; one that is well is not listed.
    _health: Mapping[str, str] = msgspec.field(default_factory=dict)
    #: Why the platform was out of reach; empty while it answered.
    _platform_lost: str = ""
    #: What upstreams said of themselves: "leaving", "resting" or both.
    _said: Mapping[str, str] = msgspec.field(default_factory=dict)
    #: The halls that were evacuated.
    _evacuated: frozenset[str] = frozenset()

    def look(self) -> None:
        """Note every change since the last look, up to the bound."""
        changes = [
            *self._platform(),
            *self._configuration_in_force(),
            *self._configuration_refused(),
            *self._entries(),
            *self._evacuated_halls(),
            *self._upstream_list(),
            *self._routers(),
            *self._upstreams_health(),
            *self._upstreams_notices(),
        ]
        for change in changes[:MOST_A_ROUND]:
            self.records.note(change)
        left_out = len(changes) - MOST_A_ROUND
        if left_out > 0:
            self.records.note(Believed("records", "", f"{left_out} left out"))

    def note_process(self, now: str, why: str = "") -> None:
        """Note a change of the process itself: its start, its stop, its settings."""
        self.records.note(Believed("process", self.state.name, now, why=why))

    def _platform(self) -> list[Believed]:
        lost = self.state.platform_lost
        if lost == self._platform_lost:
            return []
        self._platform_lost = lost
        return [Believed("platform", "store", "lost" if lost else "answering", why=lost)]

    def _configuration_in_force(self) -> list[Believed]:
        version = self.state.fleet.version
        if version == self._configuration_version:
            return []
        before, self._configuration_version = self._configuration_version, version
        follows = f"follows {before}" if before else "the first"
        why = f"{follows}, from {self.state.in_force_from}"
        return [Believed("configuration", "", "in force", version, why)]

    def _configuration_refused(self) -> list[Believed]:
        refused = str(self.state.refused or "")
        if refused == self._refused:
            return []
        self._refused = refused
        return [Believed("configuration", "", "refused" if refused else "taken again", why=refused)]

    def _entries(self) -> list[Believed]:
        misfits_by_entry = self.state.fleet.misfits_by_entry
        if misfits_by_entry == self._misfits_by_entry:
            return []
        before, self._misfits_by_entry = self._misfits_by_entry, misfits_by_entry
        version = self.state.fleet.version
        wrong = {key: told(found) for key, found in misfits_by_entry.items()}
        changed = [key for key in wrong if before.get(key) != misfits_by_entry[key]]
        mended = sorted(before.keys() - wrong.keys())
        return [
            *(Believed("entry", " ".join(key), "misfit", version, wrong[key]) for key in changed),
            *(Believed("entry", " ".join(key), "mended or gone", version) for key in mended),
        ]

    def _evacuated_halls(self) -> list[Believed]:
        evacuations = self.state.halls.evacuations
        if evacuations.halls == self._evacuated:
            return []
        before, self._evacuated = self._evacuated, evacuations.halls
        return [
            Believed(
                "hall",
                hall,
                "evacuated" if hall in self._evacuated else "open",
                evacuations.evacuation_by_hall[hall].version,
            )
            for hall in sorted(before ^ self._evacuated)
        ]

    def _upstream_list(self) -> list[Believed]:
        upstreams = self.state.upstreams
        if upstreams.version == self._upstreams_version:
            return []
        self._upstreams_version = upstreams.version
        entries = upstreams.entry_by_name.items()
        states = {name: entry.upstream.state for name, entry in entries}
        changed = _differences(self._state_by_upstream, states, "removed")
        self._state_by_upstream = states
        return [
            Believed("upstream", name, now, self._version_of(name), why)
            for name, now, why in changed
        ]

    def _version_of(self, upstream: str) -> int:
        entry = self.state.upstreams.entry_by_name.get(upstream)
        return entry.version if entry is not None else self.state.upstreams.version

    def _routers(self) -> list[Believed]:
        members = self.state.members()
        if members is self._members:
            return []
        before, now = _phases(self._members), _phases(members)
        self._members = members
        return [
            Believed("router", name, self._absence(name) if phase == "" else phase, why=why)
            for name, phase, why in _differences(before, now, "")
        ]

    def _absence(self, router: str) -> str:
        return "gone" if self.state.gossip.is_gone(router) else "out of reach"

    def _upstreams_health(self) -> list[Believed]:
        health = self.state.health.states(self.state.clock())
        if health == self._health:
            return []
        changed = _differences(self._health, health, "well")
        self._health = health
        return [Believed("health", name, now, why=why) for name, now, why in changed]

    def _upstreams_notices(self) -> list[Believed]:
        in_force = self.state.notices.in_force(self.state.clock())
        said = {name: _told(notice) for name, notice in in_force.items()}
        if said == self._said:
            return []
        changed = _differences(self._said, said, "nothing")
        self._said = said
        return [Believed("notice", name, now, why=why) for name, now, why in changed]


def _told(notice: Notice) -> str:
    """Return what an upstream said of itself in a word or two."""
    words = ["leaving"] if notice.is_leaving else []
    return " ".join([*words, "resting"] if notice.rest > 0 else words)


def _phases(members: tuple[Member, ...]) -> dict[str, str]:
    return {member.name: member.phase.name.lower() for member in members}


def _differences(
    before: Mapping[str, str], now: Mapping[str, str], absent: str
) -> list[tuple[str, str, str]]:
    """Return the names that changed, each with what it is now and why: what it was before."""
    names = sorted({*before, *now})
    changed = [name for name in names if before.get(name) != now.get(name)]
    return [
        (name, now.get(name, absent), f"was {before[name]}" if name in before else "new")
        for name in changed
    ]
