"""Who may set which header of the prepared machines."""

from __future__ import annotations

from pondhatch.platform import _names as names
from pondhatch.transport import HeaderOwners, Owner

#: Every header that the platform names stands here; a test goes through them. A name that is
#: not here is the client's own and passes.
OWNERS = HeaderOwners(
    {
        names.ATTEMPT_ID: Owner.CALLER,
        names.MODEL: Owner.CALLER,
        names.TOKENS: Owner.CALLER,
        names.PROMPT_PARTS: Owner.CALLER,
        names.LENGTH_HINT: Owner.CALLER,
        # A client may take up a stream that broke; the router's own place goes before it.
        names.LAST_EVENT_ID: Owner.CALLER,
        # Replaced by what is left of the time, and by the name of the key's account.
        names.DEADLINE_MS: Owner.CALLER_TO_ROUTER,
        names.AUTHORIZATION: Owner.CALLER_TO_ROUTER,
        names.ACCOUNT: Owner.ROUTER,
        names.EXPECTED_ENGINE: Owner.ROUTER,
        names.EXPECTED_WEIGHTS: Owner.ROUTER,
        names.PRIORITY: Owner.ROUTER,
        names.ROLE: Owner.ROUTER,
        # They ask an engine to keep, reserve, take over or back up memory, which others pay
        # for; an engine refuses a copy that it does not have.
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
        names.WEIGHTS: Owner.UPSTREAM,
        # The store's own; neither callers nor engines have a say in it.
        names.STORE_ERA: Owner.ROUTER,
    }
)
