"""Steps about the index of a document."""

from behave import given, then

from crocusvalve.base import CustomerId, MemberId, Revision, VersionRef
from crocusvalve.config import (
    CustomerConfig,
    Document,
    DocumentView,
    MemberConfig,
    ModelConfig,
    VersionConfig,
)


class DocumentSubject:
    """Builds the index of a small document with two members."""

    @staticmethod
    def make_view(first, second):
        versions = {"v1": VersionConfig(), "v2": VersionConfig()}
        coop = CustomerConfig("k1", ("assess@v1", f"{second}/log"), ("chat",))
        shift = CustomerConfig("k2", ("log", f"{first}/assess"), ("chat",))
        members = {
            MemberId(first): MemberConfig(
                models={"assess": ModelConfig("v1", versions)}, customers={"coop": coop}
            ),
            MemberId(second): MemberConfig(
                models={"log": ModelConfig("v1", versions, (first,))}, customers={"shift": shift}
            ),
        }
        return DocumentView(Document("trial", members), Revision(1))


@given('a document with members "{first}" and "{second}"')
def given_document(context, first, second):
    context.view = DocumentSubject.make_view(first, second)


@then('customer "{customer}" may use version "{version}"')
def then_allowed(context, customer, version):
    assert context.view.is_allowed(CustomerId(customer), VersionRef(version))


@then('customer "{customer}" may not use version "{version}"')
def then_not_allowed(context, customer, version):
    assert not context.view.is_allowed(CustomerId(customer), VersionRef(version))
