"""Quarantine of requests and parts of prompts that crash engines.

Evidence, decisions, and claims to run suspects.
"""

from pondhatch.quarantine._completed_parts import (
    COMPLETED_BEFORE_SECONDS,
    CompletedParts,
    CompletedRequests,
    WorkingServices,
)
from pondhatch.quarantine._evidence import Evidence, EvidencePacket, RunClaim, RunClaimPacket
from pondhatch.quarantine._run_claims import CLAIM_LIFETIME, RunClaims
from pondhatch.quarantine._suspect import (
    CRASHES_TO_QUARANTINE,
    OVERLAP_QUARANTINE_SECONDS,
    PART_QUARANTINE_SECONDS,
    QUARANTINE_SECONDS,
    Suspect,
)
from pondhatch.quarantine._suspects import EVIDENCE_LIFETIME, MAX_SUSPECTS, Suspects

__all__ = [
    "COMPLETED_BEFORE_SECONDS",
    "CompletedParts",
    "CompletedRequests",
    "PART_QUARANTINE_SECONDS",
    "CRASHES_TO_QUARANTINE",
    "QUARANTINE_SECONDS",
    "EVIDENCE_LIFETIME",
    "OVERLAP_QUARANTINE_SECONDS",
    "MAX_SUSPECTS",
    "CLAIM_LIFETIME",
    "Evidence",
    "EvidencePacket",
    "Suspect",
    "Suspects",
    "RunClaim",
    "RunClaimPacket",
    "RunClaims",
    "WorkingServices",
]
