"""Which heads of answers are accepted, and that each reader takes an accepted one for the same."""

from __future__ import annotations

import http.client
import io
import unittest

import h11
from hypothesis import given, settings
from hypothesis import strategies as st

from pondhatch.transport._answer_heads import (
    MAX_HEAD_BYTES,
    AnswerHead,
    HeadBuffer,
    MalformedHead,
    read_head,
)

OK = b"HTTP/1.1 200 OK"
CHUNKED = b"Transfer-Encoding: chunked"


def head(*lines: bytes, first: bytes = OK) -> bytes:
    """Return a head of lines."""
    return b"".join(each + b"\r\n" for each in (first, *lines, b""))


class FramingTest(unittest.TestCase):
    # Guards against a head that tells one reader one end of the body, and another reader another.
    def assert_malformed(self, *contents: bytes) -> None:
        for content in contents:
            with self.subTest(content), self.assertRaises(MalformedHead):
                read_head(content)

    def test_a_length_beside_chunks_is_malformed(self) -> None:
        length = b"Content-Length: 5"
        self.assert_malformed(head(length, CHUNKED), head(CHUNKED, b"X-A: b", length))

    def test_different_lengths_are_malformed(self) -> None:
        self.assert_malformed(
            head(b"Content-Length: 5", b"content-length: 6"),
            head(b"Content-Length: 5, 6"),
            head(b"Content-Length: 5", b"X-A: b", b"Content-Length: 5, 50"),
        )

    def test_a_length_that_is_no_number_is_malformed(self) -> None:
        values = (b"", b"-5", b"+5", b"0x5", b"5.0", b"5 0", b"1_0", b"5,", b"\xd9\xa5", b"9" * 21)
        self.assert_malformed(*(head(b"Content-Length: " + each) for each in values))

    def test_an_unknown_coding_is_malformed(self) -> None:
        values = (b"", b"gzip", b"identity", b"chunked, chunked", b"gzip, chunked", b"chunked;a=1")
        self.assert_malformed(
            head(CHUNKED, CHUNKED), *(head(b"Transfer-Encoding: " + each) for each in values)
        )

    def test_chunks_or_a_body_where_there_can_be_none_are_malformed(self) -> None:
        no_content = b"HTTP/1.1 204 No Content"
        self.assert_malformed(
            head(CHUNKED, first=b"HTTP/1.0 200 OK"),
            head(CHUNKED, first=no_content),
            head(b"Content-Length: 5", first=no_content),
        )

    def test_a_line_that_begins_with_a_blank_is_malformed(self) -> None:
        for blank in (b" ", b"\t", b"  "):
            self.assert_malformed(
                head(blank + b"Content-Length: 5"),
                head(b"X-A: b", blank + b"Content-Length: 5"),
                head(b"Content-Length:", blank + b"5"),
                head(b"X-A: b", blank),
            )

    def test_a_line_that_is_no_field_is_malformed(self) -> None:
        lines = (b"no field", b": a", b"X A: b", b"X-A : b", b"X\x00: a", b"X\x7f: a", b"X\xe9: a")
        self.assert_malformed(*(head(each, b"X-A: b") for each in lines))

    def test_a_sound_head_is_accepted_as_it_is(self) -> None:
        for content, length in (
            (head(), None),
            (head(b"Content-Length: 5"), 5),
            (head(b"content-LENGTH:5\t"), 5),
            (head(b"Content-Length: 0"), 0),
            (head(CHUNKED), None),
            (head(b"transfer-encoding:Chunked "), None),
            (
                head(b"X-Empty:", b"X-Opaque: caf\xe9\xff", b"X-Tab: a\tb", b"X-!#$%&'*+.^_`|~: :"),
                None,
            ),
            (head(b"X-Content-Length: 6", b"X-A: Content-Length: 7", b"Content-Length: 5"), 5),
            (head(b"Content-Length: 5", first=b"HTTP/1.1 200"), 5),
            (head(b"Content-Length: 5", first=b"HTTP/1.1 200 "), 5),
            (head(b"Content-Length: 5", first=b"HTTP/1.0 404 Not\tfound \xe9"), 5),
            (head(CHUNKED, first=b"HTTP/1.1 304 Not Modified"), None),
            (head(b"Content-Length: 5", first=b"HTTP/1.1 304 Not Modified"), 5),
            (b"HTTP/1.1 200 OK\nContent-Length: 5\n\n", 5),
        ):
            with self.subTest(content):
                accepted = read_head(content)
                self.assertEqual((accepted.content, accepted.length), (content, length))

    def test_equal_lengths_become_one_number(self) -> None:
        one = head(b"X-A: b", b"X-C: d", b"Content-Length: 5")
        for lines in (
            (b"X-A: b", b"Content-Length: 5", b"X-C: d", b"CONTENT-LENGTH: 5"),
            (b"Content-Length: 5, 5", b"X-A: b", b"X-C: d"),
            (b"X-A: b", b"X-C: d", b"Content-Length: 005"),
        ):
            with self.subTest(lines):
                self.assertEqual(read_head(head(*lines)), AnswerHead(200, one, 5))

    def test_an_empty_body_is_not_told_of_where_there_can_be_none(self) -> None:
        first = b"HTTP/1.1 204 No Content"
        accepted = read_head(head(b"Content-Length: 0", b"X-A: b", first=first))
        self.assertEqual(accepted, AnswerHead(204, head(b"X-A: b", first=first), None))


