"""Steps about final error codes, late wake-ups, and the demo's document in the package."""

from pathlib import Path

from behave import given, then, when
from setuptools import Distribution
from setuptools.config.pyprojecttoml import apply_configuration

from crocusvalve.base import ExecutionStatus
from crocusvalve.demo import load_example
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.retry import choose_final_code
from crocusvalve.utils import WakeupDelayMonitor


class WheelSubject:
    """Files that the build backend includes in a wheel; features run in the repository's root."""

    @staticmethod
    def list_files():
        dist = Distribution()
        apply_configuration(dist, "pyproject.toml")
        patterns = dist.package_data["crocusvalve.demo"]
        return [
            path.name for pattern in patterns for path in Path("crocusvalve/demo").glob(pattern)
        ]


@when("a request with execution status {ran} is given up with {code}")
def when_given_up(context, ran, code):
    context.reported = choose_final_code(ErrorCode[code], ExecutionStatus(ran))


@then("the reported code is {reported}")
def then_reported(context, reported):
    assert context.reported is ErrorCode[reported]


@given("a peer that was last seen at {at:g} s")
def given_peer(context, at):
    context.monitor = WakeupDelayMonitor()
    context.last_seen_at = at


@when("the process, due to wake up at {due:g} s, wakes up at {woke:g} s")
def when_wakes(context, due, woke):
    context.monitor.record_wakeup(due, woke)


@then("at {now:g} s the peer has been silent for {silence:g} s")
def then_silent(context, now, silence):
    assert context.monitor.compute_silence_s(context.last_seen_at, now) == silence


@when("the list of the files in the package's wheel is built")
def when_built(context):
    context.files = WheelSubject.list_files()


@then("the demo's document is in the list")
def then_in_wheel(context):
    assert "trial.toml" in context.files, context.files


@when("a document that does not exist is loaded for the demo")
def when_missing(context):
    try:
        load_example("missing.toml")
    except CrocusvalveError as exc:
        context.error = exc


@then("the error has a code and names the document")
def then_coded(context):
    assert context.error.code is ErrorCode.NOT_FOUND and "missing.toml" in str(context.error)
