"""All engines of a service crash once; a request that many send alike is refused for long after."""

from __future__ import annotations

import asyncio
import json
import os
import random
import time
from pathlib import Path
from typing import Any

from standins.client import Attempt, Connection, as_line
from standins.deployment import Deployment, Router
from standins.play import play
from standins.wire import value_of

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLAIN_ENGINES = 4
MODEL_ENGINES = 9
#: The disruption: all engines of the plain service crash, and others start after this time.
DOWN_SECONDS = 3.0
BEFORE_SECONDS = 8.0
AFTER_SECONDS = 30.0
#: Clients that fetch the one asset that everybody wants, and clients with requests of their own.
HOT_CLIENTS = 40
OTHER_CLIENTS = 16
HOST = "ficu95.example"
KEYS = {"hule930": "n2ctnfzs989anu6wsjnb", "dora112": "k7yhs0qzx2cv5bn8mwe4"}
#: Statuses of a machine's own that are no denial.
NO_DENIAL = (408, 421, 429)


def route(name: str, kind: str, attempts: int, service: str, timeout_ms: int) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Type": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 300,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": attempts,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
    }


def service(name: str, **fields: Any) -> dict[str, Any]:
    """Return a service of the configuration."""
    return {"Name": name, "HealthPath": "/healthz", "Protocol": "h1", "Tls": False, **fields}


CONFIGURATION = {
    "Version": 7,
    "Routes": [
        route("proof-fetch", "non_idempotent", 1, "portal-app", 1500),
        route("asset-fetch", "idempotent", 2, "portal-app", 1500),
        route("render-tag", "streaming", 1, "brief-llm", 2500),
    ],
    "Services": [
        service("portal-app", MaxConnections=110),
        service("brief-llm", MaxConnections=370, EngineId={"Slots": 64, "Moves": False}),
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": name, "ApiKeys": [key]} for name, key in KEYS.items()],
}


async def hot_client(number: int, router: Router, attempts: list[Attempt], until: float) -> None:
    """Fetch the one asset again and again."""
    drawn = random.Random(number)
    connection = Connection(router.name, router.address)
    key = [("Authorization", f"Bearer {KEYS['hule930']}")]
    while time.monotonic() < until:
        path = "/asset-fetch/facade-oak"
        await connection.send(attempts, "hot", "GET", path, HOST, key, 3000)
        await asyncio.sleep(drawn.expovariate(1.0))
    connection.close()


async def other_client(number: int, router: Router, attempts: list[Attempt], until: float) -> None:
    """Send requests that no other client sends alike."""
    drawn = random.Random(1000 + number)
    connection = Connection(router.name, router.address)
    tenant = drawn.choice(sorted(KEYS))
    key = [("Authorization", f"Bearer {KEYS[tenant]}")]
    while time.monotonic() < until:
        name = drawn.choice(("proof-fetch", "asset-fetch", "render-tag"))
        own = f"{drawn.getrandbits(48):012x}"
        method = "GET" if name == "asset-fetch" else "POST"
        body = b"" if method == "GET" else own.encode() * 40
        extra = [*key, ("Model", "m"), ("Token-Usage", "400,30")] if name == "render-tag" else key
        path = f"/{name}/{own}"
        await connection.send(attempts, name, method, path, HOST, extra, 3000, body)
        await asyncio.sleep(drawn.expovariate(3.0))
    connection.close()


def is_denied(attempt: Attempt) -> bool:
    """Return whether a machine ended an attempt with a 3xx or 4xx of its own."""
    if attempt.status is None or value_of(attempt.headers, "instance-signature"):
        return False
    return 300 <= attempt.status < 500 and attempt.status not in NO_DENIAL


def start_plain(deployment: Deployment) -> list[str]:
    """Start the engines of the plain service."""
    return [
        deployment.start_engine("portal-app", zone, slots=6, queue=24, work_ms=250.0)
        for zone in range(PLAIN_ENGINES)
    ]


async def main() -> int:
    """Play the case; return the exit status."""
    attempts: list[Attempt] = []
    async with Deployment() as deployment:
        await deployment.configure(CONFIGURATION)
        plain = start_plain(deployment)
        for zone in range(MODEL_ENGINES):
            deployment.start_engine("brief-llm", zone, slots=64, queue=192, work_ms=60.0, events=3)
        routers = [await deployment.start_router(zone) for zone in range(3)]
        await deployment.engines_listen()
        await asyncio.sleep(4.0)
        until = time.monotonic() + BEFORE_SECONDS + DOWN_SECONDS + AFTER_SECONDS
        back_at = until
        async with asyncio.TaskGroup() as clients:
            for number in range(HOT_CLIENTS):
                router = routers[number % len(routers)]
                clients.create_task(hot_client(number, router, attempts, until))
            for number in range(OTHER_CLIENTS):
                router = routers[number % len(routers)]
                clients.create_task(other_client(number, router, attempts, until))
            await asyncio.sleep(BEFORE_SECONDS)
            if TROUBLE:
                for name in plain:
                    deployment.engines[name].kill()
            await asyncio.sleep(DOWN_SECONDS)
            if TROUBLE:
                start_plain(deployment)
            back_at = time.monotonic()
        events = deployment.events()
        sound = all(router.process.poll() is None for router in routers)
    denied = [each for each in attempts if is_denied(each)]
    limit = 5 + len(attempts) / 500
    late = [each for each in attempts if each.sent_at > back_at + 5.0]
    counts: dict[str, int] = {}
    for each in late:
        key = f"{each.route} {each.status}"
        counts[key] = counts.get(key, 0) + 1
    lines = [*map(as_line, attempts), *events]
    lines.sort(key=lambda each: float(each["at"]))
    summary = [
        f"trouble: {TROUBLE}",
        f"attempts: {len(attempts)}; ended with a 3xx or 4xx of a router's own: {len(denied)}; "
        f"limit of DENIED: {limit:.1f}",
        f"sent later than 5 s after the engines were back: {json.dumps(counts, sort_keys=True)}",
    ]
    (HERE / "record.txt").write_text("\n".join([*summary, *map(json.dumps, lines)]) + "\n")
    print(*summary, sep="\n")
    served = sum(each.status == 200 for each in attempts)
    if not sound or served < len(attempts) / 5:
        print("the case could not run: a router ended, or few requests were served")
        return 2
    return 1 if len(denied) > limit else 0


if __name__ == "__main__":
    play(main())
