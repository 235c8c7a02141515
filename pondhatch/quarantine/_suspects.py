"""Which requests are suspected of ending the engines that run them, and which are convicted.

An engine that ends takes with it all that it runs, up to some sixty requests of which one at
most is the cause. Each of them is suspected; what tells them apart is what comes next. An
innocent one comes through whole on its next run and is cleared. The cause ends the next engine
too, and the one after: at the third it is quarantined, and those that merely fell beside it at
the first two are cleared by that. Evidence is a set that only grows, so routers that hear of it
in any order, twice or late come to the same verdict without asking each other.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from collections.abc import Iterator

import msgspec

from pondhatch.quarantine._evidence import Evidence

#: Engines that must have ended under a request. Two can be bad luck, as when a hall of engines is
#: replaced in a hurry; at one in a hundred runs lost with its engine, a third by chance alone is
#: one in a million, and each engine more that it takes to be sure costs others twenty requests.
CRASHES_TO_QUARANTINE = 3
#: Seconds since the last end for which nobody tries it again. Then one run at a time may, since
#: an engine's next version may bear it: one engine in ten minutes at worst.
QUARANTINE_SECONDS = 600.0
#: Seconds after which an end is forgotten. Callers that repeat a request do so for minutes.
EVIDENCE_LIFETIME = 3600.0
#: Seconds after which evidence against a request that was cleared of it all is told no more.
CLEARED_GOSSIP_SECONDS = 60.0
#: Seconds within which routers tell of the same end of an engine; what is told later under the
#: same name is another end, of an engine whose starts share a name. Starting takes longer.
SAME_CRASH_SECONDS = 2.0
#: Divides an engine's name from the number of its end, from the second on.
ORDINAL_SEPARATOR = "#"
#: Requests remembered at most: thirty engines that end under sixty each, twice over, in 2 MB.
MAX_SUSPECTS = 4096


class Suspect(msgspec.Struct):
    """One request under which engines ended."""

    #: When each engine ended, in the clock's seconds.
    crashed_at_by_engine: dict[str, float] = msgspec.field(default_factory=dict)
    #: Those of them for which the request is known not to be the cause.
    cleared: set[str] = msgspec.field(default_factory=set)

    @property
    def last_crash_at(self) -> float:
        """When the last engine ended under it, in the clock's seconds."""
        return max(self.crashed_at_by_engine.values())

    def uncleared_engines(self) -> list[str]:
        """Return the engines of whose end it was not cleared."""
        return [engine for engine in self.crashed_at_by_engine if engine not in self.cleared]


