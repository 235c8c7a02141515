"""Accepts or rejects heads of HTTP/1.x answers, before any parser reads them.

Every connection that reads answers passes them through here first. A head that is accepted reads
the same to each parser, and to whomever it is passed on to: each line after the first is one field,
and at most one field tells where the body ends. The rules are those of RFC 9110 and 9112; where
these let a recipient choose between repairing a head and rejecting it, it is rejected, as an
upstream that writes one line wrong may have written others wrong too.
"""

from __future__ import annotations

import re

import msgspec

#: Maximum bytes of an answer's head, and of each interim response before it.
MAX_HEAD_BYTES = 64 * 1024
#: The statuses of answers that have no body, whatever their heads say.
BODILESS_STATUSES = frozenset({204, 304})
#: A status whose answers also say nothing of a body's length.
NO_CONTENT = 204
#: Statuses from here on are no interim responses.
FIRST_FINAL_STATUS = 200
#: An interim status after which the connection speaks another protocol. Nobody here asks for one.
SWITCHING_PROTOCOLS = 101
#: What every answer begins with.
PROTOCOL = b"HTTP/1."

#: Bytes of a value or a reason: all but those that are or may be taken for the end of a line or of
#: a text. Other control bytes occur in practice, and are harmless where a value is only passed on.
_TEXT = rb"[^\x00\n\x0b\x0c\r]*"
_FIRST_LINE = rb"HTTP/1\.(?P<minor>[0-9]) (?P<status>[1-5][0-9]{2})(?: " + _TEXT + rb")?\r?\n"
_FIELD = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:" + _TEXT + rb"\r?\n"
_HEAD = re.compile(_FIRST_LINE + rb"(?:" + _FIELD + rb")*+\r?\n")
_FIRST_LINE_ALONE, _FIELD_ALONE = re.compile(_FIRST_LINE), re.compile(_FIELD)
_HEAD_END = re.compile(rb"\n\r?\n")
#: From the end of the line before to the end of its own, so that what is left are whole lines.
_FRAMING_FIELD = re.compile(
    rb"\n(?P<name>(?i:content-length|transfer-encoding)):(?P<value>[^\r\n]*)\r?(?=\n)"
)
_LENGTH_NAME = b"content-length"
#: May stand around a value.
_BLANKS = b" \t"
#: The empty line that ends a head.
_END = b"\r\n"
#: At most 20 digits, which make a hundred exabytes.
_LENGTH = re.compile(rb"[0-9]{1,20}")
#: Bytes of a malformed line that are quoted.
_QUOTED_BYTES = 80


class MalformedHead(Exception):
    """The head of an answer that may not be used, nor anything that follows it."""


class AnswerHead(msgspec.Struct, frozen=True):
    """A head that is accepted."""

    status: int
    #: Its bytes, with at most one length, whose value is one number.
    content: bytes
    #: The length that it states for the body; None where it states none.
    length: int | None

    @property
    def body_length(self) -> int | None:
        """The length of the body of an answer that is not one to HEAD; None if it is not stated."""
        return 0 if self.status in BODILESS_STATUSES else self.length

    @property
    def is_interim(self) -> bool:
        """Whether another head follows it."""
        return self.status < FIRST_FINAL_STATUS


class HeadBuffer:
    """Collects the bytes of a connection until a head is complete."""

    def __init__(self) -> None:
        self._received = bytearray()
        #: Number of bytes that were searched for the end of a head.
        self._searched = 0

    def __bool__(self) -> bool:
        return bool(self._received)

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self._received += data

    def take_head(self) -> AnswerHead | None:
        """Remove and return the next head, or None while it is not complete.

        Raises MalformedHead for one that is not accepted, too long, or begins as no answer does.
        """
        if not may_begin_answer(self._received):
            raise MalformedHead(f"no answer begins with {bytes(self._received[:_QUOTED_BYTES])!r}")
        # An end that came in part before is at most two bytes long.
        found = _HEAD_END.search(self._received, max(0, self._searched - 2))
        self._searched = 0 if found else len(self._received)
        size = len(self._received) if found is None else found.end()
        if size > MAX_HEAD_BYTES:
            raise MalformedHead(f"a head of more than {MAX_HEAD_BYTES} bytes")
        if found is None:
            return None
        head = bytes(self._received[:size])
        del self._received[:size]
        return read_head(head)

    def take_rest(self) -> bytes:
        """Remove and return all bytes."""
        rest = bytes(self._received)
        self._received.clear()
        self._searched = 0
        return rest


