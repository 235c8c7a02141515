"""A late surplus refusal is taken for the refusal of the next request on its connection."""

from __future__ import annotations

import asyncio
import json
import os
import random
import time
from pathlib import Path
from typing import Any

from standins.client import Attempt, Connection, as_line
from standins.deployment import Deployment
from standins.play import play

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: Engines of the service. One of them turns a share of its requests away, not run (srv_grey,
#: shed), and sends some refusals a second time, late, up to a share of its answers (garble,
#: extra late).
ENGINES = 4
SHED = 0.05
DOUBLED = 0.03
SECONDS = 30.0
CLIENTS = 48
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
#: Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
UNSAFE = ("proof-fetch", "proof-log")


def route(name: str, kind: str, attempts: int) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "Type": kind,
        "TimeoutMs": 1500,
        "TargetLatencyMs": 300,
        "Priority": 2,
        "Service": "portal-app",
        "MaxAttempts": attempts,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
    }


CONFIGURATION = {
    "Version": 7,
    "Routes": [
        route("proof-fetch", "non_idempotent", 1),
        route("proof-log", "non_idempotent", 2),
        route("asset-fetch", "idempotent", 2),
    ],
    "Services": [
        {
            "Name": "portal-app",
            "HealthPath": "/healthz",
            "MaxConnections": 110,
            "Protocol": "h1",
            "Tls": False,
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": "hule930", "ApiKeys": [KEY]}],
}


async def client(number: int, router: Any, attempts: list[Attempt], until: float) -> None:
    """Send requests one after the other, as those of the site are mixed."""
    drawn = random.Random(number)
    connection = Connection(router.name, router.address)
    try:
        while time.monotonic() < until:
            name = drawn.choices(("proof-fetch", "proof-log", "asset-fetch"), (2, 2, 1))[0]
            method = "GET" if name == "asset-fetch" else "POST"
            body = b"" if method == "GET" else b"proof " * 100
            key = [("Authorization", f"Bearer {KEY}")]
            path = f"/{name}/{drawn.getrandbits(16):04x}"
            await connection.send(attempts, name, method, path, HOST, key, 3000, body)
            await asyncio.sleep(drawn.expovariate(4.0))
    finally:
        connection.close()


def judge(attempts: list[Attempt], events: list[dict[str, Any]]) -> list[str]:
    """Return a line for each request with which a rule was broken."""
    runs: dict[str, list[str]] = {}
    for each in events:
        if each["event"] == "run":
            runs.setdefault(each["id"], []).append(each["engine"])
    broken = []
    for each in attempts:
        ran = runs.get(each.id, [])
        if each.route not in UNSAFE:
            continue
        if len(ran) > 1:
            broken.append(f"TWICE: {each.id} ({each.route}) ran at {ran}")
        if each.status in PROMISES and ran:
            broken.append(f"REFUSED: {each.id} ({each.route}) got {each.status}, ran at {ran}")
    return broken


async def main() -> int:
    """Play the case; return the exit status."""
    attempts: list[Attempt] = []
    async with Deployment() as deployment:
        await deployment.configure(CONFIGURATION)
        for number in range(ENGINES):
            is_faulty = TROUBLE and number == 0
            deployment.start_engine(
                "portal-app",
                number,
                slots=6,
                queue=24,
                shed=SHED if is_faulty else 0.0,
                late_extra=DOUBLED if is_faulty else 0.0,
            )
        routers = [await deployment.start_router(zone) for zone in range(2)]
        await deployment.engines_listen()
        await asyncio.sleep(4.0)
        until = time.monotonic() + SECONDS
        async with asyncio.TaskGroup() as clients:
            for number in range(CLIENTS):
                clients.create_task(client(number, routers[number % 2], attempts, until))
        await asyncio.sleep(1.0)
        events = deployment.events()
        sound = all(router.process.poll() is None for router in routers)
    lines = [*map(as_line, attempts), *events]
    lines.sort(key=lambda each: float(each["at"]))
    broken = judge(attempts, events)
    counts: dict[str, int] = {}
    for each in attempts:
        key = f"{each.route} {each.status}"
        counts[key] = counts.get(key, 0) + 1
    for each in events:
        key = f"engines: {each['event']}"
        counts[key] = counts.get(key, 0) + 1
    with (HERE / "record.txt").open("w") as record:
        record.write(f"trouble: {TROUBLE}\ncounts: {json.dumps(counts, sort_keys=True)}\n")
        record.writelines(f"{each}\n" for each in broken)
        record.writelines(json.dumps(each) + "\n" for each in lines)
    print(json.dumps(counts, sort_keys=True))
    print(f"{len(broken)} requests broke a rule", *broken[:5], sep="\n  ")
    served = sum(each.status == 200 for each in attempts)
    if not sound or served < len(attempts) / 2:
        print("the case could not run: a router ended, or few requests were served")
        return 2
    return 1 if broken else 0


if __name__ == "__main__":
    play(main())
