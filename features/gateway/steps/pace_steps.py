"""Steps for expected times of answers, slow upstreams and the escalation to larger models."""

import random
from functools import partial

from behave import given, then, when

from crocusvalve.base import DomainId, UpstreamId
from crocusvalve.gateway.base import PrefixPart, ServiceName
from crocusvalve.gateway.decisions._cascade import (
    AnswerEstimate,
    choose_larger_model,
    is_confident_escalation,
)
from crocusvalve.gateway.decisions._escalations import EscalationTable
from crocusvalve.gateway.decisions._pace import PaceTable
from crocusvalve.gateway.decisions._placement import PlacementQuery, choose_upstream
from crocusvalve.gateway.decisions._slowness import record_answer_time
from features.gateway.steps.decision_steps import PlacementSubject

NOW = 1_000.0
SERVICE = ServiceName("llm")
MODELS = ("small", "middle", "large")
QUEUED_TOKENS = 20_000.0
#: Prompt tokens that an upstream processes per second.
TOKENS_PER_S = 60_000.0


def make_estimate(text):
    """Return the estimate that a phrase of the feature file describes."""
    lateness = {"begin and end in time": 0.6, "begin barely in time": 0.8, "begin late": 1.0}
    return AnswerEstimate(lateness=lateness.get(text, 0.6), ends_in_time=text != "end too late")


@given("a route with the models small, middle and large")
def given_route(context):
    context.models = MODELS


@given("the large model's answer would {large} and the middle model's would {middle}")
def given_estimates(context, large, middle):
    context.estimates = {"large": make_estimate(large), "middle": make_estimate(middle)}


@when("the small model answers with a confidence of {confidence:g}")
def when_small_answers(context, confidence):
    context.chosen = choose_larger_model(
        context.models, "small", confidence, 2, estimate=context.estimates.get
    )


@then("its answer is forwarded")
def then_forwarded(context):
    assert context.chosen is None, context.chosen


@then("the {model} model is asked")
def then_asked(context, model):
    assert context.chosen == model, context.chosen


@when(
    "streams of the large model have taken {duration_s:d} s, and a caller opens a stream at {path}"
)
def when_large_is_slow(context, duration_s, path):
    async def act(harness):
        pace = harness.gateway.attempt_manager.pace
        pace.record_stream(SERVICE, "large", 60, float(duration_s), harness.gateway.clock.now())
        fields = {"X_Model": "*", "X_Token_Usage": "300,60", "X_Prefix_Hash": "aa:200,bb:100"}
        await harness.call(path, method="POST", Accept="text/event-stream", **fields)

    context.harness.run(act)


@given(
    "a service whose first events have come {first_s:g} s after {n:d} queued tokens, "
    "{times:d} times"
)
def given_first_events(context, first_s, n, times):
    context.pace = PaceTable()
    for _ in range(times):
        context.pace.record_first_event(SERVICE, "large", float(n), first_s, NOW)


@then(
    "after {age_s:g} s a first event after {n:d} queued tokens is expected "
    "within {low:g} s to {high:g} s"
)
def then_first_event(context, age_s, n, low, high):
    expected_s = context.pace.compute_first_event_s(SERVICE, "large", float(n), NOW + age_s)
    assert low <= expected_s <= high, expected_s


@given(
    "a service whose streams of {n:d} tokens took {small_s:g} s with the model small "
    "and {large_s:g} s with large"
)
def given_streams(context, n, small_s, large_s):
    context.pace = PaceTable()
    for _ in range(3):
        context.pace.record_stream(SERVICE, "small", n, small_s, NOW)
        context.pace.record_stream(SERVICE, "large", n, large_s, NOW)


@then(
    "a stream of {n:d} tokens is expected to take {small_s:g} s with small, "
    "{large_s:g} s with large and {other_s:g} s with another"
)
def then_streams(context, n, small_s, large_s, other_s):
    for model, expected_s in (("small", small_s), ("large", large_s), ("other", other_s)):
        actual_s = context.pace.compute_stream_s(SERVICE, model, n)
        assert abs(actual_s - expected_s) < 0.01, (model, actual_s)


