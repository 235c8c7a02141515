"""A pool of HTTP connections to upstreams and the platform.

Replaces twisted's Agent: the way a connection is lost decides whether a request may run
again, and Agent's pool reports neither whether a connection was reused nor for how long the
other side keeps an idle one open.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from typing import Any

from pondhatch.observing import Metrics, NoMetrics
from pondhatch.requests import AwaitedRequest, BodySource
from pondhatch.transport._connecting import CONNECT_SECONDS, Address, ConnectFactory, NotSent
from pondhatch.transport._exchange import Exchange
from pondhatch.transport._hooks import IDLE_CONNECTIONS, NO_HOOKS, Hooks
from pondhatch.transport._http_connection import Connection
from pondhatch.transport._http_heads import Request
from pondhatch.transport._listen_probe import PROBE_SECONDS, Listening, ListenProbes
from pondhatch.transport._reading_turns import ReadingTurns
from pondhatch.transport._reuse import MAX_SILENT_SECONDS, ReuseRules

__all__ = (
    "MAX_SILENT_SECONDS",
    "PROBE_SECONDS",
    "SWEEP_SECONDS",
    "Address",
    "Hooks",
    "HttpClient",
    "NotSent",
)

#: Seconds between two sweeps for expired idle connections.
SWEEP_SECONDS = 5.0


def _never() -> bool:
    return False


class HttpClient:
    """Sends requests over connections that are pooled by address."""

    def __init__(self, reactor: Any, connect_seconds: float = CONNECT_SECONDS) -> None:
        self._reactor = reactor
        self._connect_seconds = connect_seconds
        #: Shared by all answers, so that many at once take no more of the loop than one.
        self._turns = ReadingTurns()
        self._idle_by_address: dict[Address, list[Connection]] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._probes = ListenProbes(reactor)
        #: Addresses to which a connection is being opened for later requests.
        self._opening: set[Address] = set()
        self._reuse_rules = ReuseRules()
        self._is_load_managed: Callable[[], bool] = _never
        self._metrics: Metrics = NoMetrics()

    def configure(self, is_load_managed: Callable[[], bool], metrics: Metrics) -> None:
        """Set a query for whether load management is active, and metrics to count connections."""
        self._is_load_managed = is_load_managed
        self._metrics = metrics

    def has_idle(self, address: Address) -> bool:
        """Return whether a usable idle connection to an address exists."""
        now = asyncio.get_running_loop().time()
        idle = self._idle_by_address.get(address, ())
        return any(each.is_open and self._usable_until(each) > now for each in idle)

    async def send(
        self,
        address: Address,
        request: Request,
        body: BodySource,
        repeatable: bool,
        needs_new_connection: bool = False,
        hooks: Hooks = NO_HOOKS,
    ) -> Exchange:
        """Send a request once; return the exchange, whose response head is still pending.

        A request that is not repeatable gets a new connection, unless the other side stated for
        how long it keeps idle ones and an idle one is safe to use; see ReuseRules. Raises
        NotSent; awaiting the exchange's head raises the errors of reading the body.
        """
        connection = None
        if not needs_new_connection:
            connection = self._take_idle(
                address, repeatable, hooks.valid_since, hooks.judge.awaited
            )
        is_new = connection is None
        if connection is None:
            connection = await self._connect(address, hooks)
        if hooks.to_upstream:
            self._metrics.count("connections.opened" if is_new else "connections.reused")
        keep = functools.partial(self._keep_idle, address, max_idle=hooks.max_idle)
        exchange = Exchange(
            connection,
            keep,
            hooks.judge,
            hooks.new_counter,
            hooks.max_silent_ms,
            hooks.deadline_seconds,
        )
        try:
            # Opening the connection may have taken long enough for the upstream's state to change.
            hooks.before_send()
            exchange.send(request, body)
        except BaseException:
            # No other code refers to the connection: left open, it would occupy a slot at the
            # upstream until that closes it as idle.
            exchange.cancel()
            raise
        return exchange

    def has_reusable(
        self,
        address: Address,
        repeatable: bool,
        valid_since: float,
        awaited: AwaitedRequest | None = None,
    ) -> bool:
        """Return whether an idle connection to an address may carry a request now."""
        now = asyncio.get_running_loop().time()
        idle = self._idle_by_address.get(address, ())
        return any(
            self._usable_until(each) > now
            and self._may_carry(each, repeatable, valid_since, awaited)
            for each in idle
        )

    def connect_in_background(self, address: Address, hooks: Hooks) -> None:
        """Open a connection and keep it idle, unless one is being opened that way already."""
        if address not in self._opening:
            self._keep_when_open(address, self._start_connecting(address, hooks)[0], hooks)

    def _take_idle(
        self,
        address: Address,
        repeatable: bool,
        valid_since: float,
        awaited: AwaitedRequest | None,
    ) -> Connection | None:
        """Return the newest idle connection that may carry a request, or None."""
        idle = self._idle_by_address.get(address, [])
        now = asyncio.get_running_loop().time()
        for connection in tuple(reversed(idle)):
            if not connection.is_open or self._usable_until(connection) <= now:
                idle.remove(connection)
                connection.abort()
            elif self._may_carry(connection, repeatable, valid_since, awaited):
                idle.remove(connection)
                if not connection.has_unread_bytes():
                    return connection
                connection.abort()
        return None

    def _may_carry(
        self,
        connection: Connection,
        repeatable: bool,
        valid_since: float,
        awaited: AwaitedRequest | None,
    ) -> bool:
        """Return whether an idle connection is safe to use for a request."""
        if not connection.is_open or connection.last_received_at < valid_since:
            return False
        if awaited is not None and not connection.use.may_carry(awaited):
            return False
        now, managed = asyncio.get_running_loop().time(), self._is_managed(connection)
        return repeatable or self._reuse_rules.is_safe(connection, now, managed)

    def _is_managed(self, connection: Connection) -> bool:
        """Return whether the reuse rules for managed load apply to a connection."""
        return self._is_load_managed() and connection.to_upstream

    def _usable_until(self, connection: Connection) -> float:
        return self._reuse_rules.usable_until(connection, self._is_managed(connection))

    async def _connect(self, address: Address, hooks: Hooks) -> Connection:
        factory, connector = self._start_connecting(address, hooks)
        try:
            if not factory.connected.done():
                await asyncio.wait([factory.connected], timeout=hooks.patience)
        except asyncio.CancelledError:
            connector.disconnect()
            raise
        if not factory.connected.done():
            self._keep_when_open(address, factory, hooks)
            raise NotSent(f"no connection within {hooks.patience} s")
        connection = factory.connected.result()
        if not connection.is_open:
            # Its loss was reported before an exchange began, so an exchange would never end.
            raise NotSent("the connection was lost as soon as it was made")
        hooks.on_connected()
        return connection

    def _start_connecting(self, address: Address, hooks: Hooks) -> tuple[ConnectFactory, Any]:
        factory = ConnectFactory(self._connection_closed, self._turns, hooks.to_upstream)
        connector = self._reactor.connectTCP(
            address.host, address.port, factory, timeout=self._connect_seconds
        )
        return factory, connector

    def _keep_when_open(self, address: Address, factory: ConnectFactory, hooks: Hooks) -> None:
        """Keep a connection that is being opened for the next request."""
        self._opening.add(address)

        def keep(connected: asyncio.Future[Connection]) -> None:
            self._opening.discard(address)
            if connected.exception() is not None or not connected.result().is_open:
                return
            hooks.on_connected()
            connection = connected.result()
            connection.mark_unused(asyncio.get_running_loop().time())
            self._keep_idle(address, connection, hooks.max_idle)

        factory.connected.add_done_callback(keep)

    async def is_refused(self, address: Address) -> bool:
        """Return whether a host refuses connections to an address, as nothing listens there.

        False also if the host does not reply.
        """
        return await self.probe(address) is Listening.REFUSED

    async def probe(self, address: Address) -> Listening:
        """Return how a host responds to a connection to an address."""
        return await self._probes.probe(address)

    def close_stale(self, address: Address, since: float) -> None:
        """Close the idle connections to an address that received nothing since a time.

        They may be dead like the one that failed, and each would cost a request its timeout.
        ``since`` is in the loop's seconds.
        """
        for connection in tuple(self._idle_by_address.get(address, ())):
            if connection.last_received_at < since:
                connection.abort()

    def _keep_idle(
        self, address: Address, connection: Connection, max_idle: int = IDLE_CONNECTIONS
    ) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        idle.append(connection)
        while len(idle) > max_idle:
            idle.pop(0).abort()
        if self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(SWEEP_SECONDS, self._sweep)

    def _sweep(self) -> None:
        """Close expired idle connections: an upstream that vanished does not close them itself."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        connections = [each for idle in self._idle_by_address.values() for each in idle]
        for connection in connections:
            if self._usable_until(connection) <= now:
                connection.abort()
        has_usable = any(self._usable_until(connection) > now for connection in connections)
        self._sweep_timer = loop.call_later(SWEEP_SECONDS, self._sweep) if has_usable else None

    def _connection_closed(self, connection: Connection) -> None:
        if connection.was_lost and connection.to_upstream:
            self._reuse_rules.note_loss(asyncio.get_running_loop().time())
        if connection.has_unasked_bytes and connection.to_upstream:
            self._metrics.count("connections.unasked")
        self._forget(connection)

    def _forget(self, connection: Connection) -> None:
        """Remove a closed connection; if it fell silent in use, close all stale ones too."""
        for address, idle in tuple(self._idle_by_address.items()):
            if connection in idle:
                idle.remove(connection)
                if not idle:
                    del self._idle_by_address[address]
                return
        if connection.fell_silent:
            self._close_all_stale(connection.last_active_at())

    def _close_all_stale(self, since: float) -> None:
        """Close every idle connection that received nothing since a time, to any address.

        The fault that silenced one working connection may affect all of them, and a retry must
        not time out on another. Connections that received bytes since then are kept.
        """
        for address in tuple(self._idle_by_address):
            self.close_stale(address, since)
