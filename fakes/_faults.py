"""One small way to tell any stand-in to fail.

``POST /faults`` with ``{"name": "stall", "count": 1, "seconds": 2.0}`` arms a
fault; ``count`` says how often it strikes, and 0 disarms it; ``after`` how many
chances it lets pass first.
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
    #: How often it still strikes.
    count: int
    #: Length of what it does, where it has a length.
    seconds: float = 0.0
    #: Chances to strike that it lets pass first.
    after: int = 0


@dataclass
class Faults:
    """Faults by name."""

    by_name: dict[str, Fault] = field(default_factory=dict)

    def arm(self, name: str, count: int = 1, seconds: float = 0.0, after: int = 0) -> None:
        """Arm a fault, or disarm it with count 0."""
        self.by_name[name] = Fault(name, count, seconds, after)

    def consume(self, name: str) -> Fault | None:
        """Return the fault if it is armed, and use it up once."""
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
