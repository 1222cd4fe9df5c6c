"""Steps for the simulation of a model engine."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from crocusvalve.base import Priority, VersionRef
from crocusvalve.standin import EngineModel, EngineRunState, VersionSpec

VERSION = VersionRef("delta/assess@v1")
#: Time in which every submitted request finishes, in seconds.
FINISH_S = 1000.0


class ModelSubject:
    """Submits requests to one engine model and advances its time."""

    def __init__(self, starts_warm=True):
        self.model = EngineModel({VERSION: VersionSpec()}, starts_warm=starts_warm, random_state=7)
        self.boot_id = self.model.boot_id
        self.runs = []
        self.now = 1.0

    def submit(self, prompt, priority=Priority.NORMAL, max_tokens=0):
        run_id = f"r{len(self.runs)}"
        run = self.model.submit(
            run_id, VERSION, prompt, self.now, priority=priority, max_tokens=max_tokens
        )
        self.runs.append(run)
        return run

    def finish(self):
        self.now += FINISH_S
        self.model.step(self.now)

    @staticmethod
    def make_prompt(number):
        return " ".join(f"w{number}x{index}" for index in range(100))


@given("an engine that is {state}")
def given_engine(context, state):
    context.subject = ModelSubject(starts_warm=state == "warm")


@when("{n:d} requests arrive at once")
def when_arrive(context, n):
    for index in range(n):
        if context.subject.model.restart_at is None:
            context.subject.submit(f"probe {index}")
    context.n_refused = n - len(context.subject.runs)


@when("it is reset to cold")
def when_reset_to_cold(context):
    context.subject.model.reset_to_cold(context.subject.now)


@when('the text "{text}" is set to crash it')
def when_crash_text(context, text):
    context.subject.model.faults.crash_text = text


@when('a request with the text "{text}" arrives')
def when_text_arrives(context, text):
    context.subject.submit(f"some {text} here")


@then("{n:d} of them are lost and the boot id {change}")
def then_lost(context, n, change):
    subject = context.subject
    subject.finish()
    n_lost = sum(run.state is EngineRunState.LOST for run in subject.runs)
    n_done = sum(run.state is EngineRunState.DONE for run in subject.runs)
    assert n_lost + context.n_refused == n, (n_lost, context.n_refused)
    assert n_done == len(subject.runs) - n_lost
    assert (subject.model.boot_id != subject.boot_id) == (change == "changes")


@then("{n:d} requests together take between {low:g} and {high:g} times as long as one")
def then_duration_ratio(context, n, low, high):
    alone = ModelSubject()
    first = alone.submit("probe")
    alone.finish()
    runs = [context.subject.submit("probe") for _ in range(n)]
    context.subject.finish()
    ratio = (max(run.done_at for run in runs) - 1.0) / (first.done_at - 1.0)
    assert low < ratio < high, ratio


@when("{n:d} different prompts of 100 tokens run")
def when_prompts(context, n):
    for number in range(n):
        context.subject.submit(ModelSubject.make_prompt(number))
        context.subject.finish()
        assert len(context.subject.model.cache) <= context.subject.model.spec.cache_tokens


@then("the cache holds at most {n:d} tokens")
def then_bounded(context, n):
    assert 0 < len(context.subject.model.cache) <= n


def count_cached_tokens(subject, number):
    run = subject.submit(ModelSubject.make_prompt(number))
    subject.finish()
    return run.n_cached


@then("the newest prompt is found in the cache")
def then_newest(context):
    assert count_cached_tokens(context.subject, 499) == 96


@then("the oldest prompt is not found in the cache")
def then_oldest(context):
    assert count_cached_tokens(context.subject, 0) == 0


@when("a batch-priority request and then an urgent request arrive")
def when_priorities(context):
    subject = context.subject
    subject.submit("slow work", Priority.BATCH)
    subject.now += 0.001
    subject.submit("fast work", Priority.URGENT)


@then("the urgent request finishes first")
def then_urgent(context):
    subject = context.subject
    for run in subject.runs[:8]:
        subject.model.cancel(run, subject.now)
    for _ in range(14):
        subject.submit("more work", Priority.NORMAL)
    subject.finish()
    batch, urgent = subject.runs[16], subject.runs[17]
    assert urgent.done_at < batch.done_at, (urgent.done_at, batch.done_at)
    assert urgent.first_token_at < batch.first_token_at


@then("requests finish at the same times for any time steps")
def then_same_finish_times(context):
    @settings(derandomize=True, database=None, max_examples=60, deadline=None)
    @for_all(st.lists(st.floats(0.001, 0.2), min_size=1, max_size=40))
    def check(time_steps):
        at_once, stepped = ModelSubject(), ModelSubject()
        for subject in (at_once, stepped):
            for n_tokens in (5, 40, 17):
                subject.submit("probe level", max_tokens=n_tokens)
        at_once.finish()
        for time_step in time_steps:
            stepped.now += time_step
            stepped.model.step(stepped.now)
        stepped.finish()
        for first, second in zip(at_once.runs, stepped.runs, strict=True):
            assert abs(first.done_at - second.done_at) < 1e-6

    check()
