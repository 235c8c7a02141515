"""Records each change of what a router knows about its fleet.

The state is compared once a round with what was last recorded. So no part that changes the state
has to write a record, and a change that is reverted within a round leaves none.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pondhatch.configuration import EntryKey, Misfit, format_misfits
from pondhatch.membership import Member
from pondhatch.observing import Records, StateChange
from pondhatch.placement import Notice
from pondhatch.router._state import RouterState

#: Maximum number of records in one round: a platform that drops all of 2,100 entries must not flood
#: the log. The records left out are counted in a record of their own.
MAX_RECORDS_PER_ROUND = 100


class StateRecorder(msgspec.Struct):
    """Records what changed since the last call of ``record_changes``."""

    state: RouterState
    records: Records
    # The state as it was last recorded:
    #: The version of the configuration in force.
    _configuration_version: int = 0
    #: Why the newest configuration was rejected as a whole; empty where it was in force.
    _rejection: str = ""
    #: The misfits of entries of the configuration in force.
    _misfits_by_entry: Mapping[EntryKey, tuple[Misfit, ...]] = msgspec.field(default_factory=dict)
    #: The version of the list of upstreams.
    _upstreams_version: int = 0
    _state_by_upstream: dict[str, str] = msgspec.field(default_factory=dict)
    _members: tuple[Member, ...] = ()
    #: "down" or "ailing" by upstream; healthy upstreams are left out.
    _health: Mapping[str, str] = msgspec.field(default_factory=dict)
    #: Why the platform was unreachable; empty while it answered.
    _platform_error: str = ""
    #: The notices of upstreams: "leaving", "resting" or both.
    _notice_by_upstream: Mapping[str, str] = msgspec.field(default_factory=dict)
    #: The halls that were evacuated.
    _evacuated_hall_names: frozenset[str] = frozenset()

    def record_changes(self) -> None:
        """Record every change since the last call, up to the maximum of one round."""
        changes = [
            *self._platform_changes(),
            *self._configuration_changes(),
            *self._rejection_changes(),
            *self._misfit_changes(),
            *self._hall_changes(),
            *self._upstream_changes(),
            *self._router_changes(),
            *self._health_changes(),
            *self._notice_changes(),
        ]
        for change in changes[:MAX_RECORDS_PER_ROUND]:
            self.records.write(change)
        left_out = len(changes) - MAX_RECORDS_PER_ROUND
        if left_out > 0:
            self.records.write(StateChange("records", "", f"{left_out} left out"))

    def record_process(self, new_state: str, why: str = "") -> None:
        """Record a change of the process itself: its start, its stop, its settings."""
        self.records.write(StateChange("process", self.state.name, new_state, why=why))

    def _platform_changes(self) -> list[StateChange]:
        error = self.state.platform_error
        if error == self._platform_error:
            return []
        self._platform_error = error
        return [StateChange("platform", "store", "lost" if error else "answering", why=error)]

    def _configuration_changes(self) -> list[StateChange]:
        version = self.state.configuration.version
        if version == self._configuration_version:
            return []
        before, self._configuration_version = self._configuration_version, version
        follows = f"follows {before}" if before else "the first"
        why = f"{follows}, from {self.state.configuration_source}"
        return [StateChange("configuration", "", "in force", version, why)]

    def _rejection_changes(self) -> list[StateChange]:
        rejection = str(self.state.rejected or "")
        if rejection == self._rejection:
            return []
        self._rejection = rejection
        return [
            StateChange(
                "configuration", "", "refused" if rejection else "taken again", why=rejection
            )
        ]

    def _misfit_changes(self) -> list[StateChange]:
        misfits_by_entry = self.state.configuration.misfits_by_entry
        if misfits_by_entry == self._misfits_by_entry:
            return []
        before, self._misfits_by_entry = self._misfits_by_entry, misfits_by_entry
        version = self.state.configuration.version
        text_by_entry = {key: format_misfits(found) for key, found in misfits_by_entry.items()}
        changed = [key for key in text_by_entry if before.get(key) != misfits_by_entry[key]]
        mended = sorted(before.keys() - text_by_entry.keys())
        return [
            *(
                StateChange("entry", " ".join(key), "misfit", version, text_by_entry[key])
                for key in changed
            ),
            *(StateChange("entry", " ".join(key), "mended or gone", version) for key in mended),
        ]

    def _hall_changes(self) -> list[StateChange]:
        evacuations = self.state.halls.evacuations
        if evacuations.halls == self._evacuated_hall_names:
            return []
        before, self._evacuated_hall_names = self._evacuated_hall_names, evacuations.halls
        return [
            StateChange(
                "hall",
                hall,
                "evacuated" if hall in self._evacuated_hall_names else "open",
                evacuations.evacuation_by_hall[hall].version,
            )
            for hall in sorted(before ^ self._evacuated_hall_names)
        ]

    def _upstream_changes(self) -> list[StateChange]:
        upstreams = self.state.upstreams
        if upstreams.version == self._upstreams_version:
            return []
        self._upstreams_version = upstreams.version
        entries = upstreams.entry_by_name.items()
        states = {name: entry.upstream.state for name, entry in entries}
        changed = _differences(self._state_by_upstream, states, "removed")
        self._state_by_upstream = states
        return [
            StateChange("upstream", name, now, self._version_of(name), why)
            for name, now, why in changed
        ]

    def _version_of(self, upstream: str) -> int:
        entry = self.state.upstreams.entry_by_name.get(upstream)
        return entry.version if entry is not None else self.state.upstreams.version

    def _router_changes(self) -> list[StateChange]:
        members = self.state.members()
        if members is self._members:
            return []
        before, now = _phases(self._members), _phases(members)
        self._members = members
        return [
            StateChange("router", name, self._absence(name) if phase == "" else phase, why=why)
            for name, phase, why in _differences(before, now, "")
        ]

    def _absence(self, router: str) -> str:
        return "gone" if self.state.gossip.is_gone(router) else "out of reach"

    def _health_changes(self) -> list[StateChange]:
        health = self.state.health.states(self.state.clock())
        if health == self._health:
            return []
        changed = _differences(self._health, health, "well")
        self._health = health
        return [StateChange("health", name, now, why=why) for name, now, why in changed]

    def _notice_changes(self) -> list[StateChange]:
        in_force = self.state.notices.current(self.state.clock())
        text_by_upstream = {name: _notice_text(notice) for name, notice in in_force.items()}
        if text_by_upstream == self._notice_by_upstream:
            return []
        changed = _differences(self._notice_by_upstream, text_by_upstream, "nothing")
        self._notice_by_upstream = text_by_upstream
        return [StateChange("notice", name, now, why=why) for name, now, why in changed]


def _notice_text(notice: Notice) -> str:
    """Return "leaving", "resting" or both, according to the notice."""
    words = ["leaving"] if notice.is_leaving else []
    return " ".join([*words, "resting"] if notice.rest > 0 else words)


def _phases(members: tuple[Member, ...]) -> dict[str, str]:
    return {member.name: member.phase.name.lower() for member in members}


def _differences(
    before: Mapping[str, str], now: Mapping[str, str], absent: str
) -> list[tuple[str, str, str]]:
    """Return the names that changed, each with its new value and a reason that names the old."""
    names = sorted({*before, *now})
    changed = [name for name in names if before.get(name) != now.get(name)]
    return [
        (name, now.get(name, absent), f"was {before[name]}" if name in before else "new")
        for name in changed
    ]