def record_cut_streams(context, n, model, cut_s):
    for _ in range(n):
        context.pace.record_cut_stream(SERVICE, model, 200, cut_s, NOW)
    return context.pace.compute_stream_s(SERVICE, model, 200)


@then(
    "after {n:d} streams with {model} that were cut after {cut_s:g} s "
    "it is expected to take more than {bound_s:g} s"
)
def then_longer(context, n, model, cut_s, bound_s):
    expected_s = record_cut_streams(context, n, model, 2 * cut_s)
    assert expected_s > bound_s, expected_s


@then(
    "after {n:d} streams with {model} that were cut after {cut_s:g} s it is expected to take "
    "{span_s:g} s"
)
def then_unchanged(context, n, model, cut_s, span_s):
    assert abs(record_cut_streams(context, n, model, cut_s) - span_s) < 0.01


def make_query(number, parts):
    """Return the query for a prompt of the large model."""
    return PlacementQuery(
        service=SERVICE,
        domain=DomainId("a"),
        affinity=f"prompt-{number}",
        model="large",
        parts=parts,
        cold_quota=lambda upstream: 1_000,
    )


@when("two gateways place the same {n:d} prompts while the first upstream of each is busy")
def when_two_place(context, n):
    context.n_equal = 0
    n_upstreams = len(context.subject.tables.upstreams)
    for number in range(n):
        query = make_query(number, (PrefixPart(f"part-{number}", 12_000), PrefixPart("own", 3_000)))
        chosen = []
        for seed in (1, 2):
            tables = PlacementSubject(n_upstreams).tables
            first = choose_upstream(tables, query, NOW).upstream
            rng = random.Random(seed * 1000 + number)
            for upstream_id in tables.upstreams:
                # What a gateway knows of the others' work is late, so it differs a little.
                tables.get_load(upstream_id).pending_work = rng.uniform(0.0, 500.0)
            tables.get_load(first.upstream_id).pending_work = 20_000.0
            chosen.append(choose_upstream(tables, query, NOW).upstream.upstream_id)
        context.n_equal += chosen[0] == chosen[1]


@then("they choose the same upstream for at least {n:d} of them")
def then_equal(context, n):
    assert context.n_equal >= n, context.n_equal


class SlowUpstreamLoad:
    """Virtual time: prompts are placed by a gateway, and upstreams process them one by one.

    Parameters
    ----------
    n_upstreams : int
        Number of upstreams; ``slow_id`` takes ``factor`` times as long within ``slow_span``.
    is_learning : bool
        Whether the gateway records the times of answers.
    """

    def __init__(self, n_upstreams, slow_id, factor, slow_span, is_learning=True):
        self.tables = PlacementSubject(n_upstreams).tables
        self.slow_id = slow_id
        self.factor = factor
        self.slow_span = slow_span
        self.is_learning = is_learning
        self.pace = PaceTable()
        self.placed = []
        self.waits = []
        self._free_at = dict.fromkeys(self.tables.upstreams, 0.0)
        self._open = []

    def _compute_work_s(self, upstream_id, work_s, now):
        low, high = self.slow_span
        is_slow = upstream_id == self.slow_id and low <= now < high
        return work_s * (self.factor if is_slow else 1.0)

    def _finish(self, now):
        for item in [item for item in self._open if item[0] <= now]:
            self._open.remove(item)
            ended_at, upstream_id, started_at, tokens, queued = item
            load = self.tables.get_load(upstream_id)
            load.pending_work -= tokens
            load.n_inflight -= 1
            if not self.is_learning:
                continue
            if tokens:
                expected_s = self.pace.compute_first_event_s(SERVICE, "large", queued, ended_at)
                self.pace.record_first_event(
                    SERVICE, "large", queued, ended_at - started_at, ended_at
                )
            else:
                expected_s = self.pace.compute_plain_s(SERVICE) or ended_at - started_at
                self.pace.record_plain_answer(SERVICE, ended_at - started_at, ended_at)
            record_answer_time(load, ended_at - started_at, expected_s, NOW + ended_at)

    def send(self, query, now, tokens, work_s):
        """Place a request, and queue it at the chosen upstream."""
        self._finish(now)
        upstream_id = choose_upstream(self.tables, query, NOW + now).upstream.upstream_id
        load = self.tables.get_load(upstream_id)
        load.pending_work += tokens
        load.n_inflight += 1
        begins_at = max(now, self._free_at[upstream_id]) if tokens else now
        ends_at = begins_at + self._compute_work_s(upstream_id, work_s, begins_at)
        self._free_at[upstream_id] = ends_at
        self._open.append((ends_at, upstream_id, now, tokens, load.pending_work))
        self.placed.append((now, upstream_id))
        self.waits.append((now, ends_at - now))

    def compute_share(self, low, high):
        """Return the share of the slow upstream's requests in a span, relative to a fair share."""
        in_span = [upstream_id for at, upstream_id in self.placed if low <= at < high]
        n_upstreams = len(self.tables.upstreams)
        return in_span.count(self.slow_id) * n_upstreams / len(in_span)

    def compute_p99_s(self, low, high):
        waits = sorted(wait for at, wait in self.waits if low <= at < high)
        return waits[int(0.99 * len(waits))]


