"""Steps for the timeline of a request."""

import contextlib
import io
import json
import re
import tempfile
from pathlib import Path

import msgspec
from behave import given, then, when

from crocusvalve.cli._explain import read_log, read_timeline
from crocusvalve.cli._summarize import RouteSummary, summarize, summarize_lines
from crocusvalve.exceptions import CrocusvalveError

#: Rows of each log file: second of the minute, message, request id and log fields.
LOGS = {
    "one.log": [
        (0, "the store fails", "", {}),
        (1, "upstream i-1: registered", "", {}),
        (2, "upstream i-9: registered", "", {}),
        (6, "request ended: failed", "r1", {"upstream": "i-1", "notes": ["i-1:broken"]}),
        (7, "request ended: answered", "r2", {"upstream": "i-9"}),
    ],
    "two.log": [
        (1, "upstream i-1: registered", "", {}),
        (2, "the store answers again", "", {}),
        (4, "upstream i-1 suspended after outcome broken", "", {"span_s": 0.7}),
    ],
    "old.log": [(9, "upstream i-1: registered long ago", "", {})],
}
#: Minute of the lines of ``old.log``, outside the period before the request's end.
OLD_MINUTE = "2025-12-31T23:58"


@given("logs of two gateways about some requests")
def given_logs(context):
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.paths = []
    for name, lines in LOGS.items():
        path = Path(context.folder.name) / name
        rows = [
            {
                "time": f"{OLD_MINUTE if name == 'old.log' else '2026-01-01T00:00'}:0{second}",
                "message": text,
                "request_id": req,
                "fields": fields,
            }
            for second, text, req, fields in lines
        ]
        noise = ["no log line", "{torn", " 1.5 gateway-1 "]
        path.write_text("\n".join([*noise, *map(json.dumps, rows)]) + "\n")
        context.paths.append(path)


@given("a log that does not exist")
def given_missing(context):
    context.paths = [Path("missing.log")]


@when('the timeline of request "{request_id}" is read')
def when_read(context, request_id):
    context.error = None
    try:
        context.timeline = read_timeline(request_id, context.paths)
    except CrocusvalveError as exc:
        context.error = exc


@then('the timeline contains "{first}", "{second}", "{third}" in this order')
def then_in_order(context, first, second, third):
    messages = [line.message for line in context.timeline]
    positions = [
        next(i for i, message in enumerate(messages) if message.startswith(text))
        for text in (first, second, third)
    ]
    assert positions == sorted(positions), messages


@then('the timeline contains no line of request "{request_id}" and no message with "{text}"')
def then_absent(context, request_id, text):
    assert not any(
        line.request_id == request_id or text in line.message for line in context.timeline
    )


@then('the timeline contains "{message}" once, with a count of 1 other process')
def then_once(context, message):
    found = [line.n_others for line in context.timeline if line.message == message]
    assert found == [1], context.timeline


@then('the error is "{code}"')
def then_error(context, code):
    assert context.error is not None and context.error.code.code == code, context.error


def make_end(second, end, *, attempts, first_ms=None, notes=(), code="", waited_ms=0):
    """Return a log line about the end of a request of the route "dossier"."""
    fields = {
        "elapsed_ms": 900,
        "first_event_ms": first_ms,
        "attempts": attempts,
        "notes": list(notes),
        "code": code,
        "waited_ms": waited_ms,
    }
    message = f"request ended: {end}"
    return {
        "time": f"2026-01-01T00:00:0{second}.000",
        "message": message,
        "class": "dossier",
        "fields": fields,
    }


@given("a log with requests of two routes that ended in several ways")
def given_ends(context):
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    notes = ["small:confidence 12 after 0.31 s", "i-1:no event within 2.50 s"]
    rows = [
        make_end(1, "answered", attempts=3, first_ms=400, notes=notes),
        make_end(2, "answered", attempts=1, first_ms=2000),
        make_end(
            4, "failed", attempts=2, notes=["i-2:no event within 3.10 s"], code="deadline_passed"
        ),
        make_end(6, "refused", attempts=3, code="no_upstream", waited_ms=300),
        {
            "time": "2026-01-01T00:00:07.000",
            "message": "request refused: no route for this path",
            "fields": {"code": "not_found"},
        },
        {"time": "2026-01-01T00:00:08.000", "message": "upstream i-1: registered"},
    ]
    context.log_path = Path(context.folder.name) / "gateway.log"
    context.log_path.write_text("\n".join(map(json.dumps, rows)) + "\n")


