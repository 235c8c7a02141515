"""Requests: one try and its states, an owner's grants, an entry router's walk."""

from pondhatch.requests._chat import ChatRequest, MalformedChat, read_chat
from pondhatch.requests._crash_guard import (
    NO_WATCH,
    QUARANTINED,
    CrashGuard,
    RequestWatch,
)
from pondhatch.requests._delivery import Delivered, Delivery, is_event_stream
from pondhatch.requests._digest import digest_of
from pondhatch.requests._entry import Walk
from pondhatch.requests._entry_grants import NUMBERS, EntryGrants
from pondhatch.requests._entry_view import EntryView, Ways
from pondhatch.requests._events import LAST_EVENT, EventCutter
from pondhatch.requests._grant_packets import (
    GrantPacket,
    Hold,
    Release,
    Spilled,
    Telling,
    Word,
    decode_grant_packet,
    encode_grant_packet,
)
from pondhatch.requests._grant_sides import GrantSides
from pondhatch.requests._keys import (
    KEPT_BODY,
    Claim,
    Fresh,
    KeptAnswer,
    KeyRecord,
    KeyTable,
    Known,
    kept,
)
from pondhatch.requests._messages import (
    AnswerStream,
    BodySource,
    CallerGone,
    DecisionNote,
    Headers,
    Lost,
    Opened,
    PartSink,
    ReplayableBody,
    RequestHead,
)
from pondhatch.requests._once import HOLDERS, KeyedRun, KeyHolder, LocalKeyHolder, refusal_of
from pondhatch.requests._outcomes import (
    CROSSED,
    Broken,
    EngineRefusal,
    NotRun,
    Outcome,
    Refusal,
    Unknown,
    Whole,
    out_of_time,
)
from pondhatch.requests._owner import LocalOwner, OwnerView
from pondhatch.requests._owner_grants import OwnerGrants
from pondhatch.requests._questions import (
    Busy,
    Elsewhere,
    Ended,
    Grants,
    Holder,
    NotOwner,
    OwnerReply,
    Question,
)
from pondhatch.requests._sending import (
    GrantedAnswer,
    NoUpstreamView,
    Target,
    Upstreams,
    UpstreamView,
    open_target,
)
from pondhatch.requests._try import Try, new_try
from pondhatch.requests._upstream_dialect import Judged, UpstreamDialect
from pondhatch.requests._walk_results import Patience, Placed, Refused

__all__ = [
    "Judged",
    "NoUpstreamView",
    "open_target",
    "UpstreamDialect",
    "UpstreamView",
    "CROSSED",
    "NO_WATCH",
    "NUMBERS",
    "QUARANTINED",
    "HOLDERS",
    "KEPT_BODY",
    "LAST_EVENT",
    "AnswerStream",
    "BodySource",
    "Broken",
    "Busy",
    "CallerGone",
    "ChatRequest",
    "Claim",
    "CrashGuard",
    "DecisionNote",
    "Delivered",
    "Delivery",
    "Elsewhere",
    "Ended",
    "EngineRefusal",
    "EntryGrants",
    "EntryView",
    "EventCutter",
    "Fresh",
    "GrantPacket",
    "GrantSides",
    "GrantedAnswer",
    "Grants",
    "Headers",
    "Hold",
    "Holder",
    "KeptAnswer",
    "KeyHolder",
    "KeyRecord",
    "KeyTable",
    "KeyedRun",
    "Known",
    "LocalKeyHolder",
    "LocalOwner",
    "Lost",
    "MalformedChat",
    "NotOwner",
    "NotRun",
    "Opened",
    "Outcome",
    "OwnerGrants",
    "OwnerReply",
    "OwnerView",
    "PartSink",
    "Patience",
    "Placed",
    "Question",
    "Refusal",
    "Refused",
    "Release",
    "ReplayableBody",
    "RequestHead",
    "RequestWatch",
    "Spilled",
    "Target",
    "Telling",
    "Try",
    "Unknown",
    "Upstreams",
    "Walk",
    "Ways",
    "Whole",
    "Word",
    "decode_grant_packet",
    "digest_of",
    "encode_grant_packet",
    "is_event_stream",
    "kept",
    "new_try",
    "out_of_time",
    "read_chat",
    "refusal_of",
]
