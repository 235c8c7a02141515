"""Writes the requests of one connection and reads their answers, by h11; performs no I/O."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import h11

from pondhatch.transport._answer_heads import (
    MAX_HEAD_BYTES,
    AnswerHead,
    HeadBuffer,
    MalformedHead,
    may_begin_answer,
)
from pondhatch.transport._connection_broken import ConnectionBroken

#: Headers of the request that only prepares a reader for an answer, and is sent nowhere.
_UNSENT_HEADERS = ((b"Host", b"unsent"),)
#: The method of requests whose answers have no body, whatever length they state.
_HEAD = b"HEAD"


class HttpCodec:
    """The client's side of a connection that carries one exchange at a time."""

    def __init__(self) -> None:
        self._writer = _new_h11()
        #: The same as the writer, but for an exchange of which an answer was skipped: h11 reads one
        #: answer for each request.
        self._reader = self._writer
        self._method: bytes = b""
        #: Bytes from which the reader gets heads only once they are accepted.
        self._heads = HeadBuffer()
        #: The answer's head; None before it came.
        self._head: AnswerHead | None = None
        self._is_closed = False

    def send(self, event: Any) -> bytes:
        """Return the bytes to write for a part of the request."""
        if isinstance(event, h11.Request):
            self._method = event.method
        return self._writer.send(event) or b""

    @property
    def is_sending_body(self) -> bool:
        """Return whether the request's body is not written to its end."""
        return self._writer.our_state is h11.SEND_BODY

    def receive(self, data: bytes) -> None:
        """Add received bytes; b"" stands for the end of the connection."""
        if not data:
            self._is_closed = True
        if self._head is not None:
            self._reader.receive_data(data)
        elif data:
            self._heads.add(data)

    def next_event(self) -> Any:
        """Return the next event of the answer. Raises ConnectionBroken if it is malformed."""
        try:
            if self._head is None:
                self._read_head()
            return self._reader.next_event()
        except (MalformedHead, h11.RemoteProtocolError) as error:
            raise ConnectionBroken(f"no answer in the protocol: {error}") from error

    def _read_head(self) -> None:
        """Pass the next head on to the reader if it is complete, and what follows the last one."""
        head = self._heads.take_head()
        if head is None:
            if self._is_closed:
                raise MalformedHead("the connection was closed before the end of a head")
            return
        self._reader.receive_data(head.content)
        if head.is_interim:
            return
        self._head = head
        if rest := self._heads.take_rest():
            self._reader.receive_data(rest)
        if self._is_closed:
            self._reader.receive_data(b"")

    @property
    def is_complete(self) -> bool:
        """Return whether the request is written and its answer read, and nothing follows it."""
        has_both = self._writer.our_state is h11.DONE and self._reader.their_state is h11.DONE
        return has_both and not self._reader.trailing_data[0]

    @property
    def is_inside_line(self) -> bool:
        """Return whether a line of a head, of a chunk's frame or of trailers came in part.

        What came of a body is never left over once all events are read.
        """
        if self._head is None:
            return bool(self._heads)
        return self._reader.their_state is h11.SEND_BODY and bool(self._reader.trailing_data[0])

    def check_stated_end(self, read_ahead: Callable[[], bytes]) -> None:
        """Raise ConnectionBroken if the answer, which has ended, goes on after its stated length.

        Bytes that begin another answer do not belong to it. Where nothing more was received,
        ``read_ahead`` returns some of the bytes that will be next, if they are known.
        """
        if self._head is None or self._method == _HEAD or self._head.body_length is None:
            return
        if not may_begin_answer(self._reader.trailing_data[0] or read_ahead()):
            raise ConnectionBroken("more bytes than the length that the answer states")

    def skip_answer(self) -> None:
        """Go on to the next answer, after one was read to its end that is not the request's."""
        rest, self._is_closed = self._reader.trailing_data
        self._reader = _new_h11()
        self._reader.send(
            h11.Request(method=self._method, target=b"/", headers=list(_UNSENT_HEADERS))
        )
        self._reader.send(h11.EndOfMessage())
        self._head = None
        self._heads.add(rest)

    def start_next_exchange(self) -> None:
        """Prepare for another request, once the exchange is complete."""
        self._head = None
        if self._reader is self._writer:
            self._writer.start_next_cycle()
        else:
            self._reader = self._writer = _new_h11()


def _new_h11() -> h11.Connection:
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
