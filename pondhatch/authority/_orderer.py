"""Keeps the engines of one service in their configured state, while holding the lease."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec

from pondhatch.authority._engine import (
    DesiredState,
    EngineOrders,
    EngineState,
    OldNumber,
    OrderOutcome,
    StateReported,
    Taken,
)
from pondhatch.authority._lease import LeaseKeeper
from pondhatch.authority._lease_record import (
    LEASE_KIND,
    ReadLease,
    ReadOutcome,
    WriteLease,
    WriteOutcome,
)
from pondhatch.authority._orders import DueOrder, desired_by_engine, due_orders
from pondhatch.configuration import OrdersSpec
from pondhatch.kernel import Standstill
from pondhatch.observing import log_for
from pondhatch.store import OutcomeUnknown, Platform, Unavailable, Upstream

log = log_for("authority")

#: Seconds between two checks of the engines' states: while some differ from the desired state,
#: and while none does.
PENDING_CHECK_SECONDS = 1.0
IDLE_CHECK_SECONDS = 60.0
#: Orders kept for the state dump.
MAX_LAST_ORDERS = 20
#: Seconds between two steps.
STEP_PAUSE_SECONDS = 0.25
#: Seconds after a standstill in which a router learns which orders are in force.
CATCH_UP_SECONDS = 1.0
#: Seconds until the next step after one that raised; this also limits how often it is logged.
FAILURE_PAUSE_SECONDS = 5.0

Sleep = Callable[[float], Awaitable[None]]


class OrdererView(Protocol):
    """The part of the router's state that an orderer reads."""

    def should_hold_lease(self, service: str) -> bool:
        """Return whether this router is the one that should hold the service's lease."""

    def orders_of(self, service: str) -> OrdersSpec | None:
        """Return the configured orders for the service's engines, or None if there are none."""

    def platform_era(self) -> int:
        """Return the highest era of the platform that this router knows, also through its peers.

        The era is the number of times that the platform was restored from an older copy.
        """

    def engines_of(self, service: str) -> tuple[Upstream, ...]:
        """Return the service's engines without those that are leaving."""


class OrdererStatus(msgspec.Struct, frozen=True):
    """The state of an orderer as shown in a state dump."""

    service: str
    holder: str | None
    fencing: int
    #: Engines whose last state reported here differs from the desired one.
    differing: tuple[str, ...]
    #: The last orders given by this router: engine, fencing number and outcome.
    last_orders: tuple[tuple[str, int, str], ...]


