"""Steps about settings of processes."""

import tempfile
from pathlib import Path

from behave import given, then, when

from crocusvalve.exceptions import SettingsError
from crocusvalve.settings import AgentSettings, EntrySettings, PlatformSettings, load_settings

KEY = "0123456789abcdef-internal"
KINDS = {"entry": EntrySettings, "agent": AgentSettings, "platform": PlatformSettings}
GOOD = {
    "entry": {
        "node_id": '"entry-1"',
        "region": '"delta-south"',
        "domain": '"delta/can-tho"',
        "http.port": "8080",
        "platform.url": '"http://127.0.0.1:9000"',
        "internal_key": f'"{KEY}"',
        "session_key_file": '"{tmp}/session.key"',
    },
    "agent": {
        "node_id": '"agent-1"',
        "upstream_id": '"delta/assess-1"',
        "upstream_url": '"http://127.0.0.1:8101"',
        "region": '"delta-south"',
        "domain": '"delta/can-tho"',
        "entries": '["127.0.0.1:7000"]',
        "internal_key": f'"{KEY}"',
    },
    "platform": {"node_id": '"platform-1"', "http.port": "9000"},
}


class SettingsSubject:
    """Writes a settings file and loads it."""

    def __init__(self, role):
        self.role = role
        self.tmp = tempfile.TemporaryDirectory()
        (Path(self.tmp.name) / "session.key").write_text(KEY + "\n")
        lines = {"role": f'"{role}"'} | GOOD[role]
        self.lines = {key: f"{key} = {value}" for key, value in lines.items()}
        self.text = None

    def load(self):
        path = Path(self.tmp.name) / f"{self.role}.toml"
        text = self.text or "\n".join(self.lines.values()).replace("{tmp}", self.tmp.name)
        path.write_text(text)
        return load_settings(path, KINDS[self.role])


@given("good {role} settings")
def given_good(context, role):
    context.subject = SettingsSubject(role)
    context.add_cleanup(context.subject.tmp.cleanup)


@given('settings with the text "{text}"')
def given_text(context, text):
    given_good(context, "entry")
    context.subject.text = text


@given("a line {line} in place of the key {key}")
def given_line(context, line, key):
    context.subject.lines[key] = line


@given("a line  in place of the key {key}")
def given_no_line(context, key):
    del context.subject.lines[key]


@when("they are loaded")
def when_loaded(context):
    context.settings = context.problems = None
    try:
        context.settings = context.subject.load()
    except SettingsError as exc:
        context.problems = exc.problems


@then('the settings are those of node "{node}"')
def then_loaded(context, node):
    assert context.problems is None, context.problems
    assert context.settings.node_id == node
    assert getattr(context.settings, "session_key", KEY) == KEY
    assert KEY not in repr(context.settings)


@then('the settings are refused, naming "{key}", "{shown}" and "{allowed}"')
def then_refused(context, key, shown, allowed):
    wanted = (f"{context.subject.role}.toml", key, shown, allowed)
    told = [prob for prob in context.problems or () if all(text in prob for text in wanted)]
    assert told, context.problems


@then('{n:d} faults are told and none holds "{secret}"')
def then_faults(context, n, secret):
    assert len(context.problems) == n, context.problems
    assert secret not in " ".join(context.problems)
