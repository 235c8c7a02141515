"""Random exchanges with an upstream that sends answers twice, late, cut, mixed, or never."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from fakes._virtual_loop import run_virtually
from pondhatch.requests import (
    AnswerLost,
    AnswerStarted,
    BodySource,
    NotRun,
    ReplayableBody,
    RequestHead,
)
from pondhatch.requests.tests.test_histories import PROFILE
from pondhatch.transport._http_client import HttpClient
from pondhatch.transport._upstreams import HttpUpstreams
from pondhatch.transport.tests._surplus_upstream import (
    SERIAL,
    AnswerPlan,
    Arrival,
    SurplusUpstream,
    Wire,
    Written,
)
from pondhatch.transport.tests.test_surplus_answers import (
    PLATFORM,
    STANDARD,
    TARGET,
    Dialect,
    Rig,
    Sink,
)

#: Seconds to each request's deadline, more than a history lasts.
DEADLINE = 100.0
#: Turns of the loop after which nothing is under way that needs no more bytes.
SETTLED_TURNS = 6
#: What nobody can read as an answer.
GARBAGE = (b"\x00\x01\r\n\r\n", b"ok", b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n")
#: An answer that says more is to come.
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\n\r\n"


@dataclass(frozen=True)
class Begin:
    """A call of ``send``."""

    #: Number of the request's id; None for a request without one. Equal ones are sent again.
    id: int | None
    repeatable: bool
    is_chat: bool
    is_head: bool
    is_streamed: bool
    #: Whether its caller leaves once an answer has begun.
    leaves: bool


@dataclass(frozen=True)
class Copy:
    """A second copy of an earlier answer, which may end early."""

    which: int
    #: Number of bytes, modulo its length; None for all.
    length: int | None


@dataclass(frozen=True)
class Answer:
    """The upstream answers the oldest request that waits on a connection, or goes on with it."""

    wire: int
    plan: AnswerPlan
    #: What it writes before it, in its midst, and after it, each in the same bytes.
    before: tuple[Copy, ...]
    midst: Copy | None
    after: Copy | None
    #: Number of bytes of its own to write, modulo their number; None for all.
    length: int | None
    is_announced: bool
    splits: tuple[int, ...]
    waits: bool


@dataclass(frozen=True)
class Surplus:
    """The upstream writes copies, or what is no answer, to a connection, idle or not."""

    wire: int
    copies: tuple[Copy, ...]
    garbage: int | None
    splits: tuple[int, ...]
    waits: bool


@dataclass(frozen=True)
class End:
    """The upstream ends a connection."""

    wire: int
    is_clean: bool
    waits: bool


@dataclass(frozen=True)
class Leave:
    """The caller of a call leaves."""

    call: int


@dataclass(frozen=True)
class EndBody:
    """The rest of a call's streamed body comes."""

    call: int


@dataclass(frozen=True)
class Pass:
    """Time passes, in seconds; what waits in buffers is read."""

    seconds: float


#: What the calls and the upstream do next.
Step = Begin | Answer | Surplus | End | Leave | EndBody | Pass
Turn = tuple[Step, ...]

