"""Names on the wire of the users' prepared machines. Nothing outside this folder knows them.

The test of that takes the names from here, so those that are only passed on stand here too.
"""

from __future__ import annotations

#: Names one attempt of a client; answers repeat it.
ATTEMPT_ID = "Attempt-Id"
#: Milliseconds for which the client, or whoever sends, waits for the answer.
DEADLINE_MS = "Deadline-Ms"
#: Parts of a prompt in order, ID:TOKENS by commas; the last is the request's own.
PROMPT_PARTS = "Prefix-Hash"
#: "IP:port" of an engine from which the one asked takes over what it lacks of the prompt.
CONTEXT_FROM = "Kv-Fetch"
#: Id of the last event that was received of a stream that is to go on.
LAST_EVENT_ID = "Last-Event-Id"
#: Proves that an engine made the answer; passed on unchanged.
SIGNATURE = "Instance-Signature"
#: The client account of a request, as the router found it by its key.
ACCOUNT = "Tenant"
#: The only engine that may run the request.
EXPECTED_ENGINE = "Expect-Instance"
#: Marks a refusal by an engine that did not run the request.
NOT_RUN = "Not-Executed"
#: 0 is let in first, 9 last.
PRIORITY = "Request-Priority"
AUTHORIZATION = "Authorization"
RETRY_AFTER = "Retry-After"
#: Status by which an engine says that another one was meant; it ran nothing.
OTHER_ENGINE_STATUS = 421
#: Statuses of refusals by an engine that has no place, and by one that got no proper request.
FULL_STATUSES = frozenset({429, 503})
BAD_REQUEST_STATUS = 400

#: Kinds of objects in the store.
ENGINES_KIND = "servers"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
