"""Steps for the command line."""

import io
import json
import os
import shlex
import signal
import subprocess
import sys
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from unittest import mock

from behave import given, then, when
from quart_trio import QuartTrio

from crocusvalve.admin import make_admin_blueprint
from crocusvalve.cli import ExitCode, main
from features.admin.memory_backend import MemoryAdminBackend
from features.config.document_text import DocumentText
from features.served import ServedApp

ROOT = Path(__file__).resolve().parents[3]
TIMEOUT_S = 60
KEYS = {
    "delta": "demo-delta-operator-water-desk",
    "sfax": "demo-sfax-operator-control-room",
    "nobody": "unknown",
}
ROLE_SCRIPT = """
import trio
from crocusvalve.utils import run_until_signal

async def role(*, stop):
    print("running", flush=True)
    await stop.wait()
    print("drained", flush=True)

trio.run(run_until_signal, role)
"""


class AdminServer(ServedApp):
    """Server of the operators' API over an example document, held in memory."""

    def __init__(self, environment):
        self.backend = MemoryAdminBackend(DocumentText(environment).parse())
        app = QuartTrio("admin")
        app.register_blueprint(make_admin_blueprint(self.backend))
        super().__init__(app)


class CliSubject:
    """Runs commands in this process and captures their exit code and output."""

    def __init__(self):
        self.trial, self.production = AdminServer("trial"), AdminServer("production")
        self.tmp = tempfile.TemporaryDirectory()

    def close(self):
        self.trial.close()
        self.production.close()
        self.tmp.cleanup()

    def run(self, command, member):
        variables = {
            "CROCUSVALVE_ADMIN_URL": self.trial.url,
            "CROCUSVALVE_ADMIN_KEY": KEYS[member],
            "CROCUSVALVE_TARGET_URL": self.production.url,
            "CROCUSVALVE_TARGET_KEY": KEYS[member],
        }
        self.command, self.member = command, member
        out, err = io.StringIO(), io.StringIO()
        with mock.patch.dict(os.environ, variables), redirect_stdout(out), redirect_stderr(err):
            self.exit = main(shlex.split(command))
        self.out, self.err = out.getvalue(), err.getvalue()

    def apply_edited(self, name, old, new, options=""):
        path = Path(self.tmp.name) / name
        edited = path.with_suffix(".edited")
        edited.write_text(path.read_text().replace(old, new, 1))
        assert edited.read_text() != path.read_text()
        self.run(f"config apply {edited} {options}", "delta")


@given("an entry of the trial environment and one of production")
def given_entries(context):
    context.subject = CliSubject()
    context.add_cleanup(context.subject.close)


@given("the store is {state}")
def given_store(context, state):
    context.subject.trial.backend.is_store_up = state == "up"


@when('"{command}" is run by "{member}"')
def when_run(context, command, member):
    context.subject.run(command, member)


@then('it exits with {code} and prints "{text}"')
def then_prints(context, code, text):
    subject = context.subject
    assert subject.exit == ExitCode[code], (subject.exit, subject.err)
    assert text in subject.out, subject.out


@then('it exits with {code} and the error text contains "{text}"')
def then_reports(context, code, text):
    subject = context.subject
    assert subject.exit == ExitCode[code], (subject.exit, subject.out, subject.err)
    assert text in subject.err and not subject.out, (subject.out, subject.err)


@then("it exits with USAGE")
def then_usage(context):
    assert context.subject.exit == ExitCode.USAGE


@then('with --json it prints a JSON document with "{key}"')
def then_json(context, key):
    subject = context.subject
    before = subject.exit
    subject.run(f"{subject.command} --json", subject.member)
    result = json.loads(subject.out)
    assert key in (result[0] if isinstance(result, list) else result), result
    assert subject.exit == before


@given('the output of "{command}" for "{member}" is saved to two files')
def given_files(context, command, member):
    subject = context.subject
    subject.run(command, member)
    for name in ("first", "second"):
        (Path(subject.tmp.name) / name).write_text(subject.out)


@when('"{member}" changes its section in the meantime')
def when_meanwhile(context, member):
    context.subject.run("rollout start log-small v2 --stages 0.5", member)
    assert context.subject.exit == ExitCode.OK


@when("the {name} file is applied with another weight")
def when_weight_changed(context, name):
    context.subject.apply_edited(name, "weight = 4.0", f"weight = 4.{len(name)}")


@when("the {name} file is applied with a failure domain taken out of service")
def when_domain_out(context, name, options=""):
    old = "[members.delta.domains.can-tho]\n"
    context.subject.apply_edited(name, old, f'{old}state = "out"\n', options)


@when("the {name} file is applied with a failure domain taken out of service and --yes")
def when_domain_out_confirmed(context, name):
    when_domain_out(context, name, "--yes")


@when('the section of "{member}" is promoted with {option}')
def when_promoted(context, member, option):
    context.subject.run(f"config promote {option}", member)


@then('only the section of "{member}" has changed in production')
def then_only_section(context, member):
    old, new = context.subject.production.backend.documents
    assert new.environment == "production"
    assert [name for name in old.members if old.members[name] != new.members[name]] == [member]


@given("a process that runs a role until it gets a signal")
def given_process(context):
    context.process = subprocess.Popen(
        [sys.executable, "-c", ROLE_SCRIPT], cwd=ROOT, stdout=subprocess.PIPE, text=True
    )
    context.add_cleanup(context.process.kill)
    assert context.process.stdout.readline() == "running\n"


@when("it gets {name}")
def when_signal(context, name):
    context.process.send_signal(signal.Signals[name])


@then("the role drains and the process exits 0")
def then_drains(context):
    out, _ = context.process.communicate(timeout=TIMEOUT_S)
    assert out == "drained\n" and context.process.returncode == 0