@given(
    "a log with late answers: waited {waited:d} ms, small model {small:d} ms, lost attempts "
    "{lost:d} ms, reading {reading:d} ms, queue {queue:d} ms"
)
def given_late(context, waited, small, lost, reading, queue):
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    notes = [f"small:confidence 12 after {small / 1000:.2f} s"]
    rows = []
    for fields in (
        {"waited_ms": waited, "sent_ms": waited, "first_event_ms": waited + 200},
        {"notes": notes, "sent_ms": small, "first_event_ms": small + 100},
        {"sent_ms": lost, "first_event_ms": lost + 100},
        {"expected_ms": reading, "first_event_ms": reading + 100},
        {"expected_ms": 100, "first_event_ms": 100 + queue},
        {"first_event_ms": 400},
    ):
        row = make_end(1, "answered", attempts=1)
        row["fields"] |= {"goal_ms": 500, **fields}
        rows.append(row)
    rows.append(make_end(3, "failed", attempts=1, code="deadline_passed"))
    rows[-1]["fields"]["goal_ms"] = 500
    context.log_path = Path(context.folder.name) / "gateway.log"
    context.log_path.write_text("\n".join(map(json.dumps, rows)) + "\n")


@when("the log is summarized with a plot")
def when_plotted(context):
    plot = Path(context.folder.name) / "causes.png"
    with contextlib.redirect_stdout(io.StringIO()) as output:
        summarize(str(context.log_path), plot=str(plot), json=True)
    assert plot.stat().st_size > 0
    rows = json.loads(output.getvalue())
    context.rows = {row["route"]: msgspec.convert(row, RouteSummary) for row in rows}


@then('route "{route}" has one request each with the causes {causes}')
def then_causes(context, route, causes):
    late = [row for row in context.rows[route].causes if row.late_ms is not None]
    assert {row.cause: row.n_requests for row in late} == dict.fromkeys(
        re.findall(r'"([^"]+)"', causes), 1
    ), late
    assert all(row.late_ms > 0 for row in late), late


@then("one that failed, and none that was answered within its goal")
def then_all_counted(context):
    (row,) = context.rows.values()
    (failed,) = (cause for cause in row.causes if cause.late_ms is None)
    assert (failed.cause, failed.n_requests) == ("failed deadline_passed", 1), failed
    assert sum(cause.n_requests for cause in row.causes) == row.n_requests - 1, row


@when("the log is summarized")
def when_summarized(context):
    context.rows = {row.route: row for row in summarize_lines(read_log(context.log_path))}


@when('the log is summarized from "{since}" until "{until}"')
def when_part_summarized(context, since, until):
    with contextlib.redirect_stdout(io.StringIO()) as output:
        summarize(str(context.log_path), since=since, until=until, json=True)
    rows = json.loads(output.getvalue())
    context.rows = {row["route"]: msgspec.convert(row, RouteSummary) for row in rows}


@then('route "{route}" has {n:d} requests, {attempts:d} attempts and the ends {ends}')
def then_route(context, route, n, attempts, ends):
    row = context.rows[route]
    assert (row.n_requests, row.n_attempts) == (n, attempts), row
    assert row.ends == read_counts(ends), row


@then('route "{route}" has the events {events}')
def then_route_events(context, route, events):
    assert context.rows[route].events == read_counts(events), context.rows[route]


@then('the times to the first event of route "{route}" are {p50:d} ms and {p90:d} ms')
def then_times(context, route, p50, p90):
    assert context.rows[route].first_event_ms == [p50, p90], context.rows[route]


def read_counts(text):
    """Return the counts that a step lists as "name" count, separated by commas."""
    pairs = re.findall(r'"([^"]+)" (\d+)', text)
    return {name: int(count) for name, count in pairs}
