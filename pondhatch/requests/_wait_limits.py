"""How long a request may wait for a slot, given its caller's deadlines, without I/O."""

from __future__ import annotations

import msgspec

#: Seconds before the latest useful grant at which waiting ends: a refusal still has to be
#: written, and a grant has to travel from the engine's owner.
GRANT_MARGIN = 0.02
#: A stream's caller is assumed to wait for the first event for the largest of these: a minimum in
#: seconds, and multiples of the objective and of the longest pause.
MIN_FIRST_EVENT = 2.0
FIRST_EVENT_OBJECTIVE_FACTOR = 4.0
FIRST_EVENT_PAUSE_FACTOR = 8.0
#: Weight of the newest run in a service's usual times, which cover about ten runs.
NEWEST_WEIGHT = 0.1
#: Multiple of the usual time at which a run's time is capped: an answer ends late if its caller
#: reads slowly.
OUTLIER_FACTOR = 3.0


class AnswerDeadlines(msgspec.Struct, frozen=True):
    """When an answer is in time, and when it is too late, in seconds from the request's start."""

    #: Time within which an answer, or a stream's first event, meets its objective.
    objective: float
    #: Time within which a stream's first event must arrive; None if the answer is no stream.
    first_event: float | None = None


def answer_deadlines(objective: float, streams: bool, longest_pause: float) -> AnswerDeadlines:
    """Return an answer's deadlines on a route; all times are in seconds.

    ``longest_pause`` is the route's limit for the time between two events of a stream, 0 if it
    has none.
    """
    if not streams:
        return AnswerDeadlines(objective)
    first_event = max(
        MIN_FIRST_EVENT,
        FIRST_EVENT_OBJECTIVE_FACTOR * objective,
        FIRST_EVENT_PAUSE_FACTOR * longest_pause,
    )
    return AnswerDeadlines(objective, first_event)


class UsualTimes(msgspec.Struct, frozen=True):
    """A service's usual times in seconds, from sending a request to its upstream."""

    #: Until its answer begins.
    begins: float = 0.0
    #: Until its answer has ended.
    ends: float = 0.0


class RunTimes(msgspec.Struct):
    """How long upstreams usually take, by service, as seen by this router."""

    _usual_by_service: dict[str, UsualTimes] = msgspec.field(default_factory=dict)

    def usual(self, service: str) -> UsualTimes:
        """Return a service's usual times; 0 before its first answer."""
        return self._usual_by_service.get(service, UsualTimes())

    def record(self, service: str, begin_seconds: float, end_seconds: float) -> None:
        """Record after how many seconds an answer began and ended."""
        known = self._usual_by_service.get(service)
        newest = UsualTimes(begin_seconds, end_seconds)
        self._usual_by_service[service] = newest if known is None else _mean(known, newest)


def _mean(known: UsualTimes, newest: UsualTimes) -> UsualTimes:
    return UsualTimes(_smoothed(known.begins, newest.begins), _smoothed(known.ends, newest.ends))


def _smoothed(known: float, newest: float) -> float:
    if known <= 0:
        return newest
    return known + NEWEST_WEIGHT * (min(newest, OUTLIER_FACTOR * known) - known)


def wait_limit(
    deadlines: AnswerDeadlines, remaining: float, elapsed: float, usual: UsualTimes
) -> float:
    """Return the seconds that a request may wait for a grant.

    ``remaining`` is the time to its caller's deadline, ``elapsed`` the time since it arrived.
    """
    limit = remaining - usual.ends
    if deadlines.first_event is not None:
        limit = min(limit, deadlines.first_event - elapsed - usual.begins)
    return max(0.0, limit - GRANT_MARGIN)


def in_time(deadlines: AnswerDeadlines, elapsed: float, usual: UsualTimes) -> float:
    """Return the seconds within which a grant leaves time for an answer within the objective."""
    run = usual.ends if deadlines.first_event is None else usual.begins
    return max(0.0, deadlines.objective - elapsed - run)
