"""Requests: one try and its states, an owner's grants, an entry router's walk."""

from pondhatch.requests._chat import ChatRequest, MalformedChat, read_chat
from pondhatch.requests._entry import EntryView, Patience, Placed, Refused, Walk
from pondhatch.requests._messages import (
    AnswerStream,
    BodySource,
    Busy,
    CallerGone,
    DecisionNote,
    Elsewhere,
    Headers,
    Lost,
    NotOwner,
    Opened,
    Owner,
    OwnerReply,
    ReplayableBody,
    RequestHead,
)
from pondhatch.requests._outcomes import Broken, NotRun, Outcome, Refusal, Unknown, Whole
from pondhatch.requests._owner import GrantedAnswer, LocalOwner, OwnerView, Target, Upstreams
from pondhatch.requests._try import Try, new_try

__all__ = [
    "AnswerStream",
    "BodySource",
    "Broken",
    "Busy",
    "CallerGone",
    "ChatRequest",
    "DecisionNote",
    "Elsewhere",
    "EntryView",
    "GrantedAnswer",
    "Headers",
    "LocalOwner",
    "Lost",
    "MalformedChat",
    "NotOwner",
    "NotRun",
    "Opened",
    "Outcome",
    "Owner",
    "OwnerReply",
    "OwnerView",
    "Patience",
    "Placed",
    "Refusal",
    "Refused",
    "ReplayableBody",
    "RequestHead",
    "Target",
    "Try",
    "Unknown",
    "Upstreams",
    "Walk",
    "Whole",
    "new_try",
    "read_chat",
]
