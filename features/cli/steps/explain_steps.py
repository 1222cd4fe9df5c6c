"""Steps for the timeline of a request."""

import json
import tempfile
from pathlib import Path

from behave import given, then, when

from crocusvalve.cli._explain import read_timeline
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