class Suspects(msgspec.Struct):
    """All suspected requests that a router knows of; no I/O, time is passed in."""

    #: The one with the newest evidence last.
    suspect_by_digest: OrderedDict[int, Suspect] = msgspec.field(default_factory=OrderedDict)
    #: How many requests are suspected of each end, by what it is known by.
    _suspects_by_crash: Counter[str] = msgspec.field(default_factory=Counter)
    #: Those against which as many ends are held as it takes. Few at any time, so that what is
    #: asked of all requests goes by these alone.
    _over_threshold: set[int] = msgspec.field(default_factory=set)
    #: The newest end of each engine: what it is known by, and when it was.
    _last_crash_by_engine: dict[str, tuple[str, float]] = msgspec.field(default_factory=dict)

    def crash_name(self, engine: str, now: float) -> str:
        """Return what an end that is seen now is known by.

        The engine's name, unless an earlier end of an engine of that name is remembered: not
        every platform tells one start of an engine from the next.
        """
        known = self._last_crash_by_engine.get(engine)
        if known is None:
            return engine
        name, crashed_at = known
        if now - crashed_at < SAME_CRASH_SECONDS:
            return name
        ordinal = name.partition(ORDINAL_SEPARATOR)[2] or "1"
        return f"{engine}{ORDINAL_SEPARATOR}{int(ordinal) + 1}"

    def add(self, evidence: Evidence, now: float) -> bool:
        """Take in evidence, one's own or a peer's; return whether it was news."""
        crashed_at = now - evidence.age_ms / 1000
        if now - crashed_at >= EVIDENCE_LIFETIME:
            return False
        self._drop_expired(now)
        suspect = self.suspect_by_digest.setdefault(evidence.digest, Suspect())
        is_new = evidence.engine not in suspect.crashed_at_by_engine
        if is_new:
            suspect.crashed_at_by_engine[evidence.engine] = crashed_at
            self._suspects_by_crash[evidence.engine] += 1
            self._record_crash(evidence.engine, crashed_at)
            self.suspect_by_digest.move_to_end(evidence.digest)
            self._evict_excess()
        is_newly_cleared = evidence.cleared and evidence.engine not in suspect.cleared
        if is_newly_cleared:
            suspect.cleared.add(evidence.engine)
        self._update_threshold(evidence.digest)
        return is_new or is_newly_cleared

    def _record_crash(self, name: str, crashed_at: float) -> None:
        """Keep an engine's newest end; the first word on an end says when it was."""
        engine = name.partition(ORDINAL_SEPARATOR)[0]
        known = self._last_crash_by_engine.get(engine)
        if known is None or (known[0] != name and known[1] < crashed_at):
            self._last_crash_by_engine[engine] = (name, crashed_at)

    def clear_request(self, digest: int, now: float) -> tuple[Evidence, ...]:
        """Note that a request came through whole; return what there is to tell of that."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is None:
            return ()
        found = tuple(
            _evidence(digest, engine, suspect.crashed_at_by_engine[engine], now, cleared=True)
            for engine in suspect.uncleared_engines()
        )
        suspect.cleared.update(each.engine for each in found)
        self._update_threshold(digest)
        return found

    def _update_threshold(self, digest: int) -> None:
        """Keep the list of those against which enough is held."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is not None and len(suspect.uncleared_engines()) >= CRASHES_TO_QUARANTINE:
            self._over_threshold.add(digest)
        else:
            self._over_threshold.discard(digest)

    def crash_count(self, digest: int) -> int:
        """Return how many engines ended under a request that nothing else accounts for."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is None:
            return 0
        uncleared = suspect.uncleared_engines()
        return sum(not self._is_explained(engine, len(uncleared)) for engine in uncleared)

    def is_suspected(self, digest: int) -> bool:
        """Return whether an engine's end is held against a request."""
        return self.crash_count(digest) > 0

    def is_quarantined(self, digest: int, now: float) -> bool:
        """Return whether a request must not be run for now."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is None or self.crash_count(digest) < CRASHES_TO_QUARANTINE:
            return False
        return now - suspect.last_crash_at < QUARANTINE_SECONDS

    def next_crash_quarantines(self, digest: int) -> bool:
        """Return whether one more end would quarantine a request, so that one copy runs at once."""
        return self.crash_count(digest) >= CRASHES_TO_QUARANTINE - 1

    def share_crash(self, one: int, other: int) -> bool:
        """Return whether two requests are suspected of the same engine's end.

        Run at the same time, and at the same engine, they would fall together once more, and
        nothing would tell the innocent one from the cause.
        """
        if one == other:
            return True
        both = (self.suspect_by_digest.get(one), self.suspect_by_digest.get(other))
        uncleared = [set(each.uncleared_engines()) for each in both if each is not None]
        return len(uncleared) == len(both) and not uncleared[0].isdisjoint(uncleared[1])

    def quarantined_digests(self, now: float) -> Iterator[int]:
        """Yield the digests of the requests that are not run for now."""
        return (each for each in self._over_threshold if self.is_quarantined(each, now))

    def all_evidence(self, now: float) -> list[Evidence]:
        """Return what a router that may know nothing has to be told."""
        return [
            each for digest in self.suspect_by_digest for each in self._evidence_about(digest, now)
        ]

    def sample_evidence(self, now: float, rng: random.Random, limit: int) -> list[Evidence]:
        """Return some of it, at random; what convicts first."""
        over_threshold = rng.sample(
            sorted(self._over_threshold), min(limit, len(self._over_threshold))
        )
        others = rng.sample(list(self.suspect_by_digest), min(limit, len(self.suspect_by_digest)))
        found = [
            each
            for digest in [*over_threshold, *others]
            for each in self._evidence_about(digest, now)
        ]
        return list(dict.fromkeys(found))[:limit]

    def _evidence_about(self, digest: int, now: float) -> list[Evidence]:
        """Return what there is to tell of one request."""
        suspect = self.suspect_by_digest[digest]
        if (
            not suspect.uncleared_engines()
            and now - suspect.last_crash_at >= CLEARED_GOSSIP_SECONDS
        ):
            return []
        return [
            _evidence(digest, engine, at, now, engine in suspect.cleared)
            for engine, at in suspect.crashed_at_by_engine.items()
        ]

    def _is_explained(self, engine: str, crashes: int) -> bool:
        """Return whether a convicted request that also ran there ended more engines than one did.

        Without this, all that fell beside a request at two engines would be run one at a time,
        and at a third be refused with it. As many ends make both suspects: to let a cause go
        costs three engines more, to hold an innocent one costs its caller an answer.
        """
        for digest in self._over_threshold:
            uncleared = self.suspect_by_digest[digest].uncleared_engines()
            if len(uncleared) > crashes and engine in uncleared:
                return True
        return False

    def _evict_excess(self) -> None:
        """Forget the oldest beyond the bound, the convicted last."""
        while len(self.suspect_by_digest) > MAX_SUSPECTS:
            below_threshold = (
                d for d in self.suspect_by_digest if self.crash_count(d) < CRASHES_TO_QUARANTINE
            )
            self._drop(next(below_threshold, next(iter(self.suspect_by_digest))))

    def _drop_expired(self, now: float) -> None:
        while self.suspect_by_digest:
            digest, suspect = next(iter(self.suspect_by_digest.items()))
            if now - suspect.last_crash_at < EVIDENCE_LIFETIME:
                return
            self._drop(digest)

    def _drop(self, digest: int) -> None:
        self._over_threshold.discard(digest)
        for crash in self.suspect_by_digest.pop(digest).crashed_at_by_engine:
            self._suspects_by_crash[crash] -= 1
            if not self._suspects_by_crash[crash]:
                del self._suspects_by_crash[crash]
                self._forget_crash(crash)

    def _forget_crash(self, name: str) -> None:
        engine = name.partition(ORDINAL_SEPARATOR)[0]
        if self._last_crash_by_engine.get(engine, ("", 0.0))[0] == name:
            del self._last_crash_by_engine[engine]


def _evidence(digest: int, engine: str, crashed_at: float, now: float, cleared: bool) -> Evidence:
    return Evidence(digest, engine, max(0, round((now - crashed_at) * 1000)), cleared)
