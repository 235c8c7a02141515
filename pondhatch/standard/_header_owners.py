"""Who may set which header of the OpenAI-compatible API and of plain services."""

from __future__ import annotations

from pondhatch.transport import HeaderOwners, Owner

OWNERS = HeaderOwners(
    {
        "Authorization": Owner.CALLER_TO_ROUTER,
        "Cookie": Owner.CALLER_TO_ROUTER,
        # Each connection to an upstream sets its own.
        "Host": Owner.CALLER_TO_ROUTER,
        # Many client libraries set it. Here each attempt has its own id, and an answer carries
        # the router's.
        "X-Request-Id": Owner.CALLER_TO_ROUTER,
        "X-Priority": Owner.ROUTER,
        # They make an engine resume a stream, which another caller may have started.
        "X-Resume": Owner.ROUTER,
        "X-Resume-From": Owner.ROUTER,
        # They tell callers whether a request ran, and whether an answer is a replayed one.
        "X-Pondhatch-Outcome": Owner.ROUTER,
        "X-Pondhatch-Replayed": Owner.ROUTER,
        "X-Should-Retry": Owner.UPSTREAM,
        "X-Not-Run": Owner.UPSTREAM,
        "X-Leaving": Owner.UPSTREAM,
    }
)
