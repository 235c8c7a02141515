"""An HTTP client whose answers have accepted heads, and take bounded shares of the loop.

Twisted's client takes heads for answers that are none, limits each line of a head and not their
number, reads interim responses without end, and parses all that one read of the socket brought in
one turn of the event loop. Here it gets only heads that are accepted as those of upstreams' answers
are, and the answers to all calls share the time of a turn.
"""

from __future__ import annotations

import functools
from typing import Any

from twisted.internet.endpoints import HostnameEndpoint, wrapClientTLS
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.python.failure import Failure
from twisted.web.client import Agent, BrowserLikePolicyForHTTPS, HTTPConnectionPool
from twisted.web.iweb import IAgent, IAgentEndpointFactory
from zope.interface import implementer

from pondhatch.observing import LogThrottle, log_for
from pondhatch.transport import (
    AnswerHead,
    HeadBuffer,
    MalformedHead,
    ReadingShares,
    ReadingTurns,
    may_begin_answer,
)

log = log_for("platform")

#: Seconds between two log lines on answers that are left out; engines are polled often.
REJECT_LOG_SECONDS = 1.0
#: Maximum number of interim responses before an answer.
MAX_INTERIM_RESPONSES = 8
#: Bytes of an answer that are parsed at a time: some hundred small chunks, 0.4 ms.
SLICE_BYTES = 512


class LimitedConnection(ProtocolWrapper):
    """Passes one answer on in slices, once the whole of its head came; else it aborts.

    Requests that it carries are not of method HEAD.
    """

    transport: Any
    wrappedProtocol: Any

    def __init__(self, factory: Any, wrapped: Any, reactor: Any, turns: ReadingTurns) -> None:
        super().__init__(factory, wrapped)
        self._reactor = reactor
        self._shares = ReadingShares(turns, self._pass_on)
        self._heads = HeadBuffer()
        #: The answer's head; None before it is complete.
        self._head: AnswerHead | None = None
        #: Bytes that are to be passed on, the head included.
        self._waiting = bytearray()
        #: How many bytes may still be passed on; None where the head states no length.
        self._left: int | None = None
        self._interim_responses = 0
        self._is_aborted = False
        #: Whether the answer's reader paused.
        self._is_paused = False
        #: Whether nothing is received until what came is passed on.
        self._is_held_back = False
        #: Why the connection was lost while bytes of it still wait.
        self._lost: Failure | None = None

    def dataReceived(self, data: bytes) -> None:
        """Take in bytes; pass none on before a head is complete."""
        if self._is_aborted:
            return
        if self._head is not None:
            self._waiting += data
        else:
            self._heads.add(data)
            self._read_heads()
        if self._head is None:
            return
        self._shares.request()
        if self._shares.is_waiting and not self._is_held_back:
            self._is_held_back = True
            self.transport.pauseProducing()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Report the loss once all bytes that came before it are passed on."""
        if self._waiting and not self._is_aborted:
            self._lost = reason
            self._shares.request()
            return
        self._stop()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def pauseProducing(self) -> None:
        """Pass nothing on; called by the answer's reader."""
        self._is_paused = True
        self._shares.leave()
        self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Go on; called by the answer's reader."""
        self._is_paused = False
        # In a turn of its own: the reader may be what is being passed a slice just now.
        self._reactor.callLater(0, self._shares.request)

    def loseConnection(self) -> None:
        """Close the connection, and drop what waits."""
        self._stop()
        super().loseConnection()  # type: ignore[no-untyped-call]
        self._end_if_lost()

    def abortConnection(self) -> None:
        """Abort the connection, and drop what waits."""
        self._stop()
        self.transport.abortConnection()
        self._end_if_lost()

    def _read_heads(self) -> None:
        """Drop interim responses, and read the answer's head once it is complete."""
        try:
            while (head := self._heads.take_head()) is not None and head.is_interim:
                self._interim_responses += 1
                if self._interim_responses > MAX_INTERIM_RESPONSES:
                    raise MalformedHead(f"more than {MAX_INTERIM_RESPONSES} interim responses")
        except MalformedHead as error:
            self._reject(str(error))
            return
        if head is None:
            return
        self._head = head
        self._waiting += head.content + self._heads.take_rest()
        if head.body_length is not None:
            self._left = len(head.content) + head.body_length

    def _reject(self, reason: str) -> None:
        """Abort the connection, as what it brought is no answer."""
        if _reject_throttle().allows(self._reactor.seconds()):
            log.warning("An answer is left out: {}.", reason)
        self.abortConnection()

    def _pass_on(self) -> bool:
        """Pass a slice on; return whether more is left for this or later turns of the loop."""
        if self._is_paused or self._is_aborted:
            return False
        if self._left is not None:
            # Another answer may follow.
            if not may_begin_answer(self._waiting[self._left :]):
                self._reject("it has more bytes than the length that it states")
                return False
            del self._waiting[self._left :]
            self._left -= min(SLICE_BYTES, len(self._waiting))
        part = bytes(self._waiting[:SLICE_BYTES])
        del self._waiting[:SLICE_BYTES]
        if part:
            self.wrappedProtocol.dataReceived(part)
        if self._is_aborted:
            return False
        if self._waiting:
            return not self._is_paused
        self._is_held_back = False
        if self._lost is not None:
            self._end_if_lost()
        elif not self._is_paused:
            self.transport.resumeProducing()
        return False

    def _stop(self) -> None:
        self._is_aborted = True
        self._waiting.clear()
        self._shares.leave()

    def _end_if_lost(self) -> None:
        lost, self._lost = self._lost, None
        if lost is not None:
            self._stop()
            # In a turn of its own: the reader may be what closes the connection just now.
            self._reactor.callLater(0, super().connectionLost, lost)


