"""Steps for the rate of requests that an upstream names to its agent."""

import httpx
import trio
from behave import given, then, when
from fakes import NOW, make_request, make_view

from crocusvalve.agent import HttpUpstream, UpstreamError
from crocusvalve.agent._admission import AdmissionSystem
from crocusvalve.agent._tables import AgentTables
from crocusvalve.base import AttemptId, BootId, DomainId, NodeId, UpstreamKind, UpstreamState
from crocusvalve.exceptions import RefusedError
from crocusvalve.membership import merge_load_report
from crocusvalve.routing import is_full
from crocusvalve.rpc import LoadReport
from features.core_builders import make_tables

SPAN_S = 4.0


class LimitedAgent:
    """Tables of an agent, to which attempts come whose upstream answers at once."""

    def __init__(self, rate_per_s):
        self.rate_per_s = rate_per_s
        view = make_view()
        upstream_id, upstream = next(iter(view.upstreams.items()))
        self.tables = AgentTables(
            node_id=NodeId("agent"),
            upstream_id=upstream_id,
            domain=DomainId(upstream.domain),
            boot_id=BootId("boot"),
        )
        self.tables.apply_view(view)
        self.tables.limiter.set_bounds(1000, 1000)
        self.tables.health.state = UpstreamState.WARM
        self.sent_at = []
        self.refusals = []
        self.now = NOW

    def run(self, per_s, span_s):
        for _ in range(int(per_s * span_s)):
            self.now += 1 / per_s
            self._admit(self.now)

    def _admit(self, now):
        n_attempts = len(self.sent_at) + len(self.refusals)
        req = make_request(attempt_id=AttemptId(f"a{n_attempts}"), deadline=now + 60.0)
        try:
            AdmissionSystem().admit(self.tables, req, now)
        except RefusedError as exc:
            self.refusals.append((now, exc))
            return
        self.sent_at.append(now)
        self.tables.named_limit.record_answer(self.rate_per_s)


@given("an agent whose upstream names the limit {rate:g} in its answers")
def given_agent(context, rate):
    context.agent = LimitedAgent(rate)


@when("{per_s:d} attempts per second come for {span_s:d} s")
def when_attempts(context, per_s, span_s):
    context.agent.run(per_s, span_s)


@then("at most {n:d} of them are sent in any 4 s")
def then_most(context, n):
    times = context.agent.sent_at
    n_most = max(sum(start <= at < start + SPAN_S - 1e-6 for at in times) for start in times)
    assert n_most <= n, n_most


@then("all others are refused as {code}, {ran}, and told when the upstream takes one")
def then_refused(context, code, ran):
    agent = context.agent
    for now, exc in agent.refusals:
        assert (exc.code.name, exc.ran.value) == (code, ran), exc
        last_sent_at = max(at for at in agent.sent_at if at <= now)
        expected_s = last_sent_at + 1 / agent.rate_per_s - now
        assert abs(exc.retry_after_s - expected_s) < 1e-6, (exc.retry_after_s, expected_s)


@when(
    "{per_s:d} attempts per second come for {span_s:d} s, and the upstream's next answer names no "
    "limit"
)
def when_ended(context, per_s, span_s):
    agent = context.agent
    agent.run(per_s, span_s)
    agent.rate_per_s = None
    agent.run(per_s, span_s)
    context.ended_at = next(at for at in agent.sent_at if at > NOW + span_s)


@then("all attempts after it are sent")
def then_all_sent(context):
    assert not [now for now, _ in context.agent.refusals if now > context.ended_at]
    assert sum(at > context.ended_at for at in context.agent.sent_at) >= 5


@given("an upstream of kind {kind} whose answer has status {status:d} and names the limit {value}")
def given_header(context, kind, status, value):
    context.kind = UpstreamKind(kind)
    context.reply = httpx.Response(status, headers={"X-Rate-Limit": value}, content=b"x")


@when("an attempt reaches it")
def when_reaches(context):
    async def handle_data(data):
        assert data

    async def call():
        transport = httpx.MockTransport(lambda request: context.reply)
        async with httpx.AsyncClient(transport=transport) as http:
            upstream = HttpUpstream(
                "http://up", http, traces_sends=False, on_rate=context.agent.record_answer
            )
            req = make_request(upstream_kind=context.kind)
            try:
                await upstream.call(req, on_send=lambda: None, on_data=handle_data)
            except UpstreamError as exc:
                context.error = exc

    context.agent = LimitedAgent(None).tables.named_limit
    trio.run(call)


@then("the agent knows the limit {limit}")
def then_known(context, limit):
    assert str(context.agent.rate_per_s) == limit, context.agent.rate_per_s


@given("an entry and a report that an upstream takes the next attempt in {wait_s:g} s")
def given_report(context, wait_s):
    tables = make_tables()
    context.row = next(iter(tables.upstreams.values()))
    report = LoadReport(
        upstream_id=context.row.upstream_id,
        boot_id=BootId("boot"),
        state=UpstreamState.WARM,
        in_flight=0,
        limit=8,
        queued=0,
        ewma_service_s=0.1,
        revision=tables.view.revision,
        at=NOW,
        wait_s=wait_s,
    )
    assert merge_load_report(tables, report, NOW)


@then("the entry considers the upstream full for {wait_s:g} s and not after")
def then_full(context, wait_s):
    assert is_full(context.row, NOW + wait_s - 0.01)
    assert not is_full(context.row, NOW + wait_s + 0.01)
