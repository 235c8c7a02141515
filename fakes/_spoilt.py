"""An upstream in trouble, whose answers have spoilt heads or frames.

It answers in the dialects of the prepared machines and of the standard interface, and names each
request that it answers, so that nothing but what is spoilt speaks against an answer.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from fakes._raw_upstream import RawHandler, RawRequest, RawUpstream

SIGNATURE = b"i-spoilt"
#: The body that each answer is meant to have, unless another is asked for.
WHOLE_BODY = b"the whole body of this engine"
OK_LINE = b"HTTP/1.1 200 OK"
CHUNKED = b"Transfer-Encoding: chunked"
#: Seconds for which a connection stays open after an answer that does not end it.
LINGER_SECONDS = 5.0


@dataclass(frozen=True)
class RawAnswer:
    """The bytes of an answer: its head beside the lines that name its request, and its body."""

    #: Lines of the head; ``%d`` stands for the length of the whole body.
    lines: tuple[bytes, ...] = ()
    first_line: bytes = OK_LINE
    #: Written in place of the blank line that ends the head.
    head_end: bytes = b"\r\n"
    is_chunked: bool = False
    #: Written after the body; for a chunked one after its last chunk.
    rest: bytes = b""
    #: Whether the connection is closed right after the answer.
    closes: bool = True
    #: Whether nothing of the body is written.
    is_cut: bool = False
    #: Written in place of the body and its chunks, if not empty.
    content: bytes = b""

    def written(self, names: bytes, body: bytes) -> bytes:
        """Return the bytes of the answer to a request."""
        lines = b"".join(line.replace(b"%d", b"%d" % len(body)) + b"\r\n" for line in self.lines)
        head = self.first_line + b"\r\n" + names + lines + self.head_end
        return head if self.is_cut else head + self._framed(body) + self.rest

    def _framed(self, body: bytes) -> bytes:
        if self.content:
            return self.content
        return chunked(body) if self.is_chunked else body


def chunked(body: bytes) -> bytes:
    """Return a body in two chunks and the last one, without the line that ends the trailers."""
    half = len(body) // 2
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:half], body[half:])) + (
        b"0\r\n"
    )


def _lines(*lines: bytes) -> RawAnswer:
    return RawAnswer(lines)


def _first(line: bytes) -> RawAnswer:
    return RawAnswer((b"Content-Length: %d",), first_line=line)


def _chunks(*lines: bytes, rest: bytes = b"\r\n", chunks: bytes = b"") -> RawAnswer:
    return RawAnswer((*lines, CHUNKED), is_chunked=True, rest=rest, content=chunks)


#: By name: where the head tells the length of the body.
LENGTHS: dict[str, RawAnswer] = {
    "length-and-chunks": RawAnswer((b"Content-Length: 5", CHUNKED), is_chunked=True, rest=b"\r\n"),
    "chunks-and-length": RawAnswer((CHUNKED, b"Content-Length: 5"), is_chunked=True, rest=b"\r\n"),
    "chunks-and-longer-length": _chunks(b"Content-Length: 500"),
    "chunks-and-no-number": _chunks(b"Content-Length: five"),
    "chunks-announced-only": _lines(b"Content-Length: %d", CHUNKED),
    "two-lengths": _lines(b"Content-Length: 5", b"Content-Length: %d"),
    "two-lengths-in-a-list": _lines(b"Content-Length: 5, %d"),
    "length-and-empty": _lines(b"Content-Length: %d, "),
    "too-short": _lines(b"Content-Length: 5"),
    "too-short-kept-open": RawAnswer((b"Content-Length: 5",), closes=False),
    "too-short-of-much": RawAnswer((b"Content-Length: 200000",), content=b"x" * 300_000),
    "zero": _lines(b"Content-Length: 0"),
    "too-long": _lines(b"Content-Length: 500"),
    "too-long-of-many-digits": _lines(b"Content-Length: 99999999999999999999999999"),
    "no-number": _lines(b"Content-Length: many"),
    "no-value": _lines(b"Content-Length:"),
    "negative": _lines(b"Content-Length: -5"),
    "plus-sign": _lines(b"Content-Length: +5"),
    "hexadecimal": _lines(b"Content-Length: 0x5"),
    "fraction": _lines(b"Content-Length: 5.0"),
    "underscore": _lines(b"Content-Length: 0_5"),
    "blank-within": _lines(b"Content-Length: 5 0"),
    "control-byte-after": _lines(b"Content-Length: 5\x01"),
    "nul-after": _lines(b"Content-Length: 5\x00"),
    "form-feed-before": _lines(b"Content-Length: \x0c5"),
    "line-feed-within": _lines(b"Content-Length: 5\n0"),
    "carriage-return-within": _lines(b"Content-Length: 5\r0"),
    "continued-value": _lines(b"Content-Length:", b" 5"),
    "continued-digits": _lines(b"Content-Length: 5", b" 0"),
    "continues-another": _lines(b"X-Note: a", b" Content-Length: 5"),
    "continues-another-by-tab": _lines(b"X-Note: a", b"\tContent-Length: %d"),
    "continues-the-status": RawAnswer(first_line=OK_LINE + b"\r\n Content-Length: 5"),
    "unknown-coding": RawAnswer((b"Transfer-Encoding: gzip",)),
    "identity-coding": RawAnswer((b"Transfer-Encoding: identity", b"Content-Length: 5")),
    "spoilt-coding": RawAnswer((b"Transfer-Encoding: chunkex",), is_chunked=True, rest=b"\r\n"),
    "empty-coding": RawAnswer((b"Transfer-Encoding:",), is_chunked=True, rest=b"\r\n"),
    "coding-twice": _chunks(CHUNKED),
    "two-codings": RawAnswer((CHUNKED + b", identity",), is_chunked=True, rest=b"\r\n"),
    "coding-of-old-version": RawAnswer(
        (CHUNKED,), b"HTTP/1.0 200 OK", is_chunked=True, rest=b"\r\n"
    ),
    "chunks-of-no-size": _chunks(chunks=b"5x\r\nhello\r\n0\r\n"),
    "chunks-of-negative-size": _chunks(chunks=b"-5\r\nhello\r\n0\r\n"),
    "chunks-of-signed-size": _chunks(chunks=b"+5\r\nhello\r\n0\r\n"),
    "chunks-too-short": _chunks(chunks=b"2\r\nhello\r\n0\r\n"),
    "chunks-without-last": _chunks(chunks=b"5\r\nhello\r\n", rest=b""),
    "chunks-with-cut-last": _chunks(chunks=b"5\r\nhello\r\n0\r\n", rest=b""),
    "chunks-with-spoilt-trailer": _chunks(rest=b"no field\r\n\r\n"),
    "bytes-after-chunks": _chunks(rest=b"\r\nand more"),
    "no-body-but-bytes": RawAnswer((b"Content-Length: %d",), b"HTTP/1.1 204 No Content"),
}
#: By name: lines that are no fields.
LINES: dict[str, RawAnswer] = {
    name: RawAnswer(lines)
    for name, lines in {
        "no-colon": (b"no field at all", b"Content-Length: 5"),
        "no-colon-last": (b"Content-Length: 5", b"no field at all"),
        "length-without-colon": (b"Content-Length 5",),
        "no-name": (b": 5", b"Content-Length: 5"),
        "only-control-bytes": (b"\x01\x02\x03", b"Content-Length: 5"),
        "only-a-nul": (b"\x00", b"Content-Length: 5"),
        "only-blanks": (b"  ", b"Content-Length: 5"),
        "another-status": (OK_LINE, b"Content-Length: 5"),
        "high-bytes": (b"\xff\xfe\xfd", b"Content-Length: 5"),
    }.items()
}
#: By name: names of fields that are no tokens.
NAMES: dict[str, RawAnswer] = {
    name: RawAnswer((line, b"Content-Length: %d") if b"ength" not in line else (line,))
    for name, line in {
        "blank-in-name": b"X Note: a",
        "blank-before-colon": b"X-Note : a",
        "tab-before-colon": b"X-Note\t: a",
        "control-byte-in-name": b"X-N\x01ote: a",
        "nul-in-name": b"X-N\x00ote: a",
        "delete-in-name": b"X-Note\x7f: a",
        "vertical-tab-in-name": b"X-N\x0bote: a",
        "escape-in-name": b"\x1bX-Note: a",
        "carriage-return-in-name": b"X-N\rote: a",
        "high-byte-in-name": b"X-N\xe9te: a",
        "separator-in-name": b"X(Note): a",
        "blank-before-name": b" X-Note: a",
        "blank-in-length-name": b"Content Length: 5",
        "blank-after-length-name": b"Content-Length : 5",
        "tab-after-length-name": b"Content-Length\t: 5",
        "blank-before-length-name": b" Content-Length: 5",
        "control-byte-in-length-name": b"Content-\x01Length: 5",
        "nul-after-length-name": b"Content-Length\x00: 5",
        "delete-before-length-name": b"\x7fContent-Length: 5",
        "carriage-return-before-length-name": b"\rContent-Length: 5",
        "high-byte-in-length-name": b"Content-L\xc3\xa9ngth: 5",
    }.items()
}
#: By name: values that hold bytes which may be taken for the end of a line or of a text.
VALUES: dict[str, RawAnswer] = {
    name: RawAnswer((line, b"Content-Length: %d"))
    for name, line in {
        "nul-in-value": b"X-Note: a\x00b",
        "vertical-tab-in-value": b"X-Note: a\x0bb",
        "form-feed-in-value": b"X-Note: a\x0cb",
        "carriage-return-in-value": b"X-Note: a\rX-Other: b",
        "carriage-returns-in-value": b"X-Note: a\r\r",
    }.items()
}
#: By name: first lines whose status or version is none.
STATUSES: dict[str, RawAnswer] = {
    "status-000": _first(b"HTTP/1.1 000 OK"),
    "status-000-without-reason": _first(b"HTTP/1.1 000"),
    "status-001": _first(b"HTTP/1.1 001 OK"),
    "status-099": _first(b"HTTP/1.1 099 OK"),
    "status-600": _first(b"HTTP/1.1 600 OK"),
    "status-999": _first(b"HTTP/1.1 999 OK"),
    "status-of-two-digits": _first(b"HTTP/1.1 20 OK"),
    "status-of-four-digits": _first(b"HTTP/1.1 2000 OK"),
    "negative-status": _first(b"HTTP/1.1 -20 OK"),
    "no-status": _first(b"HTTP/1.1 OK"),
    "empty-status": _first(b"HTTP/1.1  200 OK"),
    "spoilt-version": _first(b"HTTP/1.x 200 OK"),
    "unknown-version": _first(b"HTTP/9.9 200 OK"),
    "spoilt-protocol": _first(b"HTTQ/1.1 200 OK"),
    "control-byte-in-reason": _first(b"HTTP/1.1 200 O\x00K"),
    "interim-only": _first(b"HTTP/1.1 100 Continue"),
    "unasked-switch": _first(b"HTTP/1.1 101 Switching Protocols"),
}
#: By name: heads whose connection is closed before they end.
CUT_HEADS: dict[str, RawAnswer] = {
    "cut-in-status": RawAnswer(first_line=b"HTTP/1.1 20", head_end=b"", is_cut=True),
    "cut-after-status": RawAnswer(head_end=b"", is_cut=True),
    "cut-in-length": RawAnswer(head_end=b"Content-Length: 2", is_cut=True),
    "cut-in-name": RawAnswer(head_end=b"Content-Le", is_cut=True),
    "cut-after-length": RawAnswer((b"Content-Length: 0",), head_end=b"", is_cut=True),
    "cut-after-chunks": RawAnswer((CHUNKED,), head_end=b"", is_cut=True),
    "cut-in-blank-line": RawAnswer(head_end=b"\r", is_cut=True),
    "cut-after-event-stream": RawAnswer(
        (b"Content-Type: text/event-stream",), head_end=b"", is_cut=True
    ),
}
#: By name: answers that are not spoilt, however seldom servers send such.
SOUND: dict[str, RawAnswer] = {
    "equal-lengths": _lines(b"Content-Length: %d", b"X-Other: a", b"content-length: %d"),
    "equal-lengths-in-a-list": _lines(b"Content-Length: %d, %d"),
    "length-with-zeros": _lines(b"Content-Length: 000%d"),
    "length-without-blank": _lines(b"Content-Length:%d"),
    "length-between-tabs": _lines(b"Content-Length:\t%d\t"),
    "opaque-bytes": _lines(b"X-Other: caf\xe9 \xff", b"Content-Length: %d"),
    "empty-value": _lines(b"X-Other:", b"Content-Length: %d"),
    "tab-in-value": _lines(b"X-Other: a\tb", b"Content-Length: %d"),
    "control-byte-in-value": _lines(b"X-Other: a\x01b", b"Content-Length: %d"),
    "delete-in-value": _lines(b"X-Other: a\x7fb", b"Content-Length: %d"),
    "escape-in-value": _lines(b"X-Other: \x1b[2J", b"Content-Length: %d"),
    "odd-token": _lines(b"x!#$%&'*+-.^_`|~9: a", b"Content-Length: %d"),
    "no-reason": _first(b"HTTP/1.1 200"),
    "empty-reason": _first(b"HTTP/1.1 200 "),
    "opaque-reason": _first(b"HTTP/1.1 200 g\xfct"),
    "old-version": _first(b"HTTP/1.0 200 OK"),
    "later-minor-version": _first(b"HTTP/1.2 200 OK"),
    "until-close": RawAnswer((b"Connection: close",)),
    "until-close-of-old-version": RawAnswer(first_line=b"HTTP/1.0 200 OK"),
    "interim-before": _first(
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + OK_LINE
    ),
    "interim-with-fields": _first(b"HTTP/1.1 103 Hints\r\nLink: <a>\r\n\r\n" + OK_LINE),
    "chunks-in-capitals": RawAnswer(
        (b"TRANSFER-ENCODING: CHUNKED",), is_chunked=True, rest=b"\r\n"
    ),
    "chunks-with-trailer": _chunks(rest=b"X-Sum: 5\r\n\r\n"),
}
#: The events of a stream with a length, of which only the first is sent.
EVENTS = (b"id: 1\ndata: 1\n\n", b"id: 2\ndata: 2\n\n")
#: By name: streams that are cut after an event.
CUT_STREAMS: dict[str, RawAnswer] = {
    "cut-stream-of-a-length": RawAnswer(
        (
            b"Content-Type: text/event-stream",
            b"Content-Length: %d" % len(b"".join(EVENTS)),
        ),
        content=EVENTS[0],
    ),
}
#: All but sound ones.
SPOILT_BY_NAME = {**LENGTHS, **LINES, **NAMES, **VALUES, **STATUSES, **CUT_HEADS, **CUT_STREAMS}


class SpoiltUpstream(RawUpstream):
    """Answers requests whose path names one of SPOILT_BY_NAME or SOUND so, and others plainly."""

    def __init__(self, host: str, port: int = 0) -> None:
        super().__init__(host, port, _Handler)
        #: Names one of them, by which every request is answered.
        self.always = ""
        #: Returns the body of the answer to a request with a path.
        self.body_of: Callable[[str], bytes] = lambda _: WHOLE_BODY
        #: Such answers that were sent, by name.
        self.sent_by_name: Counter[str] = Counter()


class _Handler(RawHandler):
    signature = SIGNATURE

    def answer(self, request: RawRequest) -> bool:
        upstream: SpoiltUpstream = self.server.upstream
        name = upstream.always or request.path.rpartition("/")[2]
        body = upstream.body_of(request.path)
        answer = SPOILT_BY_NAME.get(name) or SOUND.get(name)
        if answer is None:
            length = b"Content-Length: %d\r\n\r\n" % len(body)
            self.wfile.write(OK_LINE + b"\r\n" + request.names + length + body)
            return True
        upstream.sent_by_name[name] += 1
        self.connection.sendall(answer.written(request.names, body))
        if not answer.closes:
            time.sleep(LINGER_SECONDS)
        return False
