"""Examples of the platform's headers and objects, invented for the tests."""

from __future__ import annotations

from typing import Any


def _route(name: str, prefix: str, kind: str, **more: Any) -> dict[str, Any]:
    plain = {
        "Name": name,
        "Host": "desk.example",
        "PathPrefix": prefix,
        "Type": kind,
        "TimeoutMs": 1500,
        "TargetLatencyMs": 300,
        "Priority": 2,
        "Service": "portal",
    }
    return {**plain, **more}


_NOTES = {
    "TimeoutMs": 8000,
    "TargetLatencyMs": 400,
    "Priority": 0,
    "Service": "lang",
    "MaxAttempts": 2,
    "Sticky": True,
    "Resumable": True,
    "ItlTargetMs": 300,
}
_BRIEFS = {
    "Priority": 1,
    "Service": None,
    "Backends": [{"Service": "lang", "Weight": 90}, {"Service": "portal", "Weight": 10}],
    "Sticky": True,
    "Resumable": False,
}

#: Every header in the platform's documentation, by who may set it.
CALLERS_HEADERS = (
    "Attempt-Id",
    "Model",
    "Token-Usage",
    "Prefix-Hash",
    "Length-Hint",
    "Last-Event-Id",
    "Resumes",
)
#: Sent to the router, which sends its own value to an engine if it has one.
CALLER_TO_ROUTER_HEADERS = ("Authorization", "Deadline-Ms")
ROUTERS_HEADERS = (
    "Tenant",
    "Expect-Instance",
    "Expect-Version",
    "Request-Priority",
    "Phase",
    "Pin-Ms",
    "Hold",
    "Kv-Fetch",
    "Kv-From",
    "Kv-Backup",
    "Store-Era",
)
ENGINES_HEADERS = (
    "Instance-Signature",
    "Instance-Id",
    "Instance-Load",
    "Server-Brittle",
    "Not-Executed",
    "Retry-After",
    "Server-Leaving",
    "Weight-Versions",
)
CONNECTIONS_HEADERS = ("Connection", "Keep-Alive")

CONFIGURATION: dict[str, Any] = {
    "Version": 7,
    "Routes": [
        _route("r-notes", "/notes/", "streaming", **_NOTES),
        _route("r-briefs", "/briefs/", "streaming", **_BRIEFS),
        _route("r-proofs", "/proofs/", "non_idempotent"),
        _route("r-assets", "/", "idempotent", MaxAttempts=2, Public=True),
    ],
    "Services": [
        {"Name": "lang", "HealthPath": "/healthz", "EngineId": {"Slots": 64, "Moves": True}},
        {"Name": "portal", "HealthPath": "/healthz"},
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [
        {"Name": "pina", "ApiKeys": ["key-1", "key-2"], "Priority": 1},
        {"Name": "rosa", "ApiKeys": ["key-3"]},
        {"Name": "gone", "ApiKeys": []},
    ],
}

ENGINE: dict[str, Any] = {
    "Service": "lang",
    "Address": "10.0.0.9:8080",
    "Zone": "hall-1",
    "Version": "v1",
    "Slots": 64,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 4,
}
