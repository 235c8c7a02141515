"""Quarantine of requests that crash engines: evidence, decision, and claims for trial runs."""

from pondhatch.quarantine._evidence import Evidence, EvidencePacket, Trial, TrialPacket
from pondhatch.quarantine._suspects import (
    CRASHES_TO_QUARANTINE,
    EVIDENCE_LIFETIME,
    MAX_SUSPECTS,
    QUARANTINE_SECONDS,
    Suspect,
    Suspects,
)
from pondhatch.quarantine._trials import TRIAL_SECONDS, Trials

__all__ = [
    "CRASHES_TO_QUARANTINE",
    "QUARANTINE_SECONDS",
    "EVIDENCE_LIFETIME",
    "MAX_SUSPECTS",
    "TRIAL_SECONDS",
    "Evidence",
    "EvidencePacket",
    "Suspect",
    "Suspects",
    "Trial",
    "TrialPacket",
    "Trials",
]
