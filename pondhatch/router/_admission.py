"""Who a caller is, what it may use, and the refusals it gets otherwise."""

from __future__ import annotations

import hashlib

import msgspec

from pondhatch.configuration import AccountPolicy, RouteSpec
from pondhatch.limits import Limited
from pondhatch.placement import Regions, both
from pondhatch.requests import NotRun
from pondhatch.router._state import RouterState

#: Scheme of the Authorization header's value, which is written in any case.
BEARER = "bearer "
UNAUTHORIZED = 401
FORBIDDEN = 403
NOT_FOUND = 404
TOO_MANY = 429
#: Code of the refusal of a request whose account holds too much of a router's memory.
MEMORY_LIMITED = "memory-limited"
#: Priority where neither the account nor a route names one.
DEFAULT_PRIORITY = 5
#: Share of a route's objective that a request waits before its context's engine, and where
#: every engine is full. A caller refused within a quarter of it has time to come back.
CONTEXT_SHARE = 0.1
QUEUE_SHARE = 0.2
#: Seconds after which to come back to a router that lacks an entry of the configuration: the
#: users' bound on a change to be in force, so that a mended one is found.
MISFIT_RETRY_AFTER = 2.0
UNKNOWN_KEY = NotRun("unknown-key", "the API key belongs to no account", 0.0, UNAUTHORIZED)
NO_SERVICE = NotRun("no-service", "no service answers to this model or path", 0.0, NOT_FOUND)
NO_ROUTE = NotRun("no-route", "no route has this host and path", 0.0, NOT_FOUND)


class Account(msgspec.Struct, frozen=True):
    """A caller whose key is known."""

    name: str


#: Who uses a public route without showing a key; held to no account's limits.
ANYBODY = Account("")


class Admitted(msgspec.Struct, frozen=True):
    """The request counts against its account until ``RouterState.limits.end``."""

    service: str
    priority: int
    weight: float
    #: Seconds that the request may take in all.
    deadline: float
    #: Seconds that it may wait for its chat's engine, and where all are full.
    context_wait: float
    queue_wait: float
    #: Regions whose engines may run it; None where any may.
    regions: Regions = None


def identify(state: RouterState, authorization: str | None) -> Account | NotRun:
    """Return the account whose API key the caller shows."""
    return identify_key(state, bearer_key(authorization or ""))


def bearer_key(authorization: str) -> str | None:
    """Return the key in an Authorization header's value, or None where there is none."""
    if authorization[: len(BEARER)].lower() != BEARER:
        return None
    # Only what HTTP counts as blank: other bytes may be part of a key outside ASCII.
    return authorization[len(BEARER) :].strip(" \t")


def identify_key(state: RouterState, key: str | None) -> Account | NotRun:
    """Return the account that an API key belongs to.

    The key is text as headers are kept, one character for each byte that was sent.
    """
    if key is None:
        return NotRun("no-key", "expected 'Authorization: Bearer KEY'", 0.0, UNAUTHORIZED)
    account = state.fleet.account_of(hashlib.sha256(key.encode("latin-1")).hexdigest())
    if account is None:
        return if_all_known(state, "account", UNKNOWN_KEY)
    return Account(account)


def if_all_known(state: RouterState, kind: str, definite: NotRun) -> NotRun:
    """Return the refusal of what a caller names and this router does not find.

    A definite one, on which callers give up, only where the configuration in force has every
    entry of the kind: else the operator may well have written it.
    """
    return definite if state.knows_all(kind) else not_in_force(kind)


def not_in_force(kind: str) -> NotRun:
    """Return the refusal of what may need an entry that is not in force here."""
    reason = f"not every {kind} of the configuration is in force here"
    return NotRun("configuration-misfit", reason, MISFIT_RETRY_AFTER)


def admit_routed(
    state: RouterState, account: Account, route: RouteSpec, service: str, wait: float | None
) -> Admitted | NotRun:
    """Count a routed request in, or say why it may not run.

    ``wait`` is for how many seconds its caller waits, None where it does not say.
    """
    priority, weight, regions = None, 1.0, route.regions
    if account is not ANYBODY:
        policy = _counted_in(state, account, service)
        if isinstance(policy, NotRun):
            return policy
        priority, weight = policy.priority, policy.weight
        regions = both(route.regions, policy.regions)
    return Admitted(
        service=service,
        priority=route.priority if priority is None else priority,
        weight=weight,
        deadline=route.timeout if wait is None else min(wait, route.timeout),
        context_wait=route.objective * CONTEXT_SHARE,
        queue_wait=route.objective * QUEUE_SHARE,
        regions=regions,
    )


def admit(state: RouterState, account: Account, service: str | None) -> Admitted | NotRun:
    """Count a request in, or say why it may not run."""
    if state.is_draining():
        return NotRun("stopping", "this router is stopping; ask again", 0.0)
    spec = state.fleet.service_by_name.get(service) if service is not None else None
    if service is None or spec is None:
        return if_all_known(state, "service", NO_SERVICE)
    policy = _counted_in(state, account, service)
    if isinstance(policy, NotRun):
        return policy
    return Admitted(
        service=service,
        priority=DEFAULT_PRIORITY if policy.priority is None else policy.priority,
        weight=policy.weight,
        deadline=spec.deadline,
        context_wait=spec.context_wait,
        queue_wait=spec.queue_wait,
        regions=policy.regions,
    )


def _counted_in(state: RouterState, account: Account, service: str) -> AccountPolicy | NotRun:
    """Count a request against its account's limits, or say why it may not run."""
    policy = state.fleet.policy_by_account[account.name]
    if service not in policy.services:
        wrong = f"the account may not use service {service}"
        return NotRun("not-allowed", wrong, 0.0, FORBIDDEN)
    verdict = state.begin(account.name)
    if isinstance(verdict, Limited):
        wrong = f"the account is over its {verdict.limit} limit"
        return NotRun(f"{verdict.limit}-limited", wrong, verdict.retry_after, TOO_MANY)
    return policy


def memory_limited(limited: Limited) -> NotRun:
    """Return the refusal of a request whose account holds too much of this router's memory."""
    wrong = "the account holds too many bytes that wait for its callers and engines"
    return NotRun(MEMORY_LIMITED, wrong, limited.retry_after, TOO_MANY)


def service_of_path(state: RouterState, path: str) -> str | None:
    """Return the plain service whose prefix a path starts with, or None."""
    for name, spec in state.fleet.service_by_name.items():
        if spec.prefix is not None and path.startswith(spec.prefix):
            return name
    return None
