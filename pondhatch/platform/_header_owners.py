"""Which side may set which of the platform's headers."""

from __future__ import annotations

from pondhatch.platform import _names as names
from pondhatch.transport import HeaderOwners, Owner

#: The owner of every header that the platform defines; a test checks that none is missing. A
#: header that is not listed belongs to the caller and is forwarded.
OWNERS = HeaderOwners(
    {
        names.ATTEMPT_ID: Owner.CALLER,
        names.MODEL: Owner.CALLER,
        names.TOKENS: Owner.CALLER,
        names.PROMPT_PARTS: Owner.CALLER,
        names.LENGTH_HINT: Owner.CALLER,
        # A caller may resume a broken stream; the router's own position takes precedence.
        names.LAST_EVENT_ID: Owner.CALLER,
        names.RESUMED_ATTEMPT: Owner.CALLER,
        # Replaced by the remaining time, and by the name of the key's account.
        names.DEADLINE_MS: Owner.CALLER_TO_ROUTER,
        names.AUTHORIZATION: Owner.CALLER_TO_ROUTER,
        names.ACCOUNT: Owner.ROUTER,
        names.EXPECTED_ENGINE: Owner.ROUTER,
        names.EXPECTED_WEIGHTS: Owner.ROUTER,
        names.PRIORITY: Owner.ROUTER,
        names.ROLE: Owner.ROUTER,
        # These ask an engine to keep, reserve, take over or back up memory, at the expense of
        # others; an engine refuses a copy that it does not have.
        names.KEEP_MS: Owner.ROUTER,
        names.RESERVED: Owner.ROUTER,
        names.CONTEXT_FROM: Owner.ROUTER,
        names.CONTINUE_FROM: Owner.ROUTER,
        names.BACKUP_TO: Owner.ROUTER,
        names.SIGNATURE: Owner.UPSTREAM,
        names.NOT_RUN: Owner.UPSTREAM,
        names.RETRY_AFTER: Owner.UPSTREAM,
        names.LEAVING: Owner.UPSTREAM,
        names.ENGINE: Owner.UPSTREAM,
        names.LOAD: Owner.UPSTREAM,
        names.BRITTLE: Owner.UPSTREAM,
        names.WEIGHTS: Owner.UPSTREAM,
        # Set by the store; neither callers nor engines may set it.
        names.STORE_ERA: Owner.ROUTER,
    }
)