def may_begin_answer(content: bytes | bytearray) -> bool:
    """Return whether the first bytes of an answer may be, or begin with, these."""
    return PROTOCOL.startswith(content[: len(PROTOCOL)])


def read_head(content: bytes) -> AnswerHead:
    """Return a complete head that is accepted. Raises MalformedHead."""
    found = _HEAD.fullmatch(content)
    if found is None:
        raise MalformedHead(_why_malformed(content))
    status = int(found["status"])
    if status == SWITCHING_PROTOCOLS:
        raise MalformedHead("a switch to another protocol that was not asked for")
    fields = [(each["name"].lower(), each["value"]) for each in _FRAMING_FIELD.finditer(content)]
    if not fields:
        return AnswerHead(status, content, None)
    length_values = [value for name, value in fields if name == _LENGTH_NAME]
    codings = [value.strip(_BLANKS) for name, value in fields if name != _LENGTH_NAME]
    length = _single_length(length_values)
    if codings:
        _check_coding(codings, status, found["minor"], has_length=length is not None)
        return AnswerHead(status, content, None)
    if status == NO_CONTENT:
        if length:
            raise MalformedHead(f"a status {status} with a body of {length} bytes")
        return AnswerHead(status, _without_lengths(content) + _END, None)
    if [each.strip(_BLANKS) for each in length_values] != [b"%d" % (length or 0)]:
        content = _without_lengths(content) + b"Content-Length: %d\r\n" % (length or 0)
        return AnswerHead(status, content + _END, length)
    return AnswerHead(status, content, length)


def _single_length(values: list[bytes]) -> int | None:
    """Return the length that all values state; None without any. Raises MalformedHead."""
    if not values:
        return None
    if len(values) == 1 and _LENGTH.fullmatch(plain := values[0].strip(_BLANKS)):
        return int(plain)
    stated = {each.strip(_BLANKS) for value in values for each in value.split(b",")}
    if not all(_LENGTH.fullmatch(each) for each in stated):
        raise MalformedHead(f"a length that is no number: {_quoted(b','.join(values))}")
    lengths = {int(each) for each in stated}
    if len(lengths) > 1:
        raise MalformedHead(f"several lengths: {_quoted(b','.join(values))}")
    return lengths.pop()


def _check_coding(codings: list[bytes], status: int, minor: bytes, has_length: bool) -> None:
    """Raise MalformedHead unless chunks alone delimit the body."""
    if has_length:
        raise MalformedHead("both a length and chunks delimit the body")
    if len(codings) > 1 or codings[0].lower() != b"chunked":
        raise MalformedHead(f"an unknown transfer coding: {_quoted(b','.join(codings))}")
    if minor == b"0" or status == NO_CONTENT:
        raise MalformedHead("chunks in an answer that can have none")


def _without_lengths(content: bytes) -> bytes:
    """Return the lines, but the empty one, of a head whose framing is told by lengths alone."""
    return b"".join(_lines(_FRAMING_FIELD.sub(b"", content)))


def _why_malformed(content: bytes) -> str:
    """Return what is wrong with a head: its first line that is none of those that it may have."""
    first, *lines = _lines(content)
    if _FIRST_LINE_ALONE.fullmatch(first) is None:
        return f"no status line: {_quoted(first)}"
    wrong = next((each for each in lines if _FIELD_ALONE.fullmatch(each) is None), b"")
    return f"a line that is no field: {_quoted(wrong)}"


def _lines(content: bytes) -> list[bytes]:
    """Return the lines of a head with their ends, without the empty one."""
    return [each + b"\n" for each in content.split(b"\n")[:-2]]


def _quoted(line: bytes) -> str:
    return repr(line[:_QUOTED_BYTES])