class FirstLineTest(unittest.TestCase):
    def test_other_protocols_are_malformed(self) -> None:
        for line in (
            b"HTTP/2.0 200 OK",
            b"HTTP/0.9 200 OK",
            b"HTTP/1.x 200 OK",
            b"http/1.1 200 OK",
            b"HTTP/1.1  200 OK",
            b"HTTP/1.1 OK",
            b"HTTP/1.1 200OK",
            b"HTTP/1.1 101 Switching Protocols",
        ):
            with self.subTest(line), self.assertRaises(MalformedHead):
                read_head(head(first=line))

    def test_statuses_that_are_none_are_malformed(self) -> None:
        for status in (b"000", b"001", b"099", b"600", b"999", b"20", b"2000", b"-20", b"+20"):
            with self.subTest(status), self.assertRaises(MalformedHead):
                read_head(head(first=b"HTTP/1.1 " + status + b" OK"))

    def test_later_minor_versions_and_all_statuses_are_accepted(self) -> None:
        self.assertEqual(read_head(head(first=b"HTTP/1.9 200 OK")).status, 200)
        for status in (100, 103, 200, 299, 451, 599):
            accepted = read_head(head(first=b"HTTP/1.1 %d Any" % status))
            self.assertEqual((accepted.status, accepted.is_interim), (status, status < 200))


class ValueTest(unittest.TestCase):
    def test_bytes_that_may_end_a_line_or_a_text_are_malformed_in_values_and_reasons(self) -> None:
        for byte in (b"\x00", b"\x0b", b"\x0c", b"\r", b"\r\r"):
            for text in (b"a" + byte + b"b", byte + b"b"):
                for content in (head(b"X-A: " + text), head(first=OK + text)):
                    with self.subTest(content), self.assertRaises(MalformedHead):
                        read_head(content)

    # RFC 9110, 5.5, lets a recipient keep other control bytes, which servers and proxies do send.
    def test_all_other_bytes_are_accepted_as_they_are(self) -> None:
        text = bytes((*range(1, 10), *range(14, 256)))
        content = head(b"X-A: " + text, first=OK + b" " + text)
        self.assertEqual(read_head(content).content, content)

    def test_none_of_them_is_accepted_in_a_length(self) -> None:
        for byte in (*range(1, 9), *range(14, 32), 127, 0x85, 0xA0):
            content = head(b"Content-Length: 5" + bytes((byte,)))
            with self.subTest(content), self.assertRaises(MalformedHead):
                read_head(content)