def run_prompts(load, span_s, n_per_s, tokens):
    rng = random.Random(9)
    for number, at in enumerate(sorted(rng.uniform(0, span_s) for _ in range(span_s * n_per_s))):
        parts = (PrefixPart(f"part-{number}", tokens),)
        load.send(make_query(number, parts), at, tokens, tokens / TOKENS_PER_S)


@given("{n:d} upstreams, of which {name} takes {x:g} times as long from {low:d} s to {high:d} s")
def given_slow(context, n, name, x, low, high):
    context.loads = [
        SlowUpstreamLoad(n, UpstreamId(name), x, (low, high), is_learning)
        for is_learning in (True, False)
    ]


@when("for {span_s:d} s {n:d} prompts of {tokens:d} tokens arrive per second at one gateway")
def when_prompts(context, span_s, n, tokens):
    for load in context.loads:
        run_prompts(load, span_s, n, tokens)


@then(
    "u2 gets between {low:d} in 100 and {high:d} in 100 of a fair share "
    "from {start:d} s to {end:d} s"
)
def then_share_between(context, low, high, start, end):
    share = context.loads[0].compute_share(start, end)
    assert low / 100 <= share <= high / 100, share


@then("it gets at least {low:d} in 100 of a fair share from {start:d} s to {end:d} s")
def then_share_again(context, low, start, end):
    share = context.loads[0].compute_share(start, end)
    assert low / 100 <= share, share


@then(
    "with it the 99th percentile of the waits from {start:d} s to {end:d} s is shorter than without"
)
def then_shorter(context, start, end):
    with_it, without = (load.compute_p99_s(start, end) for load in context.loads)
    assert with_it < without, (with_it, without)


@given("{n:d} upstreams of a plain service, of which {name} takes {x:g} times as long")
def given_slow_plain(context, n, name, x):
    context.load = SlowUpstreamLoad(n, UpstreamId(name), x, (0, 1_000))


@when("for {span_s:d} s {n:d} plain requests of {work_ms:d} ms arrive per second")
def when_plain(context, span_s, n, work_ms):
    rng = random.Random(9)
    for at in sorted(rng.uniform(0, span_s) for _ in range(span_s * n)):
        query = PlacementQuery(
            service=SERVICE, domain=DomainId("a"), cold_quota=lambda upstream: 1_000
        )
        context.load.send(query, at, 0, work_ms / 1000 * rng.lognormvariate(0.0, 0.5))


@then("u2 gets at most {high:d} in 100 of the requests, and some within each {span_s:d} s")
def then_plain_share(context, high, span_s):
    placed = context.load.placed
    times = [at for at, upstream_id in placed if upstream_id == context.load.slow_id]
    assert 0 < len(times) <= high / 100 * len(placed), times
    gaps = [right - left for left, right in zip(times, times[1:], strict=False)]
    assert max(gaps) <= span_s, gaps


