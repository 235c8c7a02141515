"""Fault injection shared by all stand-ins.

``POST /faults`` with ``{"name": "stall", "count": 1, "seconds": 2.0}`` arms a
fault. ``count`` is the number of times that it occurs, and 0 disarms it; ``after``
is the number of occasions that it skips first, and ``share`` the share of the others on which
it occurs, evenly spaced from a start that is drawn.

The stand-ins share the faults by which they refuse a request and state that it is not run:
``refuse`` (503), ``throttle`` (429) and ``misaddress`` (421).
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass, field
from typing import Any

from klein import Klein

#: The status of each refusal, by the fault's name.
REFUSAL_STATUS_BY_FAULT = {"refuse": 503, "throttle": 429, "misaddress": 421}


@dataclass
class Fault:
    """An armed fault."""

    name: str
    #: Remaining occurrences.
    count: int
    #: Duration of its effect, for faults that have one.
    seconds: float = 0.0
    #: Occasions that it skips first.
    after: int = 0
    #: Share of the other occasions on which it occurs.
    share: float = 1.0
    #: Part of an occurrence that the occasions since the latest one make up.
    earned: float = 0.0


@dataclass
class Faults:
    """The armed faults of one stand-in, by name."""

    by_name: dict[str, Fault] = field(default_factory=dict)
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    def arm(
        self,
        name: str,
        count: int = 1,
        seconds: float = 0.0,
        after: int = 0,
        share: float = 1.0,
    ) -> None:
        """Arm a fault, or disarm it with count 0."""
        self.by_name[name] = Fault(name, count, seconds, after, share, self.rng.random())

    def is_armed(self, name: str) -> bool:
        """Return whether a fault may still occur."""
        fault = self.by_name.get(name)
        return fault is not None and fault.count > 0

    def consume(self, name: str) -> Fault | None:
        """Return the fault if it is due now, and count one occurrence; None otherwise."""
        fault = self.by_name.get(name)
        if fault is None or fault.count <= 0:
            return None
        if fault.after > 0:
            fault.after -= 1
            return None
        fault.earned += fault.share
        if fault.earned < 1.0:
            return None
        fault.earned %= 1.0
        fault.count -= 1
        return fault

    def consume_refusal(self) -> int | None:
        """Return the status of a refusal that is due now, and count it; None without one."""
        due = (status for name, status in REFUSAL_STATUS_BY_FAULT.items() if self.consume(name))
        return next(due, None)

    def add_route(self, app: Klein) -> None:
        """Serve ``POST /faults``."""

        @app.route("/faults", methods=["POST"])
        def arm(request: Any) -> bytes:
            body = json.loads(request.content.read())
            count, seconds = body.get("count", 1), body.get("seconds", 0.0)
            after, share = body.get("after", 0), body.get("share", 1.0)
            self.arm(body["name"], count, seconds, after, share)
            return b"ok\n"
