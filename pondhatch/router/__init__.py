"""The router: the state of one process, admission of callers, and exchange with its peers."""

from pondhatch.router._admission import (
    ANONYMOUS,
    MEMORY_LIMITED,
    NO_ROUTE,
    Account,
    Admitted,
    admit,
    admit_routed,
    bearer_key,
    identify,
    identify_key,
    memory_limited_refusal,
    not_in_force_refusal,
    service_of_path,
    unknown_entry_refusal,
)
from pondhatch.router._authority import Authority
from pondhatch.router._catch_up import CatchUp
from pondhatch.router._crash_evidence_exchange import CrashEvidenceExchange
from pondhatch.router._crash_evidence_sender import CRASH_PACKET_PREFIX
from pondhatch.router._crash_probe import CrashProbe
from pondhatch.router._dump import dump_state
from pondhatch.router._dump_sections import Dump
from pondhatch.router._fleet_key import AgreedKey, obtain_fleet_key
from pondhatch.router._grace import STOPPING, Grace
from pondhatch.router._grant_exchange import GRANT_PACKET_PREFIX, GrantExchange
from pondhatch.router._hall_states import HallStates
from pondhatch.router._notice_exchange import NOTICE_PACKET_PREFIX, NoticeExchange
from pondhatch.router._peer_discovery import PeerDiscovery
from pondhatch.router._platform_checks import EVACUATION_KIND, UPSTREAM_KIND, PlatformChecks
from pondhatch.router._platform_restorer import PlatformRestorer
from pondhatch.router._pooled_engines import PooledEngines
from pondhatch.router._router_paths import RouterPaths
from pondhatch.router._startup_wait import StartupWait, not_ready_refusal
from pondhatch.router._state import RouterState
from pondhatch.router._state_recorder import StateRecorder
from pondhatch.router._sync import Sync
from pondhatch.router.streams._exchange import StreamOriginExchange
from pondhatch.router.streams._packets import ORIGIN_PACKET_PREFIX

__all__ = [
    "AgreedKey",
    "HallStates",
    "ANONYMOUS",
    "MEMORY_LIMITED",
    "NO_ROUTE",
    "STOPPING",
    "not_in_force_refusal",
    "unknown_entry_refusal",
    "EVACUATION_KIND",
    "UPSTREAM_KIND",
    "admit_routed",
    "memory_limited_refusal",
    "obtain_fleet_key",
    "bearer_key",
    "identify_key",
    "Account",
    "Admitted",
    "Authority",
    "StateRecorder",
    "Dump",
    "CRASH_PACKET_PREFIX",
    "GRANT_PACKET_PREFIX",
    "CrashEvidenceExchange",
    "Grace",
    "GrantExchange",
    "PeerDiscovery",
    "PlatformChecks",
    "NOTICE_PACKET_PREFIX",
    "NoticeExchange",
    "PooledEngines",
    "PlatformRestorer",
    "RouterState",
    "CatchUp",
    "StartupWait",
    "Sync",
    "admit",
    "dump_state",
    "identify",
    "not_ready_refusal",
    "service_of_path",
    "RouterPaths",
    "CrashProbe",
    "ORIGIN_PACKET_PREFIX",
    "StreamOriginExchange",
]
