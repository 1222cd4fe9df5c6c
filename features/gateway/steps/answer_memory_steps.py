"""Steps for the bound on the memory of answers."""

import tracemalloc
from contextlib import ExitStack

import trio
import trio.testing
from behave import given, then, when

from crocusvalve.gateway.upstreams._answer_memory import AnswerMemory
from crocusvalve.standin import UpstreamFault
from features.gateway.steps.endless_steps import EndlessReplySubject


class AnswerMemorySubject:
    """Answers held in a bounded memory, and what happens when one of them grows."""

    def __init__(self, max_bytes):
        self.memory = AnswerMemory(max_bytes)
        self.sizes = []
        self.complete = set()
        self.outcome = None
        self.dropped = []

    def grow(self, number, n_bytes, sent=None):
        """Let an answer grow; optionally, another one has been sent a moment later."""
        trio.run(self._grow, number, n_bytes, sent)

    async def _grow(self, number, n_bytes, sent):
        with ExitStack() as stack:
            answers = [stack.enter_context(self.memory.hold()) for _ in self.sizes]
            for answer, size in zip(answers, self.sizes, strict=True):
                await self.memory.grow(answer, size)
            for index in self.complete:
                answers[index - 1].is_complete = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._grow_one, answers[number - 1], n_bytes)
                await trio.testing.wait_all_tasks_blocked()
                if sent is not None:
                    self.memory.release(answers[sent - 1])
                    await trio.testing.wait_all_tasks_blocked()
                nursery.cancel_scope.cancel()
        self.dropped = [i for i, answer in enumerate(answers, 1) if answer.is_dropped]
        assert self.memory.n_bytes == 0, self.memory.n_bytes

    async def _grow_one(self, answer, n_bytes):
        self.outcome = "waits"
        with answer.scope:
            await self.memory.grow(answer, n_bytes)
            self.outcome = "grows"
        if answer.is_dropped:
            self.outcome = "stops"


def read_numbers(text):
    """Return the numbers of a list, which may be ``none``."""
    return [] if text == "none" else [int(part) for part in text.split(",")]


@given("the first {n:d} attempts meet {fault}")
def given_first_faults(context, n, fault):
    EndlessReplySubject.set_faults(context.harness, *[UpstreamFault(fault).value] * n)


@when("{n:d} callers send GET {path} at once")
def when_many_sent(context, n, path):
    async def act(harness):
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        async with trio.open_nursery() as nursery:
            for _ in range(n):
                nursery.start_soon(harness.call, path)
        context.n_held_bytes = tracemalloc.get_traced_memory()[1] - before
        tracemalloc.stop()

    context.n_callers = n
    context.harness.run(act)


@then("all get whole answers")
def then_all_whole(context):
    answers = context.harness.answers
    assert len(answers) == context.n_callers, len(answers)
    assert all(a.status == 200 and a.is_complete and a.is_signed for a in answers), answers


@then("the process has held at most {limit:d} MB more than before")
def then_held(context, limit):
    assert context.n_held_bytes <= limit * 10**6, context.n_held_bytes


@given("memory for answers of {max_bytes:d} bytes")
def given_memory(context, max_bytes):
    context.subject = AnswerMemorySubject(max_bytes)


@given("answers with {sizes} bytes, of which {complete} are complete")
def given_answers(context, sizes, complete):
    context.subject.sizes = read_numbers(sizes)
    context.subject.complete = set(read_numbers(complete))


@when("answer {number:d} grows by {n_bytes:d} bytes")
def when_grows(context, number, n_bytes):
    context.subject.grow(number, n_bytes)


@when("answer {number:d} grows by {n_bytes:d} bytes and answer {sent:d} is sent")
def when_grows_and_sent(context, number, n_bytes, sent):
    context.subject.grow(number, n_bytes, sent)


@then("it {outcome:w}")
def then_outcome(context, outcome):
    assert context.subject.outcome == outcome, context.subject.outcome


@then("the dropped answers are {numbers}")
def then_dropped(context, numbers):
    assert context.subject.dropped == read_numbers(numbers), context.subject.dropped
