"""The network layer: HTTP with twisted and h11, gRPC with grpclib, and gossip over UDP.

It makes no routing decisions.
"""

from pondhatch.transport._admin import Admin, format_dump
from pondhatch.transport._admitted_request import AdmittedRequest
from pondhatch.transport._answer_heads import (
    AnswerHead,
    HeadBuffer,
    MalformedHead,
    may_begin_answer,
)
from pondhatch.transport._answer_judge import SurplusAnswer
from pondhatch.transport._answers import abort_connection, write_head
from pondhatch.transport._caller_body import read_whole
from pondhatch.transport._caller_channel import CallerSite
from pondhatch.transport._caller_dialect import CallerDialect, CallerFacts
from pondhatch.transport._caller_limits import effective_caller_limits
from pondhatch.transport._caller_request import CallerRequest
from pondhatch.transport._dead_peers import detect_dead_peer
from pondhatch.transport._gossip import GossipPort
from pondhatch.transport._guarded_request import serve_guarded
from pondhatch.transport._header_owners import (
    HeaderOwners,
    NoteDropped,
    Owner,
    dropped_header_counter,
)
from pondhatch.transport._headers import as_text, utf8_value
from pondhatch.transport._http_client import HttpClient
from pondhatch.transport._interface import INTERFACE, CallerDependencies, Callers, Interface
from pondhatch.transport._metrics_page import MetricsPage
from pondhatch.transport._parts import PartPipe
from pondhatch.transport._peer_service import PeerService, fleet_token
from pondhatch.transport._peer_tls import PeerTls, peer_tls
from pondhatch.transport._readiness import Readiness
from pondhatch.transport._reading_turns import ReadingShares, ReadingTurns
from pondhatch.transport._relay_calls import RelayCalls
from pondhatch.transport._relay_service import RelayService
from pondhatch.transport._remote_peer import RemotePeer
from pondhatch.transport._request_runner import RequestRunner
from pondhatch.transport._resolver import install_numeric_resolver
from pondhatch.transport._retry_after import seconds_to_wait
from pondhatch.transport._routed_callers import RoutedCallers
from pondhatch.transport._store_calls import (
    CALLS_PER_SECOND,
    MAX_CONTENT_BYTES,
    RECORD_CALLS_PER_SECOND,
    CallFailed,
    StoreAnswer,
    StoreCalls,
)
from pondhatch.transport._upstreams import HttpUpstreams
from pondhatch.transport._wire import PullReply, PullRequest

__all__ = [
    "CALLS_PER_SECOND",
    "RECORD_CALLS_PER_SECOND",
    "AnswerHead",
    "HeadBuffer",
    "MalformedHead",
    "may_begin_answer",
    "SurplusAnswer",
    "MetricsPage",
    "abort_connection",
    "write_head",
    "CallerDependencies",
    "CallerRequest",
    "Callers",
    "PartPipe",
    "RequestRunner",
    "AdmittedRequest",
    "serve_guarded",
    "read_whole",
    "CallFailed",
    "CallerDialect",
    "CallerFacts",
    "HeaderOwners",
    "NoteDropped",
    "Owner",
    "as_text",
    "seconds_to_wait",
    "utf8_value",
    "HttpClient",
    "INTERFACE",
    "Interface",
    "ReadingShares",
    "ReadingTurns",
    "Readiness",
    "RoutedCallers",
    "StoreAnswer",
    "MAX_CONTENT_BYTES",
    "StoreCalls",
    "effective_caller_limits",
    "dropped_header_counter",
    "Admin",
    "CallerSite",
    "GossipPort",
    "HttpUpstreams",
    "PeerService",
    "PeerTls",
    "PullReply",
    "PullRequest",
    "RemotePeer",
    "fleet_token",
    "detect_dead_peer",
    "install_numeric_resolver",
    "peer_tls",
    "format_dump",
    "RelayCalls",
    "RelayService",
]
