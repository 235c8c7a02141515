"""A pool of HTTP connections to upstreams and the platform.

Replaces twisted's Agent: the way a connection is lost decides whether a request may run
again, and Agent's pool reports neither whether a connection was reused nor for how long the
other side keeps an idle one open.
"""

from __future__ import annotations

import asyncio
import enum
import functools
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from pondhatch.limits import HeldCounter
from pondhatch.observing import Metrics, NoMetrics
from pondhatch.requests import AwaitedRequest, BodySource
from pondhatch.transport._dead_peers import UNACKNOWLEDGED_MS
from pondhatch.transport._exchange import Exchange, no_counter
from pondhatch.transport._head_verdict import TRUSTING_JUDGE, AnswerJudge
from pondhatch.transport._http_connection import Connection
from pondhatch.transport._http_heads import Request
from pondhatch.transport._reuse import MAX_SILENT_SECONDS as MAX_SILENT_SECONDS
from pondhatch.transport._reuse import ReuseRules

#: Timeout of opening a connection, in seconds.
CONNECT_SECONDS = 1.0
#: Timeout of a listen probe, in seconds. A round trip between data halls takes a tenth of it,
#: and a request may be waiting for the result.
PROBE_SECONDS = 0.3
#: Valid TCP ports.
PORTS = range(1, 2**16)
#: Maximum idle connections per address.
IDLE_CONNECTIONS = 64
#: Seconds between two sweeps for expired idle connections.
SWEEP_SECONDS = 5.0


class NotSent(Exception):
    """The request failed before any byte of it left this process."""


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port to connect to."""

    host: str
    port: int

    @classmethod
    def of_url(cls, url: str) -> Address:
        """Return the address in "http://IP:port". Raises ValueError if the URL is invalid."""
        host, _, port = url.removeprefix("http://").rstrip("/").rpartition(":")
        number = int(port)
        if not host or number not in PORTS:
            raise ValueError(f"expected http://IP:port, got {url!r}")
        return cls(host.strip("[]"), number)


class _ConnectFactory(ClientFactory):
    """Opens one connection, or reports why that failed."""

    noisy = False

    def __init__(self, on_closed: Callable[[Connection], None], to_upstream: bool) -> None:
        self.connected: asyncio.Future[Connection] = asyncio.get_running_loop().create_future()
        self._on_closed = on_closed
        self._to_upstream = to_upstream

    def buildProtocol(self, addr: Any) -> Connection:
        connection = _AnnouncingConnection(self._on_closed)
        connection.on_connected = self._set_connection
        connection.to_upstream = self._to_upstream
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._fail(reason)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Fail the attempt if the connection is lost before its set-up is complete."""
        self._fail(reason)

    def _fail(self, reason: Failure) -> None:
        if not self.connected.done():
            self.connected.set_exception(NotSent(reason.getErrorMessage()))
            self.connected.exception()  # Marks it as retrieved: its waiter may be gone.

    def _set_connection(self, connection: Connection) -> None:
        if self.connected.done():
            connection.abort()
            return
        self.connected.set_result(connection)


class _AnnouncingConnection(Connection):
    """A connection that reports when it is established."""

    on_connected: Callable[[Connection], None]

    def connectionMade(self) -> None:
        super().connectionMade()
        self.on_connected(self)


class _CloseAtOnce(Protocol):
    """A connection that is aborted as soon as it is established."""

    def connectionMade(self) -> None:
        transport: Any = self.transport
        transport.abortConnection()


class Listening(enum.Enum):
    """How a host responds to a connection to an address."""

    #: Something listens there.
    ACCEPTED = enum.auto()
    #: Nothing listens there.
    REFUSED = enum.auto()
    #: The host does not reply.
    SILENT = enum.auto()