class Orderer(msgspec.Struct):
    """Gives orders to the engines of one service from one router."""

    service: str
    view: OrdererView
    platform: Platform
    engines: EngineOrders
    keeper: LeaseKeeper
    clock: Callable[[], float]
    sleep: Sleep = asyncio.sleep
    _state_by_engine: dict[str, EngineState] = msgspec.field(default_factory=dict)
    #: The configured orders and the engines at the last step; if either changes, the engines'
    #: states are checked at once.
    _spec: OrdersSpec | None = None
    _engine_names: tuple[str, ...] = ()
    _next_check_at: float = float("-inf")
    _orders_in_flight: int = 0
    _standstill: Standstill = msgspec.field(default_factory=Standstill)
    #: Why the lease was malformed when that was last logged; empty if it was valid.
    _logged_malformed: str = ""
    _last_orders: list[tuple[str, int, str]] = msgspec.field(default_factory=list)

    async def run(self) -> None:
        """Keep the lease and the states of the engines, until cancelled."""
        await asyncio.gather(self._repeat(self._lease_step), self._repeat(self._engine_step))

    def is_holder(self) -> bool:
        """Return whether this router holds the lease, and must release it before it stops."""
        return self.keeper.is_holder()

    def status(self) -> OrdererStatus:
        """Return the status for a state dump."""
        record = self.keeper.record
        desired = self._desired()
        differing = tuple(
            name
            for name, state in sorted(self._state_by_engine.items())
            if name in desired and state.holds != desired[name]
        )
        return OrdererStatus(
            service=self.service,
            holder=record.holder if record is not None and not record.released else None,
            fencing=record.fencing if record is not None else 0,
            differing=differing,
            last_orders=tuple(self._last_orders),
        )

    # -- the lease ------------------------------------------------------------

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        """Repeat a step forever; one that raises is logged and does not end the loop."""
        while True:
            pause = STEP_PAUSE_SECONDS
            try:
                await step()
            except Exception:
                log.exception(
                    "A step for the engines of service {} failed; it will be repeated.",
                    self.service,
                )
                pause = FAILURE_PAUSE_SECONDS
            await self.sleep(pause)

    async def _lease_step(self) -> None:
        self.keeper.observe_era(self.clock(), self.view.platform_era())
        self._standstill.note_round(self.clock())
        should_hold = self.view.should_hold_lease(self.service)
        was_holder = self.keeper.is_holder()
        call = self.keeper.next_call(self.clock(), should_hold, self._orders_in_flight > 0)
        if call is None:
            return
        if isinstance(call, ReadLease):
            found = await self._read()
            self.keeper.handle_read(self.clock(), found)
            self._log_malformed()
        else:
            written = await self._write(call)
            self.keeper.handle_write(self.clock(), written)
        if was_holder != self.keeper.is_holder():
            self._holder_changed()

    async def _read(self) -> ReadOutcome:
        try:
            return await self.platform.get(LEASE_KIND, self.service)
        except Exception as error:
            log.exception("Reading the lease of service {} failed.", self.service)
            return Unavailable(str(error))

    async def _write(self, call: WriteLease) -> WriteOutcome:
        value = msgspec.to_builtins(call.record)
        try:
            if call.version is None:
                return await self.platform.create(LEASE_KIND, self.service, value)
            return await self.platform.update(LEASE_KIND, self.service, value, call.version)
        except Exception as error:
            # The keeper needs an outcome for each write; an exception leaves open whether the
            # write took effect.
            log.exception(
                "The outcome of a write to the lease of service {} is unknown.", self.service
            )
            return OutcomeUnknown(str(error))

    def _log_malformed(self) -> None:
        """Log when the lease becomes malformed, if the reason changes, and when it no longer is."""
        malformed = self.keeper.malformed_reason
        if malformed == self._logged_malformed:
            return
        self._logged_malformed = malformed
        if malformed:
            log.error(
                "The lease of service {} is malformed, so no orders are given: {}.",
                self.service,
                malformed,
            )
        else:
            log.info("The lease of service {} is no longer malformed.", self.service)

    def _holder_changed(self) -> None:
        self._state_by_engine.clear()
        self._next_check_at = float("-inf")
        if self.keeper.is_holder() and self.keeper.record is not None:
            fencing = self.keeper.record.fencing
            log.info(
                "This router now holds the lease of service {}, with fencing number {}.",
                self.service,
                fencing,
            )
        else:
            log.info("This router no longer holds the lease of service {}.", self.service)

    # -- the engines ----------------------------------------------------------

    async def _engine_step(self) -> None:
        if not self.keeper.is_holder() or self._has_just_stood_still():
            return
        spec = self.view.orders_of(self.service)
        names = tuple(engine.name for engine in self.view.engines_of(self.service))
        if (spec, names) != (self._spec, self._engine_names):
            self._spec, self._engine_names = spec, names
            self._next_check_at = float("-inf")
        if spec is None or self.clock() < self._next_check_at:
            return
        await self._read_engine_states()
        due = due_orders(self._desired(), self._state_by_engine, spec.at_once)
        await asyncio.gather(*(self._give_order(order) for order in due))
        self._next_check_at = self.clock() + self._check_pause()

    def _has_just_stood_still(self) -> bool:
        """Return whether the orders may be of before a standstill of this process.

        A slow call to the platform looks the same, and delays orders by as much.
        """
        now = self.clock()
        return self._standstill.has_been_since(now - CATCH_UP_SECONDS, now)

    def _check_pause(self) -> float:
        all_as_desired = all(
            name in self._state_by_engine
            and self._state_by_engine[name].holds == desired
            and not self._state_by_engine[name].busy
            for name, desired in self._desired().items()
        )
        return IDLE_CHECK_SECONDS if all_as_desired else PENDING_CHECK_SECONDS

    async def _read_engine_states(self) -> None:
        engines = self.view.engines_of(self.service)
        replies = await asyncio.gather(*(self.engines.state(each.url) for each in engines))
        self._state_by_engine = {
            engine.name: reply.state
            for engine, reply in zip(engines, replies, strict=True)
            if isinstance(reply, StateReported)
        }

    async def _give_order(self, due: DueOrder) -> None:
        engine = next((e for e in self.view.engines_of(self.service) if e.name == due.engine), None)
        if engine is None or self.view.orders_of(self.service) != self._spec:
            return
        if self._has_just_stood_still():
            return
        self.keeper.observe_era(self.clock(), self.view.platform_era())
        fencing = self.keeper.order_fencing(self.clock(), engine.checks_fencing)
        if fencing is None:
            return
        self._orders_in_flight += 1
        try:
            seconds = self.keeper.order_timeout
            outcome = await self.engines.order(engine.url, due.desired, fencing, seconds)
        finally:
            self._orders_in_flight -= 1
        self._record_outcome(due, fencing, outcome)

    def _record_outcome(self, due: DueOrder, fencing: int, outcome: OrderOutcome) -> None:
        outcome_name = type(outcome).__name__
        self._last_orders = [*self._last_orders, (due.engine, fencing, outcome_name)][
            -MAX_LAST_ORDERS:
        ]
        if isinstance(outcome, OldNumber):
            self.keeper.observe_fencing(outcome.highest)
        if isinstance(outcome, Taken):
            log.info("Engine {} accepted an order with fencing number {}.", due.engine, fencing)
        else:
            log.warning(
                "An order with fencing number {} to engine {} was not confirmed: {}.",
                fencing,
                due.engine,
                outcome,
            )

    def _desired(self) -> dict[str, DesiredState]:
        return desired_by_engine(self._spec, self._engine_names) if self._spec is not None else {}
