"""Steps for metrics and logs."""

import io
import json
import logging

import msgspec
import trio
from behave import given, then, when
from prometheus_client import CollectorRegistry

from crocusvalve.base import AttemptState, Revision, UpstreamState
from crocusvalve.config import Document, DocumentView
from crocusvalve.exceptions import ErrorCode
from crocusvalve.metrics import (
    AgentMetrics,
    EntryMetrics,
    bind_log_context,
    render_metrics,
    setup_logging,
)
from crocusvalve.settings import LogFormat, LogLevel
from features.config.document_text import DocumentText

SECRET = "s3cretPromptText"
KEY = f"cv-{SECRET}-0123456789"
LOGGER = logging.getLogger("crocusvalve.test")


class MetricsSubject:
    """Metrics of one kind in a separate registry."""

    def __init__(self, kind):
        self.registry = CollectorRegistry()
        self.metrics = kind(self.registry)
        self.document = DocumentText("trial").parse()

    def apply_document(self, members, revision):
        document = Document("trial", members)
        self.metrics.apply_view(DocumentView(document, Revision(revision)))

    def render(self):
        return render_metrics(self.registry).body.decode()

    def compute_sum(self, name, customer):
        values = [
            sample.value
            for metric in self.registry.collect()
            for sample in metric.samples
            if sample.name == name and sample.labels.get("customer") in (customer, None)
        ]
        return sum(values)


class Body(msgspec.Struct):
    """A message that contains a caller's text."""

    content: str


class LogSubject:
    """A log in memory."""

    def __init__(self, format):
        self.stream = io.StringIO()
        self.redactor = setup_logging(LogLevel.DEBUG, LogFormat(format), self.stream)

    def log(self, content):
        if content == "a registered secret":
            self.redactor.add_secret(SECRET)
        peer = KEY if content == "a peer that is a key" else "peer"
        with bind_log_context(peer=peer):
            LOG_CALLS[content]()


def log_library_error():
    try:
        try:
            json.loads(SECRET)
        except ValueError as exc:
            raise ValueError(f"bad body {SECRET}") from exc
    except ValueError:
        LOGGER.exception("failed")


def log_library_debug():
    logging.getLogger("hpack").debug("header authorization %s", SECRET)
    LOGGER.info("done")


JSON_TEXT = 'sent {"model": "m", "messages": [{"content": "%s"}]}'
LOG_CALLS = {
    "a bearer header": lambda: LOGGER.info("got Authorization: Bearer %s", KEY[3:]),
    "a key as a setting": lambda: LOGGER.info("started with internal_key = '%s'", SECRET),
    "a generated key": lambda: LOGGER.info("caller sent %s", KEY),
    "a demo key": lambda: LOGGER.info("caller sent demo-delta-%s", SECRET.lower()),
    "a registered secret": lambda: LOGGER.info("odd %s", SECRET),
    "the bytes of a body": lambda: LOGGER.info("body %s", SECRET.encode()),
    "a request message": lambda: LOGGER.info("message %r", Body(SECRET)),
    "a dictionary": lambda: LOGGER.info("body %(content)s", {"content": SECRET}),
    "a JSON text": lambda: LOGGER.info(JSON_TEXT, SECRET),
    "a long text": lambda: LOGGER.info("prompt %s", f"Season {SECRET} " * 40),
    "an error of a library": log_library_error,
    "an error as an argument": lambda: LOGGER.warning("failed: %s", ValueError(SECRET)),
    "an object as the message": lambda: LOGGER.warning(Body(SECRET)),
    "a wrong format": lambda: LOGGER.warning("two %s %s", SECRET),
    "a peer that is a key": lambda: LOGGER.warning("refused"),
    "a library's debug line": log_library_debug,
}


@given("an entry's metrics with the trial document at revision {revision:d}")
def given_entry(context, revision):
    context.subject = MetricsSubject(EntryMetrics)
    context.subject.apply_document(context.subject.document.members, revision)