NUMBERS = st.integers(0, 400)
#: The newest connection that the step fits, mostly.
PLACES = st.sampled_from((0, 0, 0, 1, 2))
SPLITS = st.lists(NUMBERS, max_size=3).map(tuple)
RARELY = st.integers(0, 11).map(lambda drawn: drawn == 7)
USUALLY = RARELY.map(lambda rare: not rare)
LENGTHS = st.one_of(st.none(), st.none(), st.none(), st.none(), NUMBERS)
COPIES = st.builds(Copy, st.integers(0, 5), LENGTHS)
PLANS = st.builds(
    AnswerPlan,
    status=st.sampled_from((200, 200, 503, 503, 429, 421, 400, 500)),
    framing=st.sampled_from(("length",) * 5 + ("chunked", "stream", "unframed")),
    says_not_run=st.booleans(),
    is_named=USUALLY,
    closes=RARELY,
    has_wrong_body=RARELY,
)
BEGINS = st.builds(
    Begin,
    id=st.one_of(st.integers(0, 3), st.integers(0, 60), st.integers(0, 60), st.none()),
    repeatable=st.booleans(),
    is_chat=st.booleans(),
    is_head=RARELY,
    is_streamed=RARELY,
    leaves=RARELY,
)
ANSWERS = st.builds(
    Answer,
    PLACES,
    PLANS,
    before=st.lists(COPIES, max_size=2).map(tuple),
    midst=st.one_of(*[st.none()] * 7, COPIES),
    after=st.one_of(*[st.none()] * 7, COPIES),
    length=LENGTHS,
    is_announced=RARELY,
    splits=SPLITS,
    waits=RARELY,
)
PLAIN_ANSWERS = st.builds(
    Answer,
    PLACES,
    PLANS,
    before=st.just(()),
    midst=st.none(),
    after=st.none(),
    length=st.none(),
    is_announced=st.just(False),
    splits=SPLITS,
    waits=st.just(False),
)
SURPLUSES = st.builds(
    Surplus,
    PLACES,
    st.lists(COPIES, min_size=1, max_size=2).map(tuple),
    garbage=st.one_of(*[st.none()] * 7, st.integers(0, len(GARBAGE) - 1)),
    splits=SPLITS,
    waits=RARELY,
)
OTHERS = st.one_of(
    st.builds(End, PLACES, st.booleans(), st.booleans()),
    st.builds(Leave, st.integers(0, 9)),
    st.builds(EndBody, st.integers(0, 9)),
    st.builds(Pass, st.sampled_from((0.0, 0.1, 0.6, 4.8))),
)
#: Steps that follow one another. Most connections are used again, and so carry several requests.
TURNS = st.one_of(
    st.tuples(BEGINS, PLAIN_ANSWERS),
    st.tuples(BEGINS, PLAIN_ANSWERS),
    st.tuples(BEGINS, ANSWERS),
    st.tuples(BEGINS, SURPLUSES, PLAIN_ANSWERS),
    st.tuples(BEGINS),
    st.tuples(ANSWERS),
    st.tuples(SURPLUSES),
    st.tuples(OTHERS),
)
TURN_LISTS = st.lists(TURNS, min_size=6, max_size=12)


class StreamedBody:
    """A body of which one half is there and the other comes later; see BodySource."""

    def __init__(self) -> None:
        self.length: int | None = None
        self.rest = asyncio.Event()
        self._parts = [b"half", b"rest"]

    async def read(self) -> bytes:
        if not self._parts:
            return b""
        if len(self._parts) == 1:
            await self.rest.wait()
        return self._parts.pop(0)


class Call:
    """One call of ``send``, and what became of it."""

    def __init__(self, begin: Begin, serial: int) -> None:
        self.begin = begin
        self.serial = serial
        self.body: BodySource = StreamedBody() if begin.is_streamed else ReplayableBody(b"x")
        self.outcome: Any = None
        self.sink = Sink()
        #: Whether its answer was delivered to an end.
        self.is_whole = False
        self.has_left = False
        self.task: asyncio.Task[None]

    async def run(self, upstreams: HttpUpstreams, head: RequestHead) -> None:
        self.outcome = await upstreams.send(TARGET, head, self.body)
        if not isinstance(self.outcome, AnswerStarted):
            return
        if self.begin.leaves:
            self.has_left = True
            self.outcome.answer.cancel()
            return
        try:
            await self.outcome.answer.stream_to(self.sink)
            self.is_whole = True
        except AnswerLost:
            pass


