"""Whether one request may be tried again after a failure."""

from __future__ import annotations

from collections.abc import Set

from pondhatch.limits import RetryBudget
from pondhatch.requests._messages import BodySource, ReplayableBody, RequestHead


class RetryLimits:
    """The limits on one request's retries."""

    def __init__(
        self, head: RequestHead, body: BodySource, budget: RetryBudget, sent_to: Set[str]
    ) -> None:
        self._head = head
        self._body = body
        self._budget = budget
        #: Engines to which the request was sent, kept up to date by its tries.
        self._sent_to = sent_to

    def has_replayable_body(self) -> bool:
        """Return whether the body can be sent again."""
        return isinstance(self._body, ReplayableBody)

    def can_rerun(self) -> bool:
        """Return whether the request may run again if nothing of its answer was delivered."""
        return self._head.repeatable and self.has_replayable_body()

    def tries_are_spent(self) -> bool:
        """Return whether the request was sent to the maximum number of engines."""
        return 0 < self._head.most_tries <= len(self._sent_to)

    def spend_retry(self) -> bool:
        """Take a retry from the service's budget; return whether one was left."""
        return self._budget.spend_retry()
