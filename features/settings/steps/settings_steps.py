"""Steps about the settings of processes."""

import tempfile
from pathlib import Path

from behave import given, then, when

from crocusvalve.exceptions import SettingsError
from crocusvalve.settings import AgentSettings, EntrySettings, PlatformSettings, load_settings
from features.config.document_text import DocumentText

KEY = "0123456789abcdef-session"
TYPE_BY_ROLE = {"entry": EntrySettings, "agent": AgentSettings, "platform": PlatformSettings}


class SettingsSubject:
    """Edits the example settings of a role and loads them."""

    def __init__(self, role):
        self.role = role
        self.edited = DocumentText(f"settings/{role}")
        self.tmp = tempfile.TemporaryDirectory()
        self.text = None

    def replace_line(self, line, key):
        table, _, name = key.rpartition(".")
        self.edited.set_line(table, f"{name} = ")
        self.edited.blocks[table].pop()
        if line:
            line = line.removeprefix(f"{table}.") if table else line
            self.edited.set_line(table, line)

    def load(self):
        path = Path(self.tmp.name) / f"{self.role}.toml"
        path.write_text(self.text or self.edited.render())
        return load_settings(path, TYPE_BY_ROLE[self.role])


@given("valid {role} settings")
def given_valid(context, role):
    context.subject = SettingsSubject(role)
    context.add_cleanup(context.subject.tmp.cleanup)


@given("a session key in a separate file")
def given_key_file(context):
    path = Path(context.subject.tmp.name) / "session.key"
    path.write_text(f"{KEY}\n")
    context.subject.replace_line(f'session_key_file = "{path}"', "session_key")


@given('settings with the text "{text}"')
def given_text(context, text):
    given_valid(context, "entry")
    context.subject.text = text


@given("the line {line} instead of the key {key}")
def given_line(context, line, key):
    context.subject.replace_line(line, key)


@given("the line  instead of the key {key}")
def given_no_line(context, key):
    context.subject.replace_line("", key)


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


@then("their session key is that of the file and is not in their repr")
def then_session_key(context):
    assert context.settings.session_key == KEY
    assert KEY not in repr(context.settings)


@then('the settings are refused, naming "{key}", "{shown}" and "{allowed}"')
def then_refused(context, key, shown, allowed):
    wanted = (f"{context.subject.role}.toml", key, shown, allowed)
    matching = [prob for prob in context.problems or () if all(text in prob for text in wanted)]
    assert matching, context.problems


@then('{n:d} problems are reported and none contains "{secret}"')
def then_n_problems(context, n, secret):
    assert len(context.problems) == n, context.problems
    assert secret not in " ".join(context.problems)
