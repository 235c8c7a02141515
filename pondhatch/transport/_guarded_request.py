"""Ends a request properly whose serving fails: its caller left, or this router is at fault."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import Any

from pondhatch.observing import Metrics, log_for
from pondhatch.requests import CallerGone
from pondhatch.transport._answers import Answers, refuse_after_failure

log = log_for("callers")


async def serve_guarded(
    serving: Awaitable[None], request: Any, answers: Answers, metrics: Metrics
) -> bool:
    """Await the serving of a request; return whether its answer is to be finished.

    It is not if the caller has left.
    """
    try:
        await serving
    except CallerGone:
        metrics.count("callers.gone")
        request.abort()
        return False
    except asyncio.CancelledError:
        # The caller left, or this router stops before the answer ends: the part that was
        # sent must not look complete.
        metrics.count("callers.gone")
        request.abort()
        raise
    except Exception:
        log.exception("A request failed with an error of this router.")
        metrics.count("requests.router-failed")
        refuse_after_failure(request, answers)
    return True
