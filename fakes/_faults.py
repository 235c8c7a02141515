"""Fault injection shared by all stand-ins.

``POST /faults`` with ``{"name": "stall", "count": 1, "seconds": 2.0}`` arms a
fault. ``count`` is the number of times that it occurs, and 0 disarms it; ``after``
is the number of occasions that it skips first.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

from klein import Klein


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


@dataclass
class Faults:
    """The armed faults of one stand-in, by name."""

    by_name: dict[str, Fault] = field(default_factory=dict)

    def arm(self, name: str, count: int = 1, seconds: float = 0.0, after: int = 0) -> None:
        """Arm a fault, or disarm it with count 0."""
        self.by_name[name] = Fault(name, count, seconds, after)

    def consume(self, name: str) -> Fault | None:
        """Return the fault if it is due now, and count one occurrence; None otherwise."""
        fault = self.by_name.get(name)
        if fault is None or fault.count <= 0:
            return None
        if fault.after > 0:
            fault.after -= 1
            return None
        fault.count -= 1
        return fault

    def add_route(self, app: Klein) -> None:
        """Serve ``POST /faults``."""

        @app.route("/faults", methods=["POST"])
        def arm(request: Any) -> bytes:
            body = json.loads(request.content.read())
            count, seconds = body.get("count", 1), body.get("seconds", 0.0)
            self.arm(body["name"], count, seconds, body.get("after", 0))
            return b"ok\n"
