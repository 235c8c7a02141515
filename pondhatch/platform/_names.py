"""The platform's names of headers, calls and objects. No code outside this folder uses them.

A test enforces that with the names listed here, so names that are only forwarded are listed too.
"""

from __future__ import annotations

from types import MappingProxyType

#: Id of one attempt of a caller; answers echo it.
ATTEMPT_ID = "Attempt-Id"
#: Milliseconds for which the sender, a caller or a router, waits for the answer.
DEADLINE_MS = "Deadline-Ms"
#: Parts of a prompt in order, as ID:TOKENS separated by commas; the last one is not shared
#: with other requests.
PROMPT_PARTS = "Prefix-Hash"
#: "IP:port" of an engine from which the receiving one copies the prompt context that it lacks.
CONTEXT_FROM = "Kv-Fetch"
#: Id of the last event received of a stream that is to be resumed.
LAST_EVENT_ID = "Last-Event-Id"
#: The caller's attempt that brought the first event of a stream that is to be resumed.
RESUMED_ATTEMPT = "Resumes"
#: Proves that an engine produced the answer; forwarded unchanged.
SIGNATURE = "Instance-Signature"
#: The client account of a request, which the router finds by the request's key.
ACCOUNT = "Tenant"
#: The only engine that may run the request.
EXPECTED_ENGINE = "Expect-Instance"
#: Marks a refusal by an engine that did not run the request.
NOT_RUN = "Not-Executed"
#: 0 is admitted first, 9 last.
PRIORITY = "Request-Priority"
#: Version of the weights that an engine must have to run the request.
EXPECTED_WEIGHTS = "Expect-Version"
#: The part of the work that an engine is to do, or does.
ROLE = "Phase"
#: Milliseconds for which an engine is to keep the prompt context that it has read.
KEEP_MS = "Pin-Ms"
#: A slot and memory that were reserved at the engine.
RESERVED = "Hold"
#: "IP:port" of an engine that is to receive copies of what this one computes.
BACKUP_TO = "Kv-Backup"
#: "IP:port/handle" of a copy from which a run continues.
CONTINUE_FROM = "Kv-From"
#: The model of a request.
MODEL = "Model"
#: Tokens of the prompt, and the maximum of the answer.
TOKENS = "Token-Usage"
#: The caller's estimate of the answer's length, in tokens.
LENGTH_HINT = "Length-Hint"
#: Id of one start of an engine.
ENGINE = "Instance-Id"
#: An engine's running requests, waiting requests and slots; see read_load.
LOAD = "Instance-Load"
#: Versions of the weights that produced an answer.
WEIGHTS = "Weight-Versions"
#: In each answer of the store: how often it was restored from an older copy.
STORE_ERA = "Store-Era"
AUTHORIZATION = "Authorization"
RETRY_AFTER = "Retry-After"
#: In all answers of an engine that is about to shut down.
LEAVING = "Server-Leaving"
#: In all answers of a brittle engine: how many requests it may refuse for lack of room within one
#: second; it fails if it has to refuse more.
BRITTLE = "Server-Brittle"
#: Status of an engine's answer to a request for another engine; it did not run the request.
WRONG_INSTANCE_STATUS = 421
#: Statuses of refusals by an engine without free slots, and of an invalid request.
FULL_STATUSES = frozenset({429, 503})
BAD_REQUEST_STATUS = 400

#: Calls that an engine accepts from routers only: the first segment of the path, and the number
#: of its segments.
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

#: Name of the rules that are in force while callers compete for scarce capacity.
CONTENTION_RULE = "pressure"
