"""Which requests, and parts of prompts, are suspected of crashing engines or quarantined for it.

A crash of an engine ends all requests that it runs, up to some sixty, of which at most one is the
cause. Each of them is suspected, and later runs tell them apart. A harmless request completes its
next run and is cleared. The cause crashes the next two engines as well: at the third crash it is
quarantined, and the requests that only ran beside it at the first two no longer count as suspected
of those. Where one cause may have crashed several engines (see _crash_moments), they count as one
crash, but the request runs on its own from then on, as after two. A part of prompts is suspected in
the same way, with each request that has it, and a completed run of any such request clears it.
Evidence is a grow-only set (a CRDT), so routers that receive it in any order, late or several times
come to the same result without asking each other.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from pondhatch.quarantine._caused_crashes import crashes_by, has_due_share
from pondhatch.quarantine._crash_moments import Crash, independent_crashes
from pondhatch.quarantine._evidence import Evidence
from pondhatch.quarantine._known_crashes import KnownCrashes
from pondhatch.quarantine._suspect import CRASHES_TO_QUARANTINE, Suspect

#: Seconds after which a crash is dropped. Callers repeat a failed request for minutes.
EVIDENCE_LIFETIME = 3600.0
#: Seconds after the last crash for which evidence is still sent if all of it is cleared.
CLEARED_GOSSIP_SECONDS = 60.0
#: Maximum number of stored requests: thirty crashes with sixty requests each, twice over; 2 MB.
MAX_SUSPECTS = 4096


class Suspects(msgspec.Struct):
    """All suspected requests that a router knows of; no I/O, time is passed in."""

    #: In the order of the latest new crash, the newest last.
    suspect_by_digest: OrderedDict[int, Suspect] = msgspec.field(default_factory=OrderedDict)
    #: All crashes, whatever they are held against.
    crashes: KnownCrashes = msgspec.field(default_factory=KnownCrashes)
    #: Requests with ``CRASHES_TO_QUARANTINE`` or more uncleared, independent crashes.
    #: Checks scan only these instead of all requests, as there are few at any time.
    _over_threshold: set[int] = msgspec.field(default_factory=set)
    #: Suspects with two or more uncleared crashes.
    _repeated: set[int] = msgspec.field(default_factory=set)

    def add(self, evidence: Evidence, now: float) -> bool:
        """Add evidence, this router's own or a peer's; return whether it was new."""
        crashed_at = now - evidence.age_ms / 1000
        if now - crashed_at >= EVIDENCE_LIFETIME:
            return False
        self._drop_expired(now)
        suspect = self.suspect_by_digest.setdefault(evidence.digest, Suspect(evidence.is_part))
        crash = Crash(crashed_at, evidence.run_ms / 1000, evidence.is_cold)
        known = suspect.crash_by_name.get(evidence.engine)
        suspect.crash_by_name[evidence.engine] = crash if known is None else crash.merged(known)
        is_new = known is None
        if is_new:
            suspect.learned_at = now
            self.crashes.add_suspect(evidence.engine, crashed_at)
            self.suspect_by_digest.move_to_end(evidence.digest)
            self._evict_excess()
        is_newly_cleared = evidence.cleared and evidence.engine not in suspect.cleared
        if is_newly_cleared:
            suspect.cleared.add(evidence.engine)
        self._update_over_threshold(evidence.digest)
        return is_new or is_newly_cleared

    def clear_request(self, digest: int, now: float) -> tuple[Evidence, ...]:
        """Record that a request completed; return the evidence that clears it, to be sent."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is None:
            return ()
        found = tuple(
            _evidence(digest, suspect, crash, now, cleared=True)
            for crash in suspect.uncleared_crashes()
        )
        suspect.cleared.update(each.engine for each in found)
        self._update_over_threshold(digest)
        return found

    def _update_over_threshold(self, digest: int) -> None:
        """Update whether a suspect is over the threshold, or has more than one crash."""
        self._over_threshold.discard(digest)
        self._repeated.discard(digest)
        suspect = self.suspect_by_digest.get(digest)
        crashes = len(suspect.uncleared_crashes()) if suspect is not None else 0
        if suspect is None or crashes < 2:
            return
        self._repeated.add(digest)
        if suspect.has_enough_crashes():
            self._over_threshold.add(digest)

    def crash_count(self, digest: int) -> int:
        """Return the number of uncleared crashes of a request that no other request explains."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is None:
            return 0
        uncleared = suspect.uncleared_crashes()
        return sum(not self._is_explained(crash, suspect, len(uncleared)) for crash in uncleared)

    def current(self, evidence: Evidence, now: float) -> Evidence | None:
        """Return what is known of the same crash now, or None if it is no longer stored."""
        suspect = self.suspect_by_digest.get(evidence.digest)
        if suspect is None or evidence.engine not in suspect.crash_by_name:
            return None
        is_cleared = evidence.engine in suspect.cleared
        return _evidence(evidence.digest, suspect, evidence.engine, now, is_cleared)

    def is_cleared(self, evidence: Evidence) -> bool:
        """Return whether a request or part is known not to have caused a crash."""
        suspect = self.suspect_by_digest.get(evidence.digest)
        return suspect is not None and evidence.engine in suspect.cleared

    def is_suspected(self, digest: int) -> bool:
        """Return whether a request is suspected of any crash."""
        return self.crash_count(digest) > 0

    def is_quarantined(self, digest: int, now: float) -> bool:
        """Return whether a request must not be run now."""
        suspect = self.suspect_by_digest.get(digest)
        if suspect is None or self.crash_count(digest) < CRASHES_TO_QUARANTINE:
            return False
        if len(independent_crashes(crashes_by(suspect, self.crashes))) < CRASHES_TO_QUARANTINE:
            return False
        if suspect.is_part and not has_due_share(suspect, self.crashes):
            return False
        return now - suspect.last_crash_at < suspect.quarantine_seconds()

    def quarantine_ends_in(self, digest: int, now: float) -> float:
        """Return the seconds after which a quarantined request may be tried again."""
        suspect = self.suspect_by_digest[digest]
        return suspect.last_crash_at + suspect.quarantine_seconds() - now

    def quarantining_part(self, parts: tuple[int, ...], now: float) -> int | None:
        """Return the part for which a request with these parts must not be run now, or None.

        Parts that were lost in the same crashes cannot be told apart. A request with only some of
        them may run, one at a time: its end shows whether the cause is among those.
        """
        for part in parts:
            if self.is_quarantined(part, now) and not self._may_be_harmless(part, parts):
                return part
        return None

    def is_proven(self, digest: int) -> bool:
        """Return whether a quarantined request, rather than another cause, crashed the engines.

        That is where a later run crashed its engine as well. Runs that overlap prove nothing,
        however many engines they end: whatever else ends the engines of a service ends all runs of
        a popular request.
        """
        suspect = self.suspect_by_digest[digest]
        first = suspect.rounds()[0]
        return any(not each.overlaps(first) for each in crashes_by(suspect, self.crashes))

    def _may_be_harmless(self, part: int, parts: tuple[int, ...]) -> bool:
        """Return whether suspects outside of some parts explain all crashes of one of these.

        Those with fewer crashes explain none, but at the third crash of a part two are enough:
        where two causes are about at once, what is lost to both may come to three before them.
        """
        uncleared = set(self.suspect_by_digest[part].uncleared_crashes())
        is_third = len(uncleared) == CRASHES_TO_QUARANTINE
        least = CRASHES_TO_QUARANTINE - 1 if is_third else len(uncleared)
        unexplained = set(uncleared)
        for digest in self._repeated.difference(parts):
            others = self.suspect_by_digest[digest].uncleared_crashes()
            if len(others) >= least:
                unexplained.difference_update(others)
        return not unexplained

    def next_crash_quarantines(self, digest: int) -> bool:
        """Return whether one more crash quarantines a request.

        If so, only one copy of it may run at a time.
        """
        return self.crash_count(digest) >= CRASHES_TO_QUARANTINE - 1

    def share_crash(self, one: int, other: int) -> bool:
        """Return whether two requests are suspected of the same crash.

        If they ran together at one engine again, both would be lost in the next crash, and
        nothing would distinguish the harmless one from the cause. Where one cause may
        have crashed all engines of one of them, another crash still does, and both may run.
        """
        if one == other:
            return True
        pair = (self.suspect_by_digest.get(one), self.suspect_by_digest.get(other))
        suspects = [each for each in pair if each is not None]
        if len(suspects) < len(pair) or any(each.may_have_met_one_cause() for each in suspects):
            return False
        uncleared = [set(each.uncleared_crashes()) for each in suspects]
        return not uncleared[0].isdisjoint(uncleared[1])

    def quarantined_digests(self, now: float) -> Iterator[int]:
        """Yield the digests of the requests that must not be run now."""
        return (each for each in self._over_threshold if self.is_quarantined(each, now))

    def evidence_about(self, digest: int, now: float) -> list[Evidence]:
        """Return the evidence about one request or part."""
        return list(self._evidence_about(digest, now))

    def all_evidence(self, now: float) -> list[Evidence]:
        """Return all evidence to send to a router that may know none."""
        return [
            each for digest in self.suspect_by_digest for each in self._evidence_about(digest, now)
        ]

    def sample_evidence(self, now: float, rng: random.Random, limit: int) -> list[Evidence]:
        """Return some evidence at random; that about requests over the threshold comes first."""
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
        """Return the evidence to send about one request."""
        suspect = self.suspect_by_digest[digest]
        if (
            not suspect.uncleared_crashes()
            and now - suspect.last_crash_at >= CLEARED_GOSSIP_SECONDS
        ):
            return []
        return [
            _evidence(digest, suspect, crash, now, crash in suspect.cleared)
            for crash in suspect.crash_by_name
        ]

    def _is_explained(self, crash: str, suspect: Suspect, crash_count: int) -> bool:
        """Return whether a crash of a suspect is explained by another one over the threshold.

        ``crash_count`` is the number of the suspect's uncleared crashes; one with more explains it.
        Without this check, all requests that were lost beside a cause at two engines would run one
        at a time, and would be refused with it after a third. With equally many crashes both stay
        suspected: missing a cause costs three more engines, refusing a harmless request costs one
        caller an answer. But a request explains the parts of its prompt: only other requests show
        whether they are harmful as well.
        """
        for digest in self._over_threshold:
            other = self.suspect_by_digest[digest]
            uncleared = other.uncleared_crashes()
            explains_equally = suspect.is_part and not other.is_part
            if len(uncleared) + explains_equally > crash_count and crash in uncleared:
                return True
        return False

    def _evict_excess(self) -> None:
        """Evict the oldest requests beyond the limit.

        Requests whose crashes suffice for a quarantine are evicted last.
        """
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
        self._repeated.discard(digest)
        for crash in self.suspect_by_digest.pop(digest).crash_by_name:
            self.crashes.remove_suspect(crash)


def _evidence(digest: int, suspect: Suspect, name: str, now: float, cleared: bool) -> Evidence:
    crash = suspect.crash_by_name[name]
    age_ms = max(0, round((now - crash.at) * 1000))
    run_ms = round(crash.run_seconds * 1000)
    return Evidence(digest, name, age_ms, cleared, suspect.is_part, run_ms, crash.is_cold)