class _ListenProbe(ClientFactory):
    """Probes how connections to an address are responded to."""

    noisy = False
    protocol = _CloseAtOnce

    def __init__(self) -> None:
        self.result: asyncio.Future[Listening] = asyncio.get_running_loop().create_future()

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        was_refused = reason.check(Refused) is not None
        self._resolve(Listening.REFUSED if was_refused else Listening.SILENT)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        self._resolve(Listening.ACCEPTED)

    def _resolve(self, result: Listening) -> None:
        if not self.result.done():
            self.result.set_result(result)


def _no_check() -> None:
    return None


def _never() -> bool:
    return False


class Hooks(msgspec.Struct, frozen=True):
    """Callbacks and options by which a sender controls and observes an exchange."""

    #: Decides whose each answer is; asked with its head on receipt, even if its waiter left.
    judge: AnswerJudge = TRUSTING_JUDGE
    #: Seconds within which the request may be sent again, here or elsewhere.
    deadline_seconds: float = 0.0
    #: Called right before the first byte is written; an exception stops the request.
    before_send: Callable[[], None] = _no_check
    #: Returns a counter for bytes of the exchange that are buffered here for either side.
    new_counter: Callable[[], HeldCounter] = no_counter
    #: Whether the request goes to an upstream rather than to the platform.
    to_upstream: bool = False
    #: Maximum idle connections to its address.
    max_idle: int = IDLE_CONNECTIONS
    #: Called when a new connection opened, even if the request no longer waits for it.
    on_connected: Callable[[], None] = _no_check
    #: Maximum seconds that the request waits for a new connection; None for the timeout of
    #: opening one. A connection that opens later is kept idle.
    patience: float | None = None
    #: Time from which on an idle connection must have received bytes to be used, in the loop's
    #: seconds.
    valid_since: float = float("-inf")
    #: Milliseconds for which the request's bytes may be unacknowledged.
    max_silent_ms: int = UNACKNOWLEDGED_MS


NO_HOOKS = Hooks()


class HttpClient:
    """Sends requests over connections that are pooled by address."""

    def __init__(self, reactor: Any, connect_seconds: float = CONNECT_SECONDS) -> None:
        self._reactor = reactor
        self._connect_seconds = connect_seconds
        self._idle_by_address: dict[Address, list[Connection]] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._probe_by_address: dict[Address, _ListenProbe] = {}
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

    def _start_connecting(self, address: Address, hooks: Hooks) -> tuple[_ConnectFactory, Any]:
        factory = _ConnectFactory(self._connection_closed, hooks.to_upstream)
        connector = self._reactor.connectTCP(
            address.host, address.port, factory, timeout=self._connect_seconds
        )
        return factory, connector

    def _keep_when_open(self, address: Address, factory: _ConnectFactory, hooks: Hooks) -> None:
        """Keep a connection that is being opened for the next request."""
        self._opening.add(address)

        def keep(connected: asyncio.Future[Connection]) -> None:
            self._opening.discard(address)
            if connected.exception() is not None or not connected.result().is_open:
                return
            hooks.on_connected()
            connection = connected.result()
            connection.mark_unused()
            self._keep_idle(address, connection, hooks.max_idle)

        factory.connected.add_done_callback(keep)

    async def is_refused(self, address: Address) -> bool:
        """Return whether a host refuses connections to an address, as nothing listens there.

        False also if the host does not reply.
        """
        return await self.probe(address) is Listening.REFUSED

    async def probe(self, address: Address) -> Listening:
        """Return how a host responds to a connection to an address.

        Concurrent calls for an address share one probe, since all requests that a crashed engine
        was running ask at the same time.
        """
        probe = self._probe_by_address.get(address)
        if probe is None:
            probe = self._probe_by_address[address] = _ListenProbe()
            probe.result.add_done_callback(lambda _: self._probe_by_address.pop(address))
            self._reactor.connectTCP(address.host, address.port, probe, timeout=PROBE_SECONDS)
        return await asyncio.shield(probe.result)

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
