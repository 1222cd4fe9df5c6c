"""Steps for replies that are no answer of the upstream to the request."""

from behave import then, when

from features.gateway.gateway_harness import ATTEMPT_ID
from features.gateway.steps.gateway_steps import REQUEST_FIELDS

#: Part of the body of every invalid reply of the stand-in.
INVALID_BYTES = b"wrong bytes"


@when("a request without an id arrives")
def when_without_id(context):
    fields = REQUEST_FIELDS.replace(f"X-Attempt-Id: {ATTEMPT_ID}\r\n", "")
    data = f"GET /safe/1 HTTP/1.1\r\n{fields}\r\n".encode()
    context.harness.run(lambda harness: harness.send(data))


@when("{n:d} requests for {path} are sent with POST, one after the other")
def when_sends_repeatedly(context, path, n):
    async def act(harness):
        for _ in range(n):
            await harness.call(path, method="POST", body=b"order")

    context.harness.run(act)


@then("no byte of the invalid reply reached the caller")
def then_no_invalid_bytes(context):
    answer = context.harness.answers[0]
    assert INVALID_BYTES not in answer.body, answer
    assert answer.status != 200 or "x-response-signature" in answer.headers, answer


@then("no upstream is closed for new requests")
def then_no_closure(context):
    tables, now = context.harness.gateway.tables, context.harness.gateway.clock.now()
    assert all(tables.closures.get_reopens_at(row) <= now for row in tables.upstreams.values())


@then("no caller got a success")
def then_no_success(context):
    statuses = {answer.status for answer in context.harness.answers}
    assert 200 not in statuses and context.harness.answers, statuses


@then("both upstreams have been left out")
def then_left_out(context):
    loads = [
        context.harness.gateway.tables.get_load(upstream_id)
        for upstream_id in ("one-ops", "two-ops")
    ]
    assert all(load.suspended_until > 0.0 for load in loads), loads
