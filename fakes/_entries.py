"""Small configuration entries for tests and benchmarks."""

from __future__ import annotations

from pondhatch.configuration import Edit

SERVICE = Edit("service", "lang", {"kind": "model", "models": ["writer"]})
TEMPLATE = Edit(
    "template",
    "studio",
    {
        "parameters": {"rate": {"type": "number"}},
        "account": {
            "services": ["lang"],
            "requests_per_second": "$rate",
            "burst": 1,
            "concurrency": 1,
        },
    },
)
