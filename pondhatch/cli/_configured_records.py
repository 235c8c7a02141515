"""Chooses where the records of a router go, by its settings."""

from __future__ import annotations

from pondhatch.configuration import Settings
from pondhatch.observing import LineRecords, LoggedRecords, Records


def configured_records(settings: Settings) -> Records:
    """Return the receiver of records: JSON lines if the log has that form, else the text log."""
    if settings.log.form == "lines":
        return LineRecords(settings.name)
    return LoggedRecords()
