"""A request that its account's limits admitted, as callers' requests are handed to the runner."""

from __future__ import annotations

import msgspec

from pondhatch.limits import UNCOUNTED, HeldCounter
from pondhatch.requests import BodySource, RequestHead, WaitLimits
from pondhatch.router import Account, Admitted


class AdmittedRequest(msgspec.Struct, frozen=True):
    """A request that its account's limits admitted, ready to be placed on an engine."""

    account: Account
    admitted: Admitted
    head: RequestHead
    body: BodySource
    wait_limits: WaitLimits
    #: Idempotency key of a request that must not run twice, scoped to the account.
    idempotency_key: str | None = None
    #: Counts the bytes of its body until the request ends.
    body_counter: HeldCounter = UNCOUNTED