class Play:
    """One history: a router's client, the upstream, and the calls."""

    def __init__(self, dialect: Dialect) -> None:
        self.upstream = SurplusUpstream(dialect)
        self.calls: list[Call] = []
        self._dialect = dialect
        self._client = HttpUpstreams(HttpClient(self.upstream), dialect.upstreams)

    async def run(self, steps: list[Step]) -> list[str]:
        """Play the steps, end every connection, and return what must not be."""
        for step in steps:
            self._play(step)
            await self._settle()
            if isinstance(step, Pass):
                for wire in self.upstream.wires:
                    wire.read_buffer()
                await asyncio.sleep(step.seconds)
        for at, wire in enumerate(self.upstream.wires):
            wire.end(is_clean=at % 2 == 0)
            wire.read_buffer()
        await self._settle()
        found = [f"call {each.serial} hangs" for each in self.calls if not each.task.done()]
        for call in self.calls:
            call.task.cancel()
        await asyncio.gather(*(each.task for each in self.calls), return_exceptions=True)
        for call in self.calls:
            found += self._violations(call)
        return found + self.upstream.violations

    async def _settle(self) -> None:
        for _ in range(SETTLED_TURNS):
            await asyncio.sleep(0)

    def _play(self, step: Step) -> None:
        if isinstance(step, Begin):
            self._begin(step)
        elif isinstance(step, Leave | EndBody):
            if self.calls:
                self._change(self.calls[step.call % len(self.calls)], step)
        elif isinstance(step, Answer | Surplus | End):
            wires = [each for each in reversed(self.upstream.wires) if each.is_open()]
            if isinstance(step, Answer):
                wires = [each for each in wires if each.waiting() is not None]
            if wires:
                self._write(wires[step.wire % len(wires)], step)

    def _begin(self, step: Begin) -> None:
        call = Call(step, len(self.calls))
        self.calls.append(call)
        name = "" if step.id is None else f"id{step.id}"
        self.upstream.id_by_serial[call.serial] = name
        if self._dialect is STANDARD and step.repeatable and not step.is_chat:
            self.upstream.may_be_unnamed.add(call.serial)
        head = RequestHead(
            name,
            "a",
            "s",
            7 if step.is_chat else 0,
            "HEAD" if step.is_head else "POST",
            "/",
            (*self._dialect.headers, (SERIAL, str(call.serial))),
            step.repeatable,
            DEADLINE,
            5,
            caller_id=name,
        )
        call.task = asyncio.ensure_future(call.run(self._client, head))

    def _change(self, call: Call, step: Leave | EndBody) -> None:
        if isinstance(step, Leave):
            call.has_left = True
            call.task.cancel()
        elif isinstance(call.body, StreamedBody):
            call.body.rest.set()

    def _write(self, wire: Wire, step: Answer | Surplus | End) -> None:
        waiting = wire.waiting()
        if isinstance(step, End):
            if waiting is not None:
                waiting.is_troubled = True
            wire.end(step.is_clean, step.waits)
        elif isinstance(step, Surplus):
            copies = self._copies(wire, step.copies)
            if step.garbage is not None:
                copies += GARBAGE[step.garbage]
                self._note_foreign(wire, can_skip=False)
            wire.deliver(copies, step.splits, step.waits)
        elif waiting is not None:
            self._answer(wire, waiting, step)

    def _answer(self, wire: Wire, arrival: Arrival, step: Answer) -> None:
        """Write an answer, or the rest of one, and copies of earlier ones around it."""
        content = self._copies(wire, step.before)
        if arrival.answer is None:
            self.upstream.begin_answer(arrival, step.plan)
        assert arrival.answer is not None
        if step.is_announced and not arrival.written:
            content += INFORMATIONAL
        rest = arrival.answer.content[arrival.written :]
        rest = rest if step.length is None else rest[: step.length % (len(rest) + 1)]
        if step.midst is not None:
            half = len(rest) // 2
            arrival.written += half
            midst = self._copies(wire, (step.midst,))
            content, rest = content + rest[:half] + midst, rest[half:]
        arrival.written += len(rest)
        content += rest
        if step.after is not None:
            content += self._copies(wire, (step.after,))
        wire.deliver(content, step.splits, step.waits)

    def _copies(self, wire: Wire, copies: tuple[Copy, ...]) -> bytes:
        """Return the bytes of second copies of earlier answers, and note what they come amid."""
        earlier = self.upstream.earlier_answers(wire)
        carried = {each.id for each in wire.arrivals}
        content = b""
        for copy in copies if earlier else ():
            answer = earlier[copy.which % len(earlier)]
            # Without its name, another connection's may be taken for that of a first request.
            is_whole = copy.length is None or answer.named not in {"", *carried}
            length = None if is_whole else (copy.length or 0) % len(answer.content)
            part = answer.content[:length]
            if b"\r\n\r\n" not in part:
                # Ends with a line: SplicedHeadTest goes on within one.
                part = part[: part.rfind(b"\r\n") + 2] if b"\r\n" in part else b"HTTP\r\n"
            content += part
            self._note_foreign(wire, can_skip=is_whole and _can_skip(wire, answer))
        return content

    def _note_foreign(self, wire: Wire, can_skip: bool) -> None:
        """Note that bytes come which are not the awaited answer's."""
        for each in wire.arrivals[-1:]:
            each.is_mixed |= each.is_followed()
            each.skippable_count += can_skip
            each.is_troubled |= not can_skip

    def _violations(self, call: Call) -> list[str]:
        """Return what must not have become of a call."""
        arrivals = [each for each in self.upstream.arrivals if each.serial == call.serial]
        runs = self.upstream.runs(call.serial)
        found = []
        if len(arrivals) > 1:
            found.append(f"call {call.serial} was written {len(arrivals)} times")
        if any(each.wire.is_blurred(call.serial) for each in arrivals):
            return found
        if isinstance(call.outcome, NotRun) and runs:
            found.append(f"call {call.serial} was said not to have run: {call.outcome}")
        if not arrivals:
            return found
        if isinstance(call.outcome, AnswerStarted) and not arrivals[0].is_mixed:
            found += _foreign_content(call, arrivals[0])
        if _is_plain(call, arrivals[0]):
            found += _missed(call, arrivals[0])
        return found


