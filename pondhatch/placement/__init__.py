"""Placement: selects an engine for a request and limits the load of each engine."""

from pondhatch.placement._brittle import BrittleAllowances, BrittleEngines
from pondhatch.placement._ceiling import admission_ceiling
from pondhatch.placement._cold_pacer import ColdAllowance, ColdPacer
from pondhatch.placement._context import YOUNG_SECONDS, context_engine
from pondhatch.placement._context_locations import ContextLocations
from pondhatch.placement._engine_paces import MAX_PACE, USUAL_PACE, EnginePaces
from pondhatch.placement._fair_queue import FairQueue, Ticket
from pondhatch.placement._forecast import (
    GAP_WEIGHT,
    STEADY_GAP_WEIGHT,
    ReleaseInterval,
    RetrySchedule,
    extra_grants,
)
from pondhatch.placement._gate import EngineCount, Full, Gate, GateDecision, Granted
from pondhatch.placement._health import LONGEST_PAUSE, MANAGED_PAUSE, Health
from pondhatch.placement._intake import (
    CLOSING,
    OPEN,
    ClosedReason,
    Intake,
    Regions,
    common_regions,
    is_region_allowed,
)
from pondhatch.placement._notices import NO_NOTICE, NO_REST, Notice, Notices, Rest
from pondhatch.placement._plan import Plan
from pondhatch.placement._plan_steps import Ask, Exhausted, Step
from pondhatch.placement._pooled_first import CANDIDATES, RecentLoads, pooled_first
from pondhatch.placement._reachability import Reachability
from pondhatch.placement._recent_answers import RecentAnswers
from pondhatch.placement._relay_choice import (
    BUSY_SECONDS,
    GONE_SECONDS,
    UNSUPPORTED_SECONDS,
    RelayChoice,
    RelayRouter,
)
from pondhatch.placement._rendezvous import ranked, scorer, winner
from pondhatch.placement._software_versions import SINCE_EVER, UNREGISTERED_SECONDS, VersionHistory
from pondhatch.placement._starts import name_of_start, upstream_id_of
from pondhatch.placement._token_counts import (
    UNSHARED_PART,
    Reservation,
    TokenCounts,
    TokenNeed,
    usable_tokens,
)
from pondhatch.placement._weighted_rendezvous import weighted_ranked, weighted_winner

__all__ = [
    "upstream_id_of",
    "name_of_start",
    "Ask",
    "CLOSING",
    "CANDIDATES",
    "ClosedReason",
    "ColdAllowance",
    "ColdPacer",
    "Intake",
    "OPEN",
    "UNSHARED_PART",
    "Reservation",
    "TokenCounts",
    "TokenNeed",
    "usable_tokens",
    "Regions",
    "common_regions",
    "is_region_allowed",
    "EngineCount",
    "EnginePaces",
    "Exhausted",
    "Full",
    "GAP_WEIGHT",
    "Gate",
    "Granted",
    "Health",
    "LONGEST_PAUSE",
    "FairQueue",
    "MANAGED_PAUSE",
    "MAX_PACE",
    "RecentLoads",
    "NO_NOTICE",
    "NO_REST",
    "Rest",
    "Notice",
    "Notices",
    "ReleaseInterval",
    "Plan",
    "RetrySchedule",
    "STEADY_GAP_WEIGHT",
    "ContextLocations",
    "Step",
    "Ticket",
    "UNREGISTERED_SECONDS",
    "USUAL_PACE",
    "SINCE_EVER",
    "VersionHistory",
    "GateDecision",
    "YOUNG_SECONDS",
    "admission_ceiling",
    "extra_grants",
    "context_engine",
    "pooled_first",
    "ranked",
    "scorer",
    "weighted_ranked",
    "weighted_winner",
    "winner",
    "BUSY_SECONDS",
    "GONE_SECONDS",
    "UNSUPPORTED_SECONDS",
    "Reachability",
    "RelayChoice",
    "RelayRouter",
    "RecentAnswers",
    "BrittleAllowances",
    "BrittleEngines",
]
