"""Computes the orders that are due, from the desired and the reported states of engines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from pondhatch.authority._engine import DesiredState, EngineState
from pondhatch.configuration import OrdersSpec


class DueOrder(msgspec.Struct, frozen=True):
    """An order to give to an engine now."""

    engine: str
    desired: DesiredState


def desired_by_engine(spec: OrdersSpec, engines: Iterable[str]) -> dict[str, DesiredState]:
    """Return the desired state of each engine of a service."""
    return {
        engine: DesiredState(
            model=spec.model,
            version=spec.version,
            adapters=spec.adapters,
            role=spec.role_by_engine.get(engine, spec.role),
        )
        for engine in sorted(engines)
    }


def due_orders(
    desired: Mapping[str, DesiredState], reported: Mapping[str, EngineState], at_once: int
) -> tuple[DueOrder, ...]:
    """Return the orders to give now, so that at most ``at_once`` engines are busy with one.

    An engine that did not report gets no order, since it may be busy or gone.
    """
    busy = sum(state.busy for state in reported.values())
    waiting = [
        DueOrder(engine, desired_state)
        for engine, desired_state in desired.items()
        if engine in reported
        and not reported[engine].busy
        and reported[engine].holds != desired_state
    ]
    return tuple(waiting[: max(0, at_once - busy)])
