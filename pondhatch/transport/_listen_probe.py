"""Probes whether anything listens at an address."""

from __future__ import annotations

import asyncio
import enum
from typing import Any

from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from pondhatch.transport._connecting import Address

#: Timeout of a listen probe, in seconds. A round trip between data halls takes a tenth of it,
#: and a request may be waiting for the result.
PROBE_SECONDS = 0.3


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


class ListenProbes:
    """Probes addresses; at most one probe of each is under way."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._probe_by_address: dict[Address, _ListenProbe] = {}

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