@implementer(IStreamClientEndpoint)
class _LimitedEndpoint:
    """Connects by another endpoint."""

    def __init__(self, endpoint: Any, reactor: Any, turns: ReadingTurns) -> None:
        self._endpoint = endpoint
        self._reactor = reactor
        self._turns = turns

    def connect(self, factory: Any) -> Any:
        wrapping: Any = WrappingFactory(factory)
        wrapping.noisy = False
        wrapping.protocol = lambda owner, wrapped: LimitedConnection(
            owner, wrapped, self._reactor, self._turns
        )
        connected = self._endpoint.connect(wrapping)
        return connected.addCallback(lambda connection: connection.wrappedProtocol)


@implementer(IAgentEndpointFactory)
class _LimitedEndpoints:
    def __init__(self, reactor: Any, turns: ReadingTurns) -> None:
        self._reactor = reactor
        self._turns = turns
        self._policy: Any = BrowserLikePolicyForHTTPS()

    def endpointForURI(self, uri: Any) -> _LimitedEndpoint:
        endpoint: Any = HostnameEndpoint(self._reactor, uri.host, uri.port)
        if uri.scheme == b"https":
            endpoint = wrapClientTLS(self._policy.creatorForNetloc(uri.host, uri.port), endpoint)
        return _LimitedEndpoint(endpoint, self._reactor, self._turns)


@functools.cache
def _shared_turns() -> ReadingTurns:
    """Return the turns that the answers to all calls of this process share."""
    return ReadingTurns()


@functools.cache
def _reject_throttle() -> LogThrottle:
    """Return what limits the log lines on answers to all calls of this process."""
    return LogThrottle(REJECT_LOG_SECONDS)


def limited_agent() -> IAgent:
    """Return a client that opens a connection for each call."""
    from twisted.internet import reactor

    installed: Any = reactor
    pool = HTTPConnectionPool(installed, persistent=False)
    agent: IAgent = Agent.usingEndpointFactory(
        installed, _LimitedEndpoints(installed, _shared_turns()), pool
    )
    return agent
