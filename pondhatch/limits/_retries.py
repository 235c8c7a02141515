"""The retry budget: retries can never feed an overload."""

from __future__ import annotations

from dataclasses import dataclass

#: Retries allowed for each first try.
DEFAULT_RATIO = 0.1
#: Retries that may be saved up, so that a quiet router can still retry.
DEFAULT_SAVED = 5.0


@dataclass
class RetryBudget:
    """Each first try earns a fraction of a retry; each retry spends one."""

    ratio: float = DEFAULT_RATIO
    most_saved: float = DEFAULT_SAVED
    saved: float = DEFAULT_SAVED

    def first_try(self) -> None:
        """Earn the fraction of a retry that a first try brings."""
        self.saved = min(self.most_saved, self.saved + self.ratio)

    def may_retry(self) -> bool:
        """Spend one retry if there is one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
