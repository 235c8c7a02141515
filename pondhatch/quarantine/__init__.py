"""Requests under which engines end: the evidence, the verdict, and who may try one once more."""

from pondhatch.quarantine._evidence import Evidence, EvidencePacket, Trial, TrialPacket
from pondhatch.quarantine._suspects import (
    ENDS_TO_QUARANTINE,
    HOLD_SECONDS,
    KEEP_SECONDS,
    MOST_SUSPECTS,
    Suspect,
    Suspects,
)
from pondhatch.quarantine._trials import TRIAL_SECONDS, Trials

__all__ = [
    "ENDS_TO_QUARANTINE",
    "HOLD_SECONDS",
    "KEEP_SECONDS",
    "MOST_SUSPECTS",
    "TRIAL_SECONDS",
    "Evidence",
    "EvidencePacket",
    "Suspect",
    "Suspects",
    "Trial",
    "TrialPacket",
    "Trials",
]