class LargeModelLoad:
    """Virtual time: one queue of requests for the large model, which the small one can't answer.

    Parameters
    ----------
    max_lateness : float or None
        Expected lateness above which a request is not sent to the large model; None for no limit.
    """

    confidence = 10.0

    def __init__(self, n_per_s, goal_s, max_lateness):
        self.service_s = 1.0 / n_per_s
        self.goal_s = goal_s
        self.max_lateness = max_lateness
        self.free_at = 0.0
        self.n_requests = 0
        self.n_in_goal = 0

    def send(self, now, size, estimate_error):
        """Decide on a request of a relative size; the estimated wait is wrong by a factor."""
        wait_s = max(0.0, self.free_at - now) + size * self.service_s
        lateness = wait_s * estimate_error / self.goal_s
        if self.max_lateness is None:
            lateness = 0.0
        chosen = choose_larger_model(
            ("small", "large"),
            "small",
            self.confidence,
            2,
            estimate=lambda model: AnswerEstimate(lateness=lateness, ends_in_time=True),
        )
        self.n_requests += 1
        if chosen == "large":
            self.free_at = now + wait_s
            self.n_in_goal += wait_s <= self.goal_s

    def compute_share(self):
        return self.n_in_goal / self.n_requests


@given(
    "a large model whose upstreams can answer {n:d} requests per second "
    "within a goal of {goal_s:d} s"
)
def given_large_model(context, n, goal_s):
    context.rate = n
    context.loads = [LargeModelLoad(n, float(goal_s), limit) for limit in (0.9, None)]


@when(
    "for {span_s:d} s requests that are too hard for the small model arrive at {load:d} in 100 "
    "of this rate"
)
def when_hard_requests(context, span_s, load):
    for simulated in context.loads:
        rng = random.Random(4)
        n = int(span_s * context.rate * load / 100)
        for at in sorted(rng.uniform(0.0, span_s) for _ in range(n)):
            simulated.send(at, rng.expovariate(1.0), rng.lognormvariate(0.0, 0.3))


@then("at least {share:d} in 100 of the callers get the large model's answer within the goal")
def then_in_goal(context, share):
    actual = context.loads[0].compute_share()
    assert actual >= share / 100, actual


@then("without the limit on lateness fewer than {share:d} in 100 do")
def then_without_limit(context, share):
    actual = context.loads[1].compute_share()
    assert actual < share / 100, actual


@given(
    "the middle model costs {cost:g} of the large one, and {share:d} in 100 of its answers are "
    "confident"
)
def given_middle(context, cost, share):
    middle = AnswerEstimate(0.4, ends_in_time=True, cost=cost, confident_share=share / 100)
    context.estimates = {"middle": middle, "large": AnswerEstimate(0.6, ends_in_time=True)}


@when("the middle model answers with a confidence of {confidence:g}")
def when_middle_answers(context, confidence):
    context.chosen = choose_larger_model(
        context.models, "middle", confidence, 1, estimate=context.estimates.get
    )


@given("a table of escalations")
def given_escalations(context):
    context.escalations = EscalationTable()


@when(
    "{n_poor:d} answers of the middle model after a confidence of {poor:d} weren't confident, and "
    "{n_good:d} after {good:d} were"
)
def when_escalated(context, n_poor, poor, n_good, good):
    for n, confidence, is_confident in ((n_poor, poor, False), (n_good, good, True)):
        for _ in range(n):
            context.escalations.record(
                SERVICE, "middle", confidence, is_confident=is_confident, now=NOW
            )


@then(
    "at most {low:d} in 100 confident answers are expected after {poor:d}, and at least {high:d} "
    "after {good:d}"
)
def then_expected(context, low, poor, high, good):
    get_share = context.escalations.get_confident_share
    assert get_share(SERVICE, "middle", poor, NOW) <= low / 100
    assert get_share(SERVICE, "middle", good, NOW) >= high / 100


