"""Steps about parsing and validating the shipped documents."""

from behave import given, then

from crocusvalve.base import ClassKind, UpstreamKind
from crocusvalve.config import check_document
from features.config.document_text import DocumentText


@given("the document examples/{environment}.toml")
def given_example(context, environment):
    context.document = DocumentText(environment).parse()


@then('it is valid for environment "{environment}"')
def then_valid(context, environment):
    assert context.document.environment == environment
    assert check_document(context.document) == []


@then('member "{member}" has {domains:d} domains, {engines:d} engines and {customers:d} customers')
def then_sizes(context, member, domains, engines, customers):
    section = context.document.members[member]
    n_engines = sum(up.kind is UpstreamKind.ENGINE for up in section.upstreams.values())
    sizes = (len(section.domains), n_engines, len(section.customers))
    assert sizes == (domains, engines, customers), sizes


@then('member "{member}" has classes of all four kinds, a roll-out and a cascade')
def then_kinds(context, member):
    section = context.document.members[member]
    assert {cls.kind for cls in section.classes.values()} == set(ClassKind)
    assert section.rollouts and section.cascades


@then('member "{member}" has one repeatable and one other plain service')
def then_services(context, member):
    services = context.document.members[member].services.values()
    assert sorted(service.repeatable for service in services) == [False, True]
