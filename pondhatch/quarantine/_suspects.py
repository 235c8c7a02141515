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
ENDS_TO_QUARANTINE = 3
#: Seconds since the last end for which nobody tries it again. Then one run at a time may, since
#: an engine's next version may bear it: one engine in ten minutes at worst.
HOLD_SECONDS = 600.0
#: Seconds after which an end is forgotten. Callers that repeat a request do so for minutes.
KEEP_SECONDS = 3600.0
#: Seconds after which evidence against a request that was cleared of it all is told no more.
SETTLED_SECONDS = 60.0
#: Seconds within which routers tell of the same end of an engine; what is told later under the
#: same name is another end, of an engine whose starts share a name. Starting takes longer.
SAME_END_SECONDS = 2.0
#: Divides an engine's name from the number of its end, from the second on.
ORDINAL_MARK = "#"
#: Requests remembered at most: thirty engines that end under sixty each, twice over, in 2 MB.
MOST_SUSPECTS = 4096


class Suspect(msgspec.Struct):
    """One request under which engines ended."""

    #: When each engine ended, in the clock's seconds.
    ended_at_by_engine: dict[str, float] = msgspec.field(default_factory=dict)
    #: Those of them for which the request is known not to be the cause.
    cleared: set[str] = msgspec.field(default_factory=set)

    @property
    def last_end(self) -> float:
        """When the last engine ended under it, in the clock's seconds."""
        return max(self.ended_at_by_engine.values())

    def held_against_it(self) -> list[str]:
        """Return the engines of whose end it was not cleared."""
        return [engine for engine in self.ended_at_by_engine if engine not in self.cleared]


