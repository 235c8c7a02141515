"""The router: one process's state, who may use it, and how it keeps up."""

from pondhatch.router._admission import (
    ANYBODY,
    MEMORY_LIMITED,
    NO_ROUTE,
    Account,
    Admitted,
    admit,
    admit_routed,
    bearer_key,
    identify,
    identify_key,
    if_all_known,
    memory_limited,
    not_in_force,
    service_of_path,
)
from pondhatch.router._authority import Authority
from pondhatch.router._beliefs import Beliefs
from pondhatch.router._crash_guarding import CRASH_MARK, CrashGuarding
from pondhatch.router._dump import Dump, dump_state
from pondhatch.router._fleet_key import agreed_key
from pondhatch.router._granting import GRANT_MARK, Granting
from pondhatch.router._hall_states import HallStates
from pondhatch.router._introduction import Introduction
from pondhatch.router._notice_keeping import NOTICE_MARK, NoticeKeeping
from pondhatch.router._pooled_engines import PooledEngines
from pondhatch.router._restoring import Restoring
from pondhatch.router._starting import Starting, not_ready
from pondhatch.router._state import RouterState
from pondhatch.router._sync import EVACUATION_KIND, UPSTREAM_KIND, Sync

__all__ = [
    "HallStates",
    "ANYBODY",
    "MEMORY_LIMITED",
    "NO_ROUTE",
    "not_in_force",
    "if_all_known",
    "EVACUATION_KIND",
    "UPSTREAM_KIND",
    "admit_routed",
    "memory_limited",
    "agreed_key",
    "bearer_key",
    "identify_key",
    "Account",
    "Admitted",
    "Authority",
    "Beliefs",
    "Dump",
    "CRASH_MARK",
    "GRANT_MARK",
    "CrashGuarding",
    "Granting",
    "Introduction",
    "NOTICE_MARK",
    "NoticeKeeping",
    "PooledEngines",
    "Restoring",
    "RouterState",
    "Starting",
    "Sync",
    "admit",
    "dump_state",
    "identify",
    "not_ready",
    "service_of_path",
]
