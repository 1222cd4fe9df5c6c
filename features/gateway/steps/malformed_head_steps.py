"""Steps for replies of upstreams whose heads are malformed."""

from behave import then, when

from features.gateway.steps.closure_steps import STREAM_FIELDS
from features.support.malformed_heads import MALFORMED_HEADS

#: Statuses that callers get and numbers of runs, by path: safe requests and streams that may be
#: resumed run once more at the other upstream.
ENDS = {"/safe/1": (200, 2), "/unsafe/1": (502, 1), "/stream/1": (200, 2), "/once/1": (502, 1)}


class MalformedHeadSubject:
    """Upstreams of which the first reply to each request has a malformed head."""

    @staticmethod
    def use(harness, edit):
        """Edit the next head of either upstream; the heads after it are sent as they are."""
        edits = [edit]

        def edit_next(head):
            return edits.pop()(head) if edits else head

        for upstream in harness.upstreams.values():
            upstream.edit_head = edit_next

    @staticmethod
    async def call(harness, path):
        """Send a request; return its status and its number of runs."""
        # A suspended upstream would get no requests.
        for load in (
            harness.gateway.tables.get_load(name) for name in harness.gateway.tables.upstreams
        ):
            load.suspended_until = 0.0
        n_before = len(harness.calls)
        fields = STREAM_FIELDS if path in ("/stream/1", "/once/1") else {}
        answer = await harness.call(path, method="GET" if path == "/safe/1" else "POST", **fields)
        return answer.status, len(harness.calls) - n_before


@when("requests of each kind meet a first reply with {fault}")
def when_malformed(context, fault):
    context.ends = {}

    async def act(harness):
        for path in ENDS:
            MalformedHeadSubject.use(harness, MALFORMED_HEADS[fault])
            context.ends[path] = await MalformedHeadSubject.call(harness, path)

    context.harness.run(act)


@then("none gets that reply, and only those that may run again do")
def then_not_passed_on(context):
    assert context.ends == ENDS, context.ends
    for answer in context.harness.answers:
        assert answer.is_complete and "x-odd" not in answer.headers, answer
        assert answer.is_signed == (answer.status == 200), answer
