"""Calls to the platform's store, each answered or failed within its time."""

from __future__ import annotations

import asyncio

from pondhatch.requests import Headers, ReplayableBody
from pondhatch.transport._http_client import Address, HttpClient, NotSent
from pondhatch.transport._http_connection import Exchange
from pondhatch.transport._http_heads import Request

#: Seconds for one call; the store answers in milliseconds when it is well.
CALL_SECONDS = 2.0


class CallFailed(Exception):
    """A call got no usable answer."""

    def __init__(self, reason: str, sent: bool) -> None:
        super().__init__(reason)
        #: Whether the store may have done, or may still do, what was asked.
        self.sent = sent


class StoreCalls:
    """Calls to one store; a connection whose call failed is not used again."""

    def __init__(self, client: HttpClient, url: str) -> None:
        #: Calls made, for the rate that the store allows.
        self.made = 0
        self._client = client
        self._address = Address.of_url(url)

    async def call(
        self, method: str, path: str, body: bytes = b"", seconds: float = CALL_SECONDS
    ) -> tuple[int, bytes]:
        """Return an answer's status and body. Raises CallFailed."""
        self.made += 1
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
                return head.status, await _whole(exchange)
        except NotSent as error:
            raise CallFailed(f"cannot reach the platform: {error}", sent=False) from error
        except TimeoutError as error:
            raise CallFailed(f"no answer in {seconds} s", sent=exchange is not None) from error
        except ConnectionError as error:
            raise CallFailed(str(error), sent=True) from error
        finally:
            if exchange is not None:
                exchange.cancel()


async def _whole(exchange: Exchange) -> bytes:
    parts: list[bytes] = []
    while part := await exchange.pipe.read():
        parts.append(part)
    return b"".join(parts)
