"""Transport: twisted, klein, treq, grpclib and UDP. Bytes only, no decisions."""

from pondhatch.transport._admin import Admin, readable
from pondhatch.transport._caller_channel import CallerSite
from pondhatch.transport._callers import Callers
from pondhatch.transport._gossip import GossipPort
from pondhatch.transport._http_client import HttpClient
from pondhatch.transport._interface import INTERFACE, CallerDialect, CallerFacts, Interface
from pondhatch.transport._loads import poll_loads
from pondhatch.transport._openai_upstreams import HOP_HEADERS, OpenAiUpstreams
from pondhatch.transport._orders import HttpEngineOrders
from pondhatch.transport._peer_service import PeerService, fleet_token
from pondhatch.transport._peer_tls import PeerTls, peer_tls
from pondhatch.transport._platform import HttpPlatform
from pondhatch.transport._readiness import Readiness
from pondhatch.transport._remote_peer import RemotePeer
from pondhatch.transport._resolver import install_numeric_resolver
from pondhatch.transport._routed_callers import RoutedCallers, bounded
from pondhatch.transport._store_calls import CallFailed, StoreCalls
from pondhatch.transport._upstreams import HttpUpstreams
from pondhatch.transport._wire import PullReply, PullRequest

__all__ = [
    "CallFailed",
    "CallerDialect",
    "CallerFacts",
    "HOP_HEADERS",
    "HttpClient",
    "INTERFACE",
    "Interface",
    "Readiness",
    "RoutedCallers",
    "StoreCalls",
    "bounded",
    "Admin",
    "CallerSite",
    "Callers",
    "GossipPort",
    "HttpEngineOrders",
    "HttpPlatform",
    "HttpUpstreams",
    "OpenAiUpstreams",
    "PeerService",
    "PeerTls",
    "PullReply",
    "PullRequest",
    "RemotePeer",
    "fleet_token",
    "install_numeric_resolver",
    "peer_tls",
    "poll_loads",
    "readable",
]
