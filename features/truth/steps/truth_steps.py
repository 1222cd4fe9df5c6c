"""Steps about what a late process may tell."""

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
    """Files that the build backend would put into a wheel; features run at the root."""

    @staticmethod
    def list_files():
        dist = Distribution()
        apply_configuration(dist, "pyproject.toml")
        patterns = dist.package_data["crocusvalve.demo"]
        return [
            path.name for pattern in patterns for path in Path("crocusvalve/demo").glob(pattern)
        ]


@when("a request that {ran} is given up with {code}")
def when_given_up(context, ran, code):
    context.told = choose_final_code(ErrorCode[code], ExecutionStatus(ran))


@then("its code is {told}")
def then_told(context, told):
    assert context.told is ErrorCode[told]


@given("a peer that was heard at {at:g} s")
def given_peer(context, at):
    context.meter = WakeupDelayMonitor()
    context.last_seen_at = at


@when("the watcher, due at {due:g} s, wakes at {woke:g} s")
def when_wakes(context, due, woke):
    context.meter.record_wakeup(due, woke)


@then("at {now:g} s the peer has been silent for {silence:g} s")
def then_silent(context, now, silence):
    assert context.meter.compute_silence_s(context.last_seen_at, now) == silence


@when("the package is built as a wheel's list of files")
def when_built(context):
    context.files = WheelSubject.list_files()


@then("the demo's document is in it")
def then_in_wheel(context):
    assert "trial.toml" in context.files, context.files


@when("a document that does not exist is loaded for the demo")
def when_missing(context):
    try:
        load_example("missing.toml")
    except CrocusvalveError as exc:
        context.error = exc


@then("the error is coded and names the document")
def then_coded(context):
    assert context.error.code is ErrorCode.NOT_FOUND and "missing.toml" in str(context.error)
