"""Steps for upstreams that fall silent within or before an answer, and go on."""

from behave import given, then

from crocusvalve.standin import UpstreamFault, make_event
from features.gateway.steps.closure_steps import RepeatedFault


class FirstThenRepeated(RepeatedFault):
    """Faults of which the first is injected once, and the second into all further answers."""

    def __init__(self, first, repeated):
        super().__init__([repeated])
        self.first = first

    def pop(self, index=-1):
        first, self.first = self.first, None
        return first or super().pop(index)


def set_faults(context, silent, silence_s, fault):
    """Let the first attempt meet a silence, and each further one on either upstream a fault."""
    shared = FirstThenRepeated(silent, UpstreamFault(fault))
    for upstream in context.harness.upstreams.values():
        upstream.faults = shared
        upstream.silence_s = silence_s


@given(
    "the first attempt is silent for {silence_s:g} s within the stream, "
    "and each further one meets {fault}"
)
def given_silent_stream(context, silence_s, fault):
    set_faults(context, UpstreamFault.SILENT, silence_s, fault)


@given(
    "the first attempt is silent for {silence_s:g} s before its answer, "
    "and each further one meets {fault}"
)
def given_silent_start(context, silence_s, fault):
    set_faults(context, UpstreamFault.SILENT_FIRST, silence_s, fault)


@given("the first attempt is sound, and each further one meets {fault}")
def given_sound_first(context, fault):
    set_faults(context, UpstreamFault.NONE, 0.0, fault)


@then("the caller gets events 1 to {last:d} from the model {model}")
def then_events_from_model(context, last, model):
    answer = context.harness.answers[0]
    expected = b"".join(make_event("/stream/1", n) for n in range(1, last + 1))
    assert answer.is_complete and answer.body == expected, answer
    name = answer.headers["x-response-signature"].removeprefix("signed-by-")
    assert context.harness.upstreams[name].calls[0].headers["x-model"] == model
