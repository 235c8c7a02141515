"""Calls to the platform's store, with a timeout and a rate limit."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

import msgspec

from pondhatch.limits import RateLimiter
from pondhatch.requests import Headers, ReplayableBody
from pondhatch.transport._connecting import Address, NotSent
from pondhatch.transport._exchange import Exchange
from pondhatch.transport._http_client import HttpClient
from pondhatch.transport._http_heads import Request

#: Timeout of a call in seconds; a healthy store answers in milliseconds.
CALL_SECONDS = 2.0
#: Maximum bytes of an answer: several times a page of a listing, and a configuration of the largest
#: size that is designed for.
MAX_CONTENT_BYTES = 32 * 1024 * 1024
#: Maximum calls per second of one router; further calls are delayed. A watcher makes one call a
#: second while nothing changes, and one for each separate change. The platform's store accepts
#: 2,000 calls a second from the whole fleet, in which one or two routers of each hall watch.
CALLS_PER_SECOND = 10.0
#: The same for calls that write down what streams began, which have a limit of their own so that
#: they delay no other call: above the rate at which a router writes in the smallest fleet.
RECORD_CALLS_PER_SECOND = 50.0
#: Maximum number of calls in a burst.
BURST_CALLS = 20


class CallFailed(Exception):
    """A call that got no usable answer."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        #: Whether the store may have executed the call, or may still do so.
        self.sent = sent


class StoreAnswer(msgspec.Struct, frozen=True):
    """An answer of the store."""

    status: int
    content: bytes
    #: Values of the headers, by name in lower case.
    value_by_name: Mapping[str, str] = {}


class StoreCalls:
    """Calls to one store; a connection whose call failed is not reused."""

    def __init__(
        self, client: HttpClient, url: str, calls_per_second: float = CALLS_PER_SECOND
    ) -> None:
        #: Number of calls made, to compare with the rate that the store allows.
        self.calls_made = 0
        self._client = client
        self._address = Address.of_url(url)
        self._rate_limiter = RateLimiter(calls_per_second, BURST_CALLS)

    async def call(
        self, method: str, path: str, body: bytes = b"", seconds: float = CALL_SECONDS
    ) -> StoreAnswer:
        """Make a call with a timeout in seconds; return the store's answer. Raises CallFailed.

        The timeout excludes the delay by the rate limit.
        """
        wait = self._rate_limiter.reserve(asyncio.get_running_loop().time())
        if wait > 0:
            await asyncio.sleep(wait)
        self.calls_made += 1
        started_at = asyncio.get_running_loop().time()
        exchange: Exchange | None = None
        headers: Headers = (("Host", f"{self._address.host}:{self._address.port}"),)
        if body:
            headers = (*headers, ("Content-Type", "application/json"))
        try:
            async with asyncio.timeout(seconds):
                request = Request(method, path, headers)
                exchange = await self._client.send(
                    self._address, request, ReplayableBody(body), repeatable=method == "GET"
                )
                head = await exchange.head
                return StoreAnswer(head.status, await _read_content(exchange), head.value_by_name)
        except NotSent as error:
            raise CallFailed(f"cannot reach the platform: {error}", sent=False) from error
        except TimeoutError as error:
            # Other connections may have fallen silent too: without this, each of them would
            # cost another call its whole timeout.
            self._client.close_stale(self._address, started_at)
            raise CallFailed(f"no answer in {seconds} s", sent=exchange is not None) from error
        except ConnectionError as error:
            self._client.close_stale(self._address, started_at)
            raise CallFailed(str(error), sent=True) from error
        finally:
            if exchange is not None:
                exchange.cancel()


async def _read_content(exchange: Exchange) -> bytes:
    """Return an answer's body. Raises ConnectionError if it is too large, or lost."""
    parts: list[bytes] = []
    size = 0
    while part := await exchange.pipe.read():
        parts.append(part)
        size += len(part)
        if size > MAX_CONTENT_BYTES:
            raise ConnectionError(f"an answer of more than {MAX_CONTENT_BYTES} bytes")
    return b"".join(parts)
