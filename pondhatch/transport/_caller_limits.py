"""Limits on callers: those of the configuration in force, else those of the settings."""

from __future__ import annotations

from typing import TypeVar

from pondhatch.configuration import CallerLimits
from pondhatch.router import RouterState

Number = TypeVar("Number", int, float)


def effective_caller_limits(state: RouterState, settings: CallerLimits) -> CallerLimits:
    """Return callers' limits: those of the configuration in force, else of the settings."""
    bounds = state.configuration.caller_bounds
    if bounds is None:
        return settings
    return CallerLimits(
        chat_body_bytes=settings.chat_body_bytes,
        header_bytes=value_or(bounds.header_bytes, settings.header_bytes),
        header_seconds=value_or(bounds.header_seconds, settings.header_seconds),
        idle_seconds=value_or(bounds.idle_seconds, settings.idle_seconds),
    )


def value_or(value: Number | None, otherwise: Number) -> Number:
    """Return a value, or another one where it is None."""
    return otherwise if value is None else value
