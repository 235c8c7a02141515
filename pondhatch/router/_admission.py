"""Admission: identifies callers by API key and checks what they may use, or refuses them."""

from __future__ import annotations

import hashlib

import msgspec

from pondhatch.configuration import AccountPolicy, RouteSpec
from pondhatch.limits import Limited
from pondhatch.placement import Regions, common_regions
from pondhatch.requests import NotRun
from pondhatch.router._state import RouterState

#: Scheme of the Authorization header's value; compared without regard to case.
BEARER_PREFIX = "bearer "
UNAUTHORIZED = 401
FORBIDDEN = 403
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
#: Refusal code for a request whose account holds too much of a router's memory.
MEMORY_LIMITED = "memory-limited"
#: Priority where neither the account nor the route sets one.
DEFAULT_PRIORITY = 5
#: Shares of a route's objective for which a request waits for the engine that holds its context,
#: and in a queue where every engine is full. A caller that is refused within a quarter of the
#: objective has time to retry.
CONTEXT_WAIT_SHARE = 0.1
QUEUE_WAIT_SHARE = 0.2
#: Seconds after which to retry at a router where an entry of the configuration is not in force:
#: a corrected entry is in force everywhere within this time.
MISFIT_RETRY_AFTER = 2.0
UNKNOWN_KEY = NotRun("unknown-key", "the API key belongs to no account", 0.0, UNAUTHORIZED)
NO_SERVICE = NotRun("no-service", "no service answers to this model or path", 0.0, NOT_FOUND)
NO_ROUTE = NotRun("no-route", "no route has this host and path", 0.0, NOT_FOUND)


class Account(msgspec.Struct, frozen=True):
    """The client account of a caller whose key is known."""

    name: str


#: Stands for a caller of a public route that sends no key; no account's limits apply to it.
ANONYMOUS = Account("")


class Admitted(msgspec.Struct, frozen=True):
    """An admitted request; it counts against its account until ``FleetLimits.end_request``."""

    service: str
    priority: int
    weight: float
    #: Seconds that the request may take in total.
    deadline: float
    #: Seconds that it may wait for the engine that holds its context, and in a queue where all
    #: engines are full.
    context_wait: float
    queue_wait: float
    #: Regions whose engines may run it; None where any may.
    regions: Regions = None


def identify(state: RouterState, authorization: str | None) -> Account | NotRun:
    """Return the account of the API key in an Authorization header's value."""
    return identify_key(state, bearer_key(authorization or ""))


def bearer_key(authorization: str) -> str | None:
    """Return the key in an Authorization header's value, or None where there is none."""
    if authorization[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return None
    # Strips only what HTTP counts as whitespace: other bytes may be part of a non-ASCII key.
    return authorization[len(BEARER_PREFIX) :].strip(" \t")


def identify_key(state: RouterState, key: str | None) -> Account | NotRun:
    """Return the account that an API key belongs to.

    The key is a header value: text with one character for each byte that was sent.
    """
    if key is None:
        return NotRun("no-key", "expected 'Authorization: Bearer KEY'", 0.0, UNAUTHORIZED)
    account = state.configuration.account_of(hashlib.sha256(key.encode("latin-1")).hexdigest())
    if account is None:
        return unknown_entry_refusal(state, "account", UNKNOWN_KEY)
    return Account(account)


def unknown_entry_refusal(state: RouterState, kind: str, definite: NotRun) -> NotRun:
    """Return the refusal for a name that this router does not find in the configuration.

    Callers give up on the ``definite`` refusal, so it is returned only where every entry of the
    kind is in force here: otherwise the operator may have written the entry.
    """
    return definite if state.has_all_entries(kind) else not_in_force_refusal(kind)


def not_in_force_refusal(kind: str) -> NotRun:
    """Return the refusal of a request that may need an entry which is not in force here."""
    reason = f"not every {kind} of the configuration is in force here"
    return NotRun("configuration-misfit", reason, MISFIT_RETRY_AFTER)


def admit_routed(
    state: RouterState, account: Account, route: RouteSpec, service: str, wait: float | None
) -> Admitted | NotRun:
    """Admit a request to a route and count it against its account, or return the refusal.

    ``wait`` is the number of seconds for which its caller waits, None where it does not say.
    """
    priority, weight, regions = None, 1.0, route.regions
    if account is not ANONYMOUS:
        policy = _count_against_limits(state, account, service)
        if isinstance(policy, NotRun):
            return policy
        priority, weight = policy.priority, policy.weight
        regions = common_regions(route.regions, policy.regions)
    return Admitted(
        service=service,
        priority=route.priority if priority is None else priority,
        weight=weight,
        deadline=route.timeout if wait is None else min(wait, route.timeout),
        context_wait=route.objective * CONTEXT_WAIT_SHARE,
        queue_wait=route.objective * QUEUE_WAIT_SHARE,
        regions=regions,
    )


def admit(state: RouterState, account: Account, service: str | None) -> Admitted | NotRun:
    """Admit a request to a service and count it against its account, or return the refusal."""
    if state.is_draining():
        return NotRun("stopping", "this router is stopping; ask again", 0.0)
    spec = state.configuration.service_by_name.get(service) if service is not None else None
    if service is None or spec is None:
        return unknown_entry_refusal(state, "service", NO_SERVICE)
    policy = _count_against_limits(state, account, service)
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


def _count_against_limits(
    state: RouterState, account: Account, service: str
) -> AccountPolicy | NotRun:
    """Count a request against its account's limits, or return the refusal."""
    policy = state.configuration.policy_by_account[account.name]
    if service not in policy.services:
        message = f"the account may not use service {service}"
        return NotRun("not-allowed", message, 0.0, FORBIDDEN)
    verdict = state.begin_request(account.name)
    if isinstance(verdict, Limited):
        message = f"the account is over its {verdict.limit} limit"
        return NotRun(f"{verdict.limit}-limited", message, verdict.retry_after, TOO_MANY_REQUESTS)
    return policy


def memory_limited_refusal(limited: Limited) -> NotRun:
    """Return the refusal of a request whose account holds too much of this router's memory."""
    message = "the account holds too many bytes that wait for its callers and engines"
    return NotRun(MEMORY_LIMITED, message, limited.retry_after, TOO_MANY_REQUESTS)


def service_of_path(state: RouterState, path: str) -> str | None:
    """Return the plain service whose prefix a path starts with, or None."""
    for name, spec in state.configuration.service_by_name.items():
        if spec.prefix is not None and path.startswith(spec.prefix):
            return name
    return None
