"""Steps about invalid documents."""

import tomllib

from behave import given, then

from crocusvalve.config import parse_document
from crocusvalve.exceptions import ConfigError
from features.config.document_text import DocumentText

#: Invalid documents by the description in the step.
BAD_TEXTS = {
    "a member with a dot": 'environment = "trial"\n[members."delta.x"]',
    "9 million bytes": "#" * 9_000_000,
    "arrays 50000 deep": "a = " + "[" * 50_000,
    "a number of 9000 digits": "a = " + "9" * 9000,
    "a table named twice": "[members.delta]\n[members.delta]",
    "no closing quote": 'environment = "trial',
}


class RefusalSubject:
    """Parses documents that should be refused."""

    @staticmethod
    def list_problems(text):
        try:
            parse_document(text, source="trial.toml")
        except ConfigError as exc:
            return exc.problems
        return []


@given("the trial document")
def given_trial_document(context):
    context.edited = DocumentText("trial")


@given("the line {line} in table members.{table}")
def given_line_in_table(context, line, table):
    context.edited.set_line(f"members.{table}", line)


@given('customer "{name}" with the key of customer "{other}"')
def given_same_key(context, name, other):
    members = tomllib.loads(context.edited.render())["members"]
    member, _, local = other.partition("/")
    digest = members[member]["customers"][local]["key_sha256"]
    table = "members.{}.customers.{}".format(*name.split("/"))
    context.edited.set_line(table, f'key_sha256 = "{digest}"')


@given('the trial document with {n:d} more customers for "{member}"')
def given_many_customers(context, n, member):
    context.edited = DocumentText("trial")
    lines = ['allowed = ["assess-*"]', 'classes = ["advice"]']
    for i in range(n):
        table = f"members.{member}.customers.extra-{i}"
        context.edited.blocks[table] = [f'key_sha256 = "{i:064x}"', *lines]


@given("a document with {description}")
def given_bad_text(context, description):
    context.bad_text = BAD_TEXTS[description]


@then('it is refused, naming "", "{shown}" and "{allowed}"')
def then_refused_without_key(context, shown, allowed):
    then_refused(context, "trial.toml", shown, allowed)


@then('it is refused, naming "{key}", "{shown}" and "{allowed}"')
def then_refused(context, key, shown, allowed):
    text = context.bad_text if "bad_text" in context else context.edited.render()
    problems = RefusalSubject.list_problems(text)
    wanted = ("trial.toml", key, shown, allowed)
    assert any(all(part in prob for part in wanted) for prob in problems), problems


@then("{n:d} problems are reported")
def then_n_problems(context, n):
    problems = RefusalSubject.list_problems(context.edited.render())
    assert len(problems) == n, problems
