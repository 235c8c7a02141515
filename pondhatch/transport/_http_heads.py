"""Heads of HTTP/1.1 requests to upstreams and the platform, and of the responses."""

from __future__ import annotations

import h11
import msgspec

from pondhatch.requests import Framing, Headers
from pondhatch.transport._answer_heads import BODILESS_STATUSES, PROTOCOL
from pondhatch.transport._headers import as_bytes, as_text

#: Methods whose requests have no Content-Length if their body is empty.
BODILESS = frozenset({"GET", "HEAD", "DELETE", "OPTIONS"})
#: Header in which proxies name the version of the protocol.
VIA = b"via"


class Request(msgspec.Struct, frozen=True):
    """A request's head as it is sent."""

    method: str
    #: Path and query.
    target: str
    #: All headers except the one that frames the body.
    headers: Headers


class ResponseHead(msgspec.Struct, frozen=True):
    """A response's head."""

    status: int
    #: As received, including those that apply to the connection.
    headers: Headers
    #: The last value of each header, by name in lower case.
    value_by_name: dict[str, str]
    #: Whether the first line of a response stands within its first line or within a header.
    has_inner_status_line: bool = False

    def has_repeated_names(self) -> bool:
        """Return whether several headers have the same name."""
        return len(self.value_by_name) < len(self.headers)

    def framing(self, method: str) -> Framing:
        """Return how the body of this response to a request with a method is delimited."""
        if method == "HEAD" or self.status in BODILESS_STATUSES:
            return Framing.LENGTH
        if "transfer-encoding" in self.value_by_name:
            return Framing.CHUNKED
        return Framing.LENGTH if "content-length" in self.value_by_name else Framing.CLOSE

    def closes_connection(self) -> bool:
        """Return whether the other side closes the connection after this response."""
        options = self.value_by_name.get("connection", "").lower().split(",")
        return "close" in (option.strip() for option in options)

    def stated_idle_seconds(self) -> float | None:
        """Return the seconds for which the other side keeps an idle connection, if stated."""
        stated = self.value_by_name.get("keep-alive", "")
        for field in stated.split(","):
            name, _, value = field.strip().partition("=")
            if name.lower() == "timeout" and value.isascii() and value.isdigit():
                return float(value)
        return None


def framing_header(method: str, length: int | None) -> tuple[str, str] | None:
    """Return the header that frames a request's body, or None if there is no body."""
    if length is None:
        return ("Transfer-Encoding", "chunked")
    if length == 0 and method in BODILESS:
        return None
    return ("Content-Length", str(length))


def request_head(request: Request, length: int | None) -> h11.Request:
    """Return the head of a request with a body of a length, as h11 writes it."""
    framed = framing_header(request.method, length)
    headers = request.headers if framed is None else (*request.headers, framed)
    # As bytes: h11 accepts only ASCII as text, while header values may hold any other byte.
    return h11.Request(method=request.method, target=request.target, headers=as_bytes(headers))


def response_head(event: h11.Response) -> ResponseHead:
    """Return the head of a response that h11 parsed."""
    headers = tuple((as_text(name), as_text(value)) for name, value in event.headers.raw_items())
    by_name = {name.lower(): value for name, value in headers}
    has_inner = PROTOCOL in event.reason or any(
        PROTOCOL in value for name, value in event.headers if name != VIA
    )
    return ResponseHead(event.status_code, headers, by_name, has_inner)
