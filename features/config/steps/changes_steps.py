"""Steps about differences between documents, authors of changes and promotion."""

import msgspec
from behave import given, then, when

from crocusvalve.base import DomainState
from crocusvalve.config import (
    Document,
    check_author,
    check_change,
    diff_documents,
    filter_document,
    merge_section,
    parse_document,
    promote_section,
    read_document,
)
from crocusvalve.exceptions import CrocusvalveError
from features.config.document_text import DocumentText


class ChangeSubject:
    """Applies a check to the documents before and after a change."""

    @staticmethod
    def passes_check(check, old, new, member):
        try:
            check(old, new, member)
        except CrocusvalveError:
            return False
        return True


def parse_edited(context):
    return read_document(context.edited.render(), source="trial.toml")


@given('the trial document without {table} "{name}" of "{member}"')
def given_document_without_entry(context, table, name, member):
    context.edited = DocumentText("trial")
    context.edited.remove_table(f"members.{member}.{table}.{name}")


@given('no section of "{member}"')
def given_no_section(context, member):
    context.edited.remove_table(f"members.{member}")


@given('environment "{environment}"')
def given_environment(context, environment):
    context.edited.set_line("", f'environment = "{environment}"')


@then('the change of "{name}" has the warning "{warning}"')
def then_change_has_warning(context, name, warning):
    changes = diff_documents(DocumentText("trial").parse(), parse_edited(context))
    found = [change for change in changes if change.path.endswith(f".{name}")]
    assert found and found[0].is_dangerous and warning in found[0].warning, changes


@then('reverting the change of "{name}" has the warning "{warning}"')
def then_revert_has_warning(context, name, warning):
    (change,) = diff_documents(parse_edited(context), DocumentText("trial").parse())
    assert change.path.endswith(f".{name}") and warning in change.warning, change


@then('the change of "{name}" has the warning ""')
def then_change_has_no_warning(context, name):
    (change,) = diff_documents(DocumentText("trial").parse(), parse_edited(context))
    assert change.path.endswith(name) and not change.is_dangerous


@then('the author check of "{member}" passes')
def then_author_passes(context, member):
    old = DocumentText("trial").parse()
    assert ChangeSubject.passes_check(check_author, old, parse_edited(context), member)


@then('the author check of "{member}" fails')
def then_author_fails(context, member):
    old = DocumentText("trial").parse()
    assert not ChangeSubject.passes_check(check_author, old, parse_edited(context), member)


@then('the change check of "{member}" passes')
def then_change_passes(context, member):
    check_change(DocumentText("trial").parse(), parse_edited(context), member)


@then('once it is in force, the change check of "{member}" passes for a change of a domain')
def then_later_change_passes(context, member):
    old = parse_edited(context)
    section = old.members[member]
    name = next(iter(section.domains))
    domain = msgspec.structs.replace(section.domains[name], state=DomainState.OUT)
    changed = msgspec.structs.replace(section, domains=section.domains | {name: domain})
    check_change(old, Document(old.environment, old.members | {member: changed}), member)


@then('"{member}" sees only model "{model}" of "{other}"')
def then_sees_only_model(context, member, model, other):
    seen = filter_document(parse_edited(context), member).members[other]
    assert list(seen.models) == [model]
    assert not (seen.customers or seen.upstreams or seen.operators or seen.classes)


@then('"{member}" sees nothing of "{other}"')
def then_sees_nothing(context, member, other):
    assert other not in filter_document(parse_edited(context), member).members


@then('merging the document that "{member}" sees into the current one changes nothing')
def then_merge_changes_nothing(context, member):
    document = parse_edited(context)
    assert merge_section(document, filter_document(document, member), member) == document


@when('the section of "{member}" is promoted to production')
def when_promoted(context, member):
    context.before = DocumentText("production").parse()
    context.after = promote_section(parse_edited(context), context.before, member)


@then('only the "{table}" of "{member}" differ in production')
def then_only_table_differs(context, table, member):
    check_change(context.before, context.after, member)
    paths = [change.path for change in diff_documents(context.before, context.after)]
    assert paths and all(path.startswith(f"members.{member}.{table}.") for path in paths), paths
    assert parse_document(DocumentText("production").render(), source="x") == context.before
