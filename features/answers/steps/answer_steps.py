"""Steps for answers: corruption in transit, buffers and resumes."""

from behave import given, then, when
from hypothesis import given as given_random
from hypothesis import settings
from hypothesis import strategies as st
from msgspec.structs import replace

from crocusvalve.answers import AnswerAssembler, AnswerBuffer, AnswerStore
from crocusvalve.base import AttemptId
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.rpc import Final, Frame, Usage

MINE, OTHER = AttemptId("a1"), AttemptId("a2")
PARTS = [b"one ", b"two ", b"three ", b"four"]


class AnswerSubject:
    """Makes the events of attempts and feeds them to an assembler."""

    @staticmethod
    def make_buffer(attempt_id, parts, max_bytes=4096):
        buffer = AnswerBuffer(attempt_id, max_bytes=max_bytes)
        for part in parts:
            buffer.append(part)
        buffer.finish(0.0, usage=Usage(), finish_reason="stop", service_s=1.0)
        return buffer

    @classmethod
    def make_events(cls, attempt_id=MINE, parts=PARTS):
        return cls.make_buffer(attempt_id, parts).read(0)

    @staticmethod
    def assemble(events):
        """Feed events to an assembler; return the result and the accepted data.

        None among the events closes the assembler.
        """
        assembler = AnswerAssembler(MINE)
        text = b""
        try:
            for event in events:
                if event is None:
                    assembler.close()
                    continue
                accepted = assembler.accept(event)
                if isinstance(accepted, Frame):
                    text += accepted.data
        except CrocusvalveError as exc:
            assert exc.code is ErrorCode.ANSWER_DAMAGED
            return "damaged", text
        return ("whole" if assembler.is_complete else "cut"), text


def resume_after_interruption(mine, other):
    assembler = AnswerAssembler(MINE)
    for event in mine[:2]:
        assembler.accept(event)
    return mine[:2] + AnswerSubject.make_buffer(MINE, PARTS).read(assembler.next_seq)


FAULTS = {
    "nothing": lambda mine, other: mine,
    "a frame of another attempt": lambda mine, other: mine[:2] + other[1:3] + mine[2:],
    "the final event of another attempt": lambda mine, other: mine[:2] + other[-1:] + mine[2:],
    "a repeated frame": lambda mine, other: mine[:3] + mine[:3] + mine[3:],
    "a missing frame": lambda mine, other: mine[:1] + mine[2:],
    "two frames swapped": lambda mine, other: [mine[1], mine[0], *mine[2:]],
    "a changed byte": lambda mine, other: [replace(mine[0], data=b"ONE "), *mine[1:]],
    "an interruption before the final event": lambda mine, other: mine[:-1],
    "a missing last frame": lambda mine, other: mine[:3] + mine[4:],
    "a final event with a wrong frame count": lambda mine, other: [
        *mine[:-1],
        replace(mine[-1], n_frames=9),
    ],
    "a second final event": lambda mine, other: [*mine, mine[-1]],
    "a frame after the final event": lambda mine, other: [*mine, Frame(MINE, 4, b"five")],
    "an interruption and a resume": resume_after_interruption,
    "frames after the call is abandoned": lambda mine, other: [*mine[:2], None, *mine[2:]],
}


@given("the events of an attempt in {n:d} frames")
def given_events(context, n):
    context.mine = AnswerSubject.make_events(parts=PARTS[:n])
    context.other = AnswerSubject.make_events(OTHER, [b"x", b"y", b"z", b"w"])


@when("{fault} is injected")
def when_fault(context, fault):
    context.result = AnswerSubject.assemble(FAULTS[fault](context.mine, context.other))


@then("the answer is {result}")
def then_result(context, result):
    actual, text = context.result
    assert actual == result, context.result
    assert actual != "whole" or text == b"".join(PARTS)
    assert b"".join(PARTS).lower().startswith(text.lower()), text


@when("{n:d} random corruptions are applied to the events of attempts")
def when_random(context, n):
    parts = st.lists(st.binary(min_size=1, max_size=8), max_size=6)
    context.n_whole = context.n_detected = 0

    @settings(max_examples=n, derandomize=True, database=None, deadline=None)
    @given_random(mine=parts, other=parts, data=st.data())
    def damage(mine, other, data):
        events = AnswerSubject.make_events(MINE, mine) + AnswerSubject.make_events(OTHER, other)
        order = data.draw(st.lists(st.sampled_from(range(len(events))), max_size=20))
        result, text = AnswerSubject.assemble([events[i] for i in order])
        assert result != "whole" or text == b"".join(mine)
        assert b"".join(mine).startswith(text)
        context.n_whole += result == "whole"
        context.n_detected += result != "whole"

    damage()


@then("each is detected, or the answer is the one that was sent")
def then_detected(context):
    assert context.n_whole and context.n_detected, (context.n_whole, context.n_detected)


@given("a buffer of {size:d} bytes that holds {n:d} frames of {part:d} bytes")
def given_buffer(context, size, n, part):
    context.buffer = AnswerSubject.make_buffer(MINE, [b"x" * part] * n, size)
    assert context.buffer.is_full


@when("a reader has received {n:d} frames")
def when_delivered(context, n):
    context.buffer.mark_delivered(n)


@then(
    "the buffer holds under {size:d} bytes and a resume from frame {seq:d} "
    "returns {n:d} frames and the end"
)
def then_resume(context, size, seq, n):
    events = context.buffer.read(seq)
    assert context.buffer.n_bytes < size and len(events) == n + 1
    assert isinstance(events[-1], Final) and events[0].seq == seq


@then("a resume from frame {seq:d} fails with the code ANSWER_DAMAGED")
def then_resume_refused(context, seq):
    try:
        context.buffer.read(seq)
    except CrocusvalveError as exc:
        assert exc.code is ErrorCode.ANSWER_DAMAGED
    else:
        raise AssertionError("freed frames were read")


@given(
    "a store of {size:d} bytes that holds {n:d} ended answers of {part:d} bytes "
    "and one that is still running"
)
def given_store(context, size, n, part):
    context.store = AnswerStore(max_bytes=size, keep_s=50.0)
    context.store.open(OTHER).append(b"x" * 5)
    for i in range(n):
        buffer = context.store.open(AttemptId(f"e{i}"))
        buffer.append(b"x" * part)
        buffer.finish(float(i), usage=Usage(), finish_reason="stop", service_s=1.0)


@when("it frees expired answers at once and again after {seconds:d} seconds")
def when_expires(context, seconds):
    context.lens = []
    for now in (5.0, 5.0 + seconds):
        context.store.expire(now)
        context.lens.append(len(context.store))


@then(
    "it holds {n:d} ended answers at first and none the second time, " "and the running one remains"
)
def then_n_answers_remain(context, n):
    assert context.lens == [n + 1, 1] and context.store.get(OTHER) is not None
