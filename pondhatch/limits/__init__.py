"""Limits: rates and concurrency of client accounts, and the retry budget."""

from pondhatch.limits._bucket import (
    AccountGate,
    AccountLimits,
    AccountUse,
    Allowed,
    Limited,
    LimitVerdict,
)
from pondhatch.limits._retries import RetryBudget

__all__ = [
    "AccountGate",
    "AccountLimits",
    "AccountUse",
    "Allowed",
    "LimitVerdict",
    "Limited",
    "RetryBudget",
]
