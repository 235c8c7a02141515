"""Who may set which header of the OpenAI-compatible API and of plain services."""

from __future__ import annotations

from pondhatch.transport import HeaderOwners, Owner

OWNERS = HeaderOwners(
    {
        "Authorization": Owner.CALLER_TO_ROUTER,
        "Cookie": Owner.CALLER_TO_ROUTER,
        # Each connection to an upstream says its own.
        "Host": Owner.CALLER_TO_ROUTER,
        # Many callers' libraries name their requests; here each try has its own name, and an
        # answer bears the router's.
        "X-Request-Id": Owner.CALLER_TO_ROUTER,
        "X-Priority": Owner.ROUTER,
        # They have an engine go on with a stream, which another caller may have begun.
        "X-Resume": Owner.ROUTER,
        "X-Resume-From": Owner.ROUTER,
        # By them callers tell whether their request ran, and whether an answer is a kept one.
        "X-Pondhatch-Outcome": Owner.ROUTER,
        "X-Pondhatch-Replayed": Owner.ROUTER,
        "X-Should-Retry": Owner.UPSTREAM,
        "X-Not-Run": Owner.UPSTREAM,
        "X-Leaving": Owner.UPSTREAM,
    }
)