class HeadBufferTest(unittest.TestCase):
    def test_a_head_is_found_however_its_bytes_arrive(self) -> None:
        interim, final = head(first=b"HTTP/1.1 100 Continue"), head(b"Content-Length: 5")
        content = interim + final + b"hello"
        for size in (1, 2, 3, 7, 1000):
            with self.subTest(size):
                buffer = HeadBuffer()
                found: list[bytes] = []
                for offset in range(0, len(content), size):
                    buffer.add(content[offset : offset + size])
                    while len(found) < 2 and (taken := buffer.take_head()) is not None:
                        found.append(taken.content)
                self.assertEqual(found, [interim, final])
                self.assertEqual(buffer.take_rest(), b"hello")
                self.assertFalse(buffer)

    def test_what_begins_as_no_answer_does_is_malformed_at_once(self) -> None:
        for content in (b"x", b"\r\n", b" HTTP/1.1", b"HTTP/2", b"HTTQ"):
            with self.subTest(content), self.assertRaises(MalformedHead):
                buffer = HeadBuffer()
                buffer.add(content)
                buffer.take_head()

    def test_a_head_without_end_is_malformed(self) -> None:
        buffer = HeadBuffer()
        buffer.add(OK + b"\r\n")
        with self.assertRaises(MalformedHead):
            for _ in range(MAX_HEAD_BYTES // 10):
                buffer.add(b"X-A: bcd\r\n")
                self.assertIsNone(buffer.take_head())


#: Lines of sound heads, and what may be put into them somewhere.
LINES = (
    *(b"Content-Length: 5", b"content-length:50", b"Content-Length: 5, 5", b"Content-Length: 0"),
    *(CHUNKED, b"transfer-encoding:chunked", b"X-A: b", b"X-Empty:", b"X-Note: Content-Length: 7"),
)
SPOILING = (
    *(b" ", b"\t", b"\r\n", b"\n", b"\r", b"\x00", b"\x01", b"\x7f", b"\xe9", b"\r\n ", b"-", b"+"),
    *(b":", b",", b"0", b"\x0b", b"\x0c", b"\x85", b"\x1c", b"\n\n", b"X", OK + b"\r\n"),
)


@st.composite
def spoilt_lines(draw: st.DrawFn) -> list[bytes]:
    """Return lines of a head, some of which hold something that may not be there."""
    lines = draw(st.lists(st.sampled_from(LINES), max_size=3))
    for at in range(len(lines)):
        if draw(st.booleans()):
            place = draw(st.integers(0, len(lines[at])))
            lines[at] = lines[at][:place] + draw(st.sampled_from(SPOILING)) + lines[at][place:]
    return lines


class ReadersAgreeTest(unittest.TestCase):
    # Guards against heads that h11 reads in one way and the callers' readers in another.
    @settings(max_examples=500)
    @given(spoilt_lines())
    def test_an_accepted_head_tells_each_reader_the_same(self, lines: list[bytes]) -> None:
        content = head(*lines)
        buffer = HeadBuffer()
        buffer.add(content)
        try:
            accepted = buffer.take_head()
        except MalformedHead:
            return
        assert accepted is not None
        reader = h11.Connection(h11.CLIENT)
        reader.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
        reader.receive_data(accepted.content)
        answer = reader.next_event()
        assert isinstance(answer, h11.Response)
        by_h11 = [(name.decode(), value.decode("latin-1")) for name, value in answer.headers]
        written = io.BytesIO(accepted.content)
        written.readline()
        lenient = http.client.parse_headers(written).items()
        self.assertEqual([(name.lower(), value.strip(" \t")) for name, value in lenient], by_h11)
        stated = [value for name, value in by_h11 if name == "content-length"]
        self.assertEqual(stated, [] if accepted.length is None else [str(accepted.length)])
        has_coding = any(name == "transfer-encoding" for name, _ in by_h11)
        self.assertFalse(has_coding and stated)