@given("an agent's metrics")
def given_agent(context):
    context.subject = MetricsSubject(AgentMetrics)


@when('{n:d} requests of "{customer}" in class "{name}" take {latency:g} s and cost {cost:g}')
def when_requests(context, n, customer, name, latency, cost):
    metrics = context.subject.metrics
    for _ in range(n):
        metrics.observe_request(customer, name, latency_s=latency, cost=cost)
        metrics.observe_first_token(customer, name, latency_s=latency)


@when("{n:d} requests of unknown customers, classes, upstreams and steps are counted")
def when_unknown(context, n):
    metrics = context.subject.metrics
    for i in range(n):
        metrics.observe_request(f"delta/c{i}", f"class-{i}", latency_s=1, cost=1)
        metrics.count_alarm(f"delta/c{i}", f"class-{i}")
        metrics.set_upstream(f"delta/u{i}", in_flight=1, limit=2)
        metrics.count_violation(f"step-{i}")


@when('the document without member "{member}" is in force at revision {revision:d}')
def when_dropped(context, member, revision):
    members = context.subject.document.members
    context.subject.apply_document({k: v for k, v in members.items() if k != member}, revision)


@when("a refusal, an upstream's load, an outbox of {n:d} and a violation are recorded")
def when_set(context, n):
    metrics = context.subject.metrics
    metrics.count_refusal(ErrorCode.RATE_LIMITED)
    metrics.set_upstream("delta/assess-1", in_flight=4, limit=16)
    metrics.set_outbox(n)
    metrics.count_violation("claim")


@when("the agent records its load and an ended attempt")
def when_agent(context):
    metrics = context.subject.metrics
    metrics.set_load(in_flight=2, limit=8, queued=0, state=UpstreamState.WARM)
    metrics.observe_attempt(AttemptState.DONE, service_s=0.3)


@then('metric "{name}" of "{customer}" is {value:g}')
def then_metric(context, name, customer, value):
    assert abs(context.subject.compute_sum(name, customer) - value) < 1e-9


@then('metric "{name}" is {value:g}')
def then_gauge(context, name, value):
    assert context.subject.compute_sum(name, None) == value


@then("at most {n:d} lines of metrics are rendered")
def then_lines(context, n):
    lines = [ln for ln in context.subject.render().splitlines() if not ln.startswith("#")]
    assert len(lines) <= n, len(lines)


@then('no metric names "{text}"')
def then_no_metric(context, text):
    assert text not in context.subject.render()


@then("the rendered metrics contain")
def then_contain(context):
    lines = context.subject.render().splitlines()
    missing = [row["line"] for row in context.table if f"{row['line']}.0" not in lines]
    assert not missing, missing


@given("a log in {format} format")
def given_log(context, format):
    context.subject = LogSubject(format)


@when("two tasks log concurrently, each in its own context")
def when_tasks(context):
    async def work(name, started, other_started):
        fields = {"request_id": f"req-{name}", "customer": f"delta/{name}", "peer": f"peer-{name}"}
        with bind_log_context(class_name=f"class-{name}", step=f"step-{name}", **fields):
            started.set()
            await other_started.wait()
            LOGGER.info("worked %s", name)

    async def main():
        first, second = trio.Event(), trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(work, "a", first, second)
            nursery.start_soon(work, "b", second, first)

    trio.run(main)


@then("each line contains only its own request, customer, class, step and peer")
def then_context(context):
    lines = context.subject.stream.getvalue().splitlines()
    assert len(lines) == 2
    for line in lines:
        name = "a" if "worked a" in line else "b"
        other = "b" if name == "a" else "a"
        for kind in ("req", "peer", "class", "step"):
            assert f"{kind}-{name}" in line and f"{kind}-{other}" not in line, line
        assert f"delta/{name}" in line


@when("{content} is logged")
def when_logged(context, content):
    context.subject.log(content)


@then('the log is not empty and does not contain "{secret}"')
def then_hidden(context, secret):
    text = context.subject.stream.getvalue()
    assert text and secret.lower() not in text.lower(), text