def _can_skip(wire: Wire, answer: Written) -> bool:
    """Return whether a second copy of an answer can be told from the awaited one, to its end."""
    carried = {each.id for each in wire.arrivals[:-1]}
    methods = {each.method for each in wire.arrivals}
    return answer.is_skippable and answer.named in carried and "HEAD" not in methods


def _foreign_content(call: Call, arrival: Arrival) -> list[str]:
    """Return what a call was given that is not its own answer's."""
    status, content = call.outcome.answer.status, call.sink.content
    given = f"call {call.serial} was given {status} {content!r}"
    if arrival.answer is None or status != arrival.answer.plan.status:
        return [f"{given}, which nobody answered"]
    own = arrival.answer.body
    is_own = own == content if call.is_whole else own.startswith(content)
    has_end = arrival.answer.plan.framing != "unframed" or arrival.is_answered()
    is_own |= not has_end and own.startswith(content)
    return [] if is_own else [f"{given}, and {own!r} is its own"]


def _is_plain(call: Call, arrival: Arrival) -> bool:
    """Return whether a call's own answer can be told, by all that came on its connection."""
    answer = arrival.answer
    return (
        answer is not None
        and arrival.is_answered()
        and bool(answer.named)
        and not (arrival.is_troubled or arrival.is_mixed)
        and arrival.skippable_count <= 1
        and not answer.plan.has_wrong_body
        and answer.plan.framing != "unframed"
        and not call.has_left
    )


def _missed(call: Call, arrival: Arrival) -> list[str]:
    """Return how a call did not get its own answer, although it can be told."""
    if arrival.is_refused:
        is_right = isinstance(call.outcome, NotRun)
    else:
        is_right = isinstance(call.outcome, AnswerStarted) and call.is_whole
    return [] if is_right else [f"call {call.serial} missed its own answer: {call.outcome}"]


class SurplusFuzzingTest(unittest.TestCase):
    # Guards against an answer, whatever comes and when, that is taken for another request's.
    @settings(PROFILE, max_examples=PROFILE.max_examples // 2)
    @given(st.sampled_from((PLATFORM, STANDARD)), TURN_LISTS)
    def test_no_answer_is_taken_for_anothers(self, dialect: Dialect, turns: list[Turn]) -> None:
        self.assertEqual(run_virtually(Play(dialect).run(_steps(turns))), [])


class SplicedHeadTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a head of two answers that is believed: an earlier request's refusal breaks off
    # in a line, and the request's own answer goes on in it.
    async def test_no_head_of_two_answers_is_believed(self) -> None:
        for dialect in (PLATFORM, STANDARD):
            for status in (b"503 Full", b"421 Misdirected"):
                refusal = dialect.refusal("a", status=status)
                for length in range(len(refusal)):
                    with self.subTest(begins=refusal[:length]):
                        rig = Rig(dialect)
                        await rig.use_connection(refusal, "a")
                        sending = await rig.begin("b")
                        rig.receive(refusal[:length] + dialect.answer(b"200 OK", "b"))
                        outcome = (await rig.answered(sending))[0]
                        self.assertNotIsInstance(outcome, NotRun)


def _steps(turns: list[Turn]) -> list[Step]:
    return [step for turn in turns for step in turn]