@then("{minutes:d} minutes later about as many as if nothing was learned")
def then_forgotten(context, minutes):
    for confidence in (10, 40):
        prior = EscalationTable().get_confident_share(SERVICE, "middle", confidence, NOW)
        later = NOW + 60 * minutes
        learned = context.escalations.get_confident_share(SERVICE, "middle", confidence, later)
        assert abs(learned - prior) < 0.05, (learned, prior)


class CascadeLoad:
    """Virtual time: requests of all difficulties, one queue for the middle and large models.

    Parameters
    ----------
    qualities, costs : dict of str to float
        Largest difficulty that a model answers well, and the cost of an answer, by model.
    """

    goal_s = 3.0
    answer_s = {"middle": 0.07, "large": 0.25}
    noise = 15.0
    points_per_quality = 180.0

    def __init__(self, qualities, costs, models):
        self.qualities, self.costs, self.models = qualities, costs, models
        self.rng = random.Random(8)
        self.escalations = EscalationTable()
        self.free_at = self.cost = 0.0
        self.n_requests = self.n_good = 0

    def run(self, span_s, load, max_difficulty):
        """Let requests arrive, at a load of the largest model by those too hard for the first."""
        hard_share = 1.0 - self.qualities["small"] / max_difficulty
        n = int(span_s * load / hard_share / self.answer_s["large"])
        for at in sorted(self.rng.uniform(0.0, span_s) for _ in range(n)):
            self._answer(at, self.rng.uniform(0.0, max_difficulty), self.rng.expovariate(1.0))

    def _answer(self, at, difficulty, size):
        now, model, smaller = at, "small", None
        self.n_requests += 1
        while True:
            self.cost += size * self.costs[model]
            margin = self.qualities[model] - difficulty
            confidence = 50.0 + self.points_per_quality * margin + self.rng.gauss(0.0, self.noise)
            confidence = min(max(confidence, 0.0), 100.0)
            if smaller is not None:
                is_confident = is_confident_escalation(confidence)
                self.escalations.record(SERVICE, model, smaller, is_confident=is_confident, now=now)
            larger = choose_larger_model(
                self.models,
                model,
                confidence,
                2,
                estimate=partial(self._estimate, confidence, now, now - at, size),
            )
            if larger is None:
                break
            model, smaller = larger, confidence
            self.free_at = max(now, self.free_at) + size * self.answer_s[larger]
            now = self.free_at
        self.n_good += margin >= 0.0 and now - at <= self.goal_s

    def _estimate(self, confidence, now, elapsed_s, size, model):
        own_s = size * self.answer_s[model]
        first_s = max(0.0, self.free_at - now) + own_s
        return AnswerEstimate(
            (elapsed_s + first_s) / self.goal_s,
            ends_in_time=True,
            cost=self.costs[model],
            confident_share=self.escalations.get_confident_share(SERVICE, model, confidence, now),
        )


@given(
    "models of qualities {small:g}, {middle:g} and {large:g}, whose answers cost {cheap:g}, "
    "{medium:g} and {dear:g}"
)
def given_cascades(context, small, middle, large, cheap, medium, dear):
    qualities = {"small": small, "middle": middle, "large": large}
    costs = {"small": cheap, "middle": medium, "large": dear}
    context.cascades = [
        CascadeLoad(qualities, costs, models) for models in (MODELS, ("small", "large"))
    ]


@when(
    "for {span_s:d} s requests of any difficulty up to {difficulty:g} arrive at {load:d} in 100 of "
    "the large model's capacity"
)
def when_cascades(context, span_s, difficulty, load):
    for cascade in context.cascades:
        cascade.run(span_s, load / 100, difficulty)


@then("at least {n:d} in 100 more callers get a good answer in time than without the middle model")
def then_more_good(context, n):
    shares = [cascade.n_good / cascade.n_requests for cascade in context.cascades]
    assert shares[0] >= shares[1] + n / 100, shares


@then("the answers cost less than without the middle model")
def then_cheaper(context):
    costs = [cascade.cost / cascade.n_requests for cascade in context.cascades]
    assert costs[0] < costs[1], costs
