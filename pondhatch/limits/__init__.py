"""Rate and concurrency limits of client accounts, limits on held bytes, and retry budgets."""

from pondhatch.limits._bucket import (
    AccountGate,
    AccountLimits,
    AccountUse,
    Allowed,
    Limited,
    LimitVerdict,
)
from pondhatch.limits._held_bytes import UNCOUNTED, HeldBytes, HeldCounter, fair_level
from pondhatch.limits._rate_limiter import RateLimiter
from pondhatch.limits._retries import RetryAllowance, RetryBudget, RetryBudgets
from pondhatch.limits._shares import Demand, Share, ShareHome, ShareUser

__all__ = [
    "UNCOUNTED",
    "AccountGate",
    "AccountLimits",
    "AccountUse",
    "Allowed",
    "Demand",
    "HeldBytes",
    "HeldCounter",
    "LimitVerdict",
    "Limited",
    "RateLimiter",
    "RetryAllowance",
    "RetryBudget",
    "RetryBudgets",
    "Share",
    "ShareHome",
    "ShareUser",
    "fair_level",
]
