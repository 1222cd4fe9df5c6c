"""Steps for upstreams that answer before they have read the whole request."""

from behave import given, then, when

from crocusvalve.standin import UpstreamFault
from features.gateway.steps.closure_steps import STREAM_FIELDS, RepeatedFault


class EarlyAnswerSubject:
    """Uploads, and the faults of the upstreams that answer them early."""

    @staticmethod
    def set_fault(harness, fault):
        for upstream in harness.upstreams.values():
            upstream.faults = RepeatedFault([fault])

    @staticmethod
    def upload(context, path, n):
        """Send requests with a long body, one after the other."""
        is_stream = path.startswith(("/once", "/stream"))
        fields = STREAM_FIELDS if is_stream else {}

        async def act(harness):
            for _ in range(n):
                # A suspended upstream gets no requests, and so can't show the fault.
                for name in ("one-ops", "two-ops", "one-llm", "two-llm"):
                    harness.gateway.tables.get_load(name).suspended_until = 0.0
                await harness.call(path, method="POST", body=bytes(context.n_bytes), **fields)

        context.harness.run(act)


@given("uploads of {n_bytes:d} bytes are allowed")
def given_uploads(context, n_bytes):
    context.n_bytes = n_bytes
    context.harness.config["limits"]["maxBodyBytes"] = n_bytes


@given("each answer begins early, and is cut by a reset after {delay_s:g} s")
def given_reset(context, delay_s):
    EarlyAnswerSubject.set_fault(context.harness, UpstreamFault.EARLY_RESET)
    for upstream in context.harness.upstreams.values():
        upstream.reset_delay_s = delay_s


@given("each answer begins early, and is whole")
def given_early_end(context):
    EarlyAnswerSubject.set_fault(context.harness, UpstreamFault.EARLY_END)


@when("{n:d} requests for {path} with such an upload are sent, one after the other")
def when_uploaded(context, n, path):
    EarlyAnswerSubject.upload(context, path, n)


@then("each caller gets status {status:d}")
def then_status(context, status):
    assert len(context.harness.calls) >= len(context.harness.answers) > 0, context.harness.calls
    ends = [(answer.status, answer.is_complete) for answer in context.harness.answers]
    assert set(ends) == {(status, True)}, ends


@then("each caller gets status {status:d} or a recognizably incomplete answer")
def then_cut(context, status):
    assert len(context.harness.calls) >= len(context.harness.answers) > 0, context.harness.calls
    ends = [(answer.status, answer.is_complete) for answer in context.harness.answers]
    assert all(end == (status, True) or end == (200, False) for end in ends), ends


@then("each caller gets a whole, signed answer")
def then_whole(context):
    ends = [(answer.status, answer.is_complete) for answer in context.harness.answers]
    assert set(ends) == {(200, True)}, ends
    assert all(answer.is_signed and answer.body for answer in context.harness.answers)
