"""Names on the wire of the users' prepared machines. Nothing outside this folder knows them.

The test of that takes the names from here, so those that are only passed on stand here too.
"""

from __future__ import annotations

from types import MappingProxyType

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
#: The weights that an engine must have to run the request.
EXPECTED_WEIGHTS = "Expect-Version"
#: Which part of the work an engine is to do, or does.
ROLE = "Phase"
#: Milliseconds for which an engine is to keep what it has read.
KEEP_MS = "Pin-Ms"
#: A slot and memory that were set aside at the engine.
RESERVED = "Hold"
#: "IP:port" of an engine that is to get copies of what this one makes.
BACKUP_TO = "Kv-Backup"
#: "IP:port/handle" of a copy with which a run goes on.
CONTINUE_FROM = "Kv-From"
#: The model of a request.
MODEL = "Model"
#: Tokens of the prompt, and most of the answer.
TOKENS = "Token-Usage"
#: The client's guess of the answer's length.
LENGTH_HINT = "Length-Hint"
#: An engine's start, by its id.
ENGINE = "Instance-Id"
#: Requests that an engine runs, those that wait, and its slots.
LOAD = "Instance-Load"
#: Versions of the weights that made an answer.
WEIGHTS = "Weight-Versions"
#: In each answer of the store: how often it came back from an older copy.
STORE_ERA = "Store-Era"
AUTHORIZATION = "Authorization"
RETRY_AFTER = "Retry-After"
#: In all answers of an engine that is about to end.
LEAVING = "Server-Leaving"
#: Status by which an engine says that another one was meant; it ran nothing.
WRONG_INSTANCE_STATUS = 421
#: Statuses of refusals by an engine that has no place, and by one that got no proper request.
FULL_STATUSES = frozenset({429, 503})
BAD_REQUEST_STATUS = 400

#: Calls that an engine answers to routers alone: the first part of their path, and how many
#: parts the path has.
ROUTER_ONLY_CALLS = MappingProxyType(
    {
        "report": 1,
        "kv-events": 1,
        "kv-list": 1,
        "kv-move": 1,
        "hold-take": 1,
        "hold-drop": 2,
        "kv-handle": 2,
        "kv-pin": 2,
    }
)

#: Kinds of objects in the store.
ENGINES_KIND = "servers"
EVACUATIONS_KIND = "evacuations"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"

#: The rules in force where callers compete for too little capacity.
CONTENTION_RULE = "pressure"