class Suspects(msgspec.Struct):
    """All suspected requests that a router knows of; no I/O, time is passed in."""

    #: The one with the newest evidence last.
    suspect_by_digest: OrderedDict[int, Suspect] = msgspec.field(default_factory=OrderedDict)
    #: How many requests are suspected of each end, by what it is known by.
    _suspects_by_end: Counter[str] = msgspec.field(default_factory=Counter)
    #: Those against which as many ends are held as it takes. Few at any time, so that what is
    #: asked of all requests goes by these alone.
    _heavy: set[int] = msgspec.field(default_factory=set)
    #: The newest end of each engine: what it is known by, and when it was.
    _last_end_by_engine: dict[str, tuple[str, float]] = msgspec.field(default_factory=dict)

    def name_of_end(self, engine: str, now: float) -> str:
        """Return what an end that is seen now is known by.

        The engine's name, unless an earlier end of an engine of that name is remembered: not
        every platform tells one start of an engine from the next.
        """
        known = self._last_end_by_engine.get(engine)
        if known is None:
            return engine
        name, ended_at = known
        if now - ended_at < SAME_END_SECONDS:
            return name
        ordinal = name.partition(ORDINAL_MARK)[2] or "1"
        return f"{engine}{ORDINAL_MARK}{int(ordinal) + 1}"

    def take(self, evidence: Evidence, now: float) -> bool:
        """Take in evidence, one's own or a peer's; return whether it was news."""
        ended_at = now - evidence.age_ms / 1000
        if now - ended_at >= KEEP_SECONDS:
            return False
        self._forget_old(now)
        suspect = self.suspect_by_digest.setdefault(evidence.digest, Suspect())
        is_new = evidence.engine not in suspect.ended_at_by_engine
        if is_new:
            suspect.ended_at_by_engine[evidence.engine] = ended_at
            self._suspects_by_end[evidence.engine] += 1
            self._note_end(evidence.engine, ended_at)
            self.suspect_by_digest.move_to_end(evidence.digest)
            self._keep_bound()
        is_acquittal = evidence.cleared and evidence.engine not in suspect.cleared
        if is_acquittal:
            suspect.cleared.add(evidence.engine)
        self._weigh(evidence.digest)
        return is_new or is_acquittal

    def _note_end(self, name: str, ended_at: float) -> None:
        """Keep an engine's newest end; the first word on an end says when it was."""
        engine = name.partition(ORDINAL_MARK)[0]
        known = self._last_end_by_engine.get(engine)
        if known is None or (known[0] != name and known[1] < ended_at):
            self._last_end_by_engine[engine] = (name, ended_at)

    def acquit(self, digest: int, now: float) -> tuple[Evidence, ...]:
        """Note that a request came through whole; return what there is to tell of that."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is None:
            return ()
        found = tuple(
            _evidence(digest, engine, suspect.ended_at_by_engine[engine], now, cleared=True)
            for engine in suspect.held_against_it()
        )
        suspect.cleared.update(each.engine for each in found)
        self._weigh(digest)
        return found

    def _weigh(self, digest: int) -> None:
        """Keep the list of those against which enough is held."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is not None and len(suspect.held_against_it()) >= ENDS_TO_QUARANTINE:
            self._heavy.add(digest)
        else:
            self._heavy.discard(digest)

    def ends(self, digest: int) -> int:
        """Return how many engines ended under a request that nothing else accounts for."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is None:
            return 0
        against = suspect.held_against_it()
        return sum(not self._is_explained(engine, len(against)) for engine in against)

    def is_suspected(self, digest: int) -> bool:
        """Return whether an engine's end is held against a request."""
        return self.ends(digest) > 0

    def is_quarantined(self, digest: int, now: float) -> bool:
        """Return whether a request must not be run for now."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is None or self.ends(digest) < ENDS_TO_QUARANTINE:
            return False
        return now - suspect.last_end < HOLD_SECONDS

    def may_end_another(self, digest: int) -> bool:
        """Return whether one more end would quarantine a request, so that one copy runs at once."""
        return self.ends(digest) >= ENDS_TO_QUARANTINE - 1

    def fell_together(self, one: int, other: int) -> bool:
        """Return whether two requests are suspected of the same engine's end.

        Run at the same time, and at the same engine, they would fall together once more, and
        nothing would tell the innocent one from the cause.
        """
        if one == other:
            return True
        both = (self.suspect_by_digest.get(one), self.suspect_by_digest.get(other))
        held = [set(each.held_against_it()) for each in both if each is not None]
        return len(held) == len(both) and not held[0].isdisjoint(held[1])

    def quarantined(self, now: float) -> Iterator[int]:
        """Yield the digests of the requests that are not run for now."""
        return (each for each in self._heavy if self.is_quarantined(each, now))

    def all_evidence(self, now: float) -> list[Evidence]:
        """Return what a router that may know nothing has to be told."""
        return [each for digest in self.suspect_by_digest for each in self._about(digest, now)]

    def some_evidence(self, now: float, rng: random.Random, most: int) -> list[Evidence]:
        """Return some of it, at random; what convicts first."""
        heavy = rng.sample(sorted(self._heavy), min(most, len(self._heavy)))
        others = rng.sample(list(self.suspect_by_digest), min(most, len(self.suspect_by_digest)))
        found = [each for digest in [*heavy, *others] for each in self._about(digest, now)]
        return list(dict.fromkeys(found))[:most]

    def _about(self, digest: int, now: float) -> list[Evidence]:
        """Return what there is to tell of one request."""
        suspect = self.suspect_by_digest[digest]
        if not suspect.held_against_it() and now - suspect.last_end >= SETTLED_SECONDS:
            return []
        return [
            _evidence(digest, engine, at, now, engine in suspect.cleared)
            for engine, at in suspect.ended_at_by_engine.items()
        ]

    def _is_explained(self, engine: str, ends: int) -> bool:
        """Return whether a convicted request that also ran there ended more engines than one did.

        Without this, all that fell beside a request at two engines would be run one at a time,
        and at a third be refused with it. As many ends make both suspects: to let a cause go
        costs three engines more, to hold an innocent one costs its caller an answer.
        """
        for digest in self._heavy:
            against = self.suspect_by_digest[digest].held_against_it()
            if len(against) > ends and engine in against:
                return True
        return False

    def _keep_bound(self) -> None:
        """Forget the oldest beyond the bound, the convicted last."""
        while len(self.suspect_by_digest) > MOST_SUSPECTS:
            lesser = (d for d in self.suspect_by_digest if self.ends(d) < ENDS_TO_QUARANTINE)
            self._drop(next(lesser, next(iter(self.suspect_by_digest))))

    def _forget_old(self, now: float) -> None:
        while self.suspect_by_digest:
            digest, suspect = next(iter(self.suspect_by_digest.items()))
            if now - suspect.last_end < KEEP_SECONDS:
                return
            self._drop(digest)

    def _drop(self, digest: int) -> None:
        self._heavy.discard(digest)
        for end in self.suspect_by_digest.pop(digest).ended_at_by_engine:
            self._suspects_by_end[end] -= 1
            if not self._suspects_by_end[end]:
                del self._suspects_by_end[end]
                self._forget_end(end)

    def _forget_end(self, name: str) -> None:
        engine = name.partition(ORDINAL_MARK)[0]
        if self._last_end_by_engine.get(engine, ("", 0.0))[0] == name:
            del self._last_end_by_engine[engine]


def _evidence(digest: int, engine: str, at: float, now: float, cleared: bool) -> Evidence:
    return Evidence(digest, engine, max(0, round((now - at) * 1000)), cleared)
