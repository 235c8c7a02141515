"""Placement: which engine takes a request, and how much an engine may carry."""

from pondhatch.placement._ceiling import admission_ceiling
from pondhatch.placement._cold_pace import ColdAllowance, ColdPaces
from pondhatch.placement._context import YOUNG_SECONDS, context_engine
from pondhatch.placement._engine_paces import MOST_PACE, USUAL_PACE, EnginePaces
from pondhatch.placement._forecast import (
    GAP_WEIGHT,
    STEADY_GAP_WEIGHT,
    ReleaseInterval,
    RetrySchedule,
    granted_ahead,
)
from pondhatch.placement._gate import EngineCount, Full, Gate, Granted, Verdict
from pondhatch.placement._health import LONGEST_PAUSE, MANAGED_PAUSE, Health
from pondhatch.placement._intake import CLOSING, OPEN, Closed, Intake, Regions, both, is_allowed
from pondhatch.placement._line import Line, Ticket
from pondhatch.placement._memory import SpillMemory
from pondhatch.placement._notices import NO_REST, NOTHING_SAID, Notice, Notices, Rest
from pondhatch.placement._plan import Ask, Exhausted, Plan, Step
from pondhatch.placement._pooled_first import CONSIDERED, RecentLoads, pooled_first
from pondhatch.placement._rendezvous import ranked, scorer, winner
from pondhatch.placement._starts import id_of, name_of_start
from pondhatch.placement._token_counts import (
    OWN_PART,
    Reservation,
    TokenCounts,
    TokenNeed,
    usable_tokens,
)
from pondhatch.placement._weighted_rendezvous import weighted_ranked, weighted_winner

__all__ = [
    "id_of",
    "name_of_start",
    "Ask",
    "CLOSING",
    "CONSIDERED",
    "Closed",
    "ColdAllowance",
    "ColdPaces",
    "Intake",
    "OPEN",
    "OWN_PART",
    "Reservation",
    "TokenCounts",
    "TokenNeed",
    "usable_tokens",
    "Regions",
    "both",
    "is_allowed",
    "EngineCount",
    "EnginePaces",
    "Exhausted",
    "Full",
    "GAP_WEIGHT",
    "Gate",
    "Granted",
    "Health",
    "LONGEST_PAUSE",
    "Line",
    "MANAGED_PAUSE",
    "MOST_PACE",
    "RecentLoads",
    "NOTHING_SAID",
    "NO_REST",
    "Rest",
    "Notice",
    "Notices",
    "ReleaseInterval",
    "Plan",
    "RetrySchedule",
    "STEADY_GAP_WEIGHT",
    "SpillMemory",
    "Step",
    "Ticket",
    "USUAL_PACE",
    "Verdict",
    "YOUNG_SECONDS",
    "admission_ceiling",
    "granted_ahead",
    "context_engine",
    "pooled_first",
    "ranked",
    "scorer",
    "weighted_ranked",
    "weighted_winner",
    "winner",
]
