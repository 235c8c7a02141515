"""Limits: rates and concurrency of client accounts, and the retry budget."""

from pondhatch.limits._bucket import (
    AccountGate,
    AccountLimits,
    AccountUse,
    Allowed,
    Limited,
    LimitVerdict,
)
from pondhatch.limits._pace import Pace
from pondhatch.limits._retries import RetryAllowance, RetryBudget, RetryBudgets
from pondhatch.limits._shares import Demand, Share, ShareHome, ShareUser

__all__ = [
    "AccountGate",
    "AccountLimits",
    "AccountUse",
    "Allowed",
    "Demand",
    "LimitVerdict",
    "Limited",
    "Pace",
    "RetryAllowance",
    "RetryBudget",
    "RetryBudgets",
    "Share",
    "ShareHome",
    "ShareUser",
]
