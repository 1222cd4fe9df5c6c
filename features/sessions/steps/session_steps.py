"""Steps about sessions."""

from behave import given, then, when

from crocusvalve.exceptions import RefusedError
from crocusvalve.sessions import SessionAction, SessionClaim, SessionSigner, resolve_session
from features.core_builders import NOW, make_tables


class SessionSubject:
    """Makes signers, claims and forged tokens."""

    @staticmethod
    def make_signer(names):
        return SessionSigner([f"session key {name:>20}".encode() for name in names.split(",")])

    @staticmethod
    def make_claim(version="d/m@v1", customer="d/c"):
        return SessionClaim(
            session_id="s",
            customer_id=customer,
            model="d/m",
            version=version,
            preferred_upstream="d/u0",
            issued_at=NOW,
        )

    @classmethod
    def forge(cls, token, forgery):
        name, payload, mac = token.split(".")
        other = cls.make_signer("one").sign(cls.make_claim("d/m@v2")).split(".")[1]
        return {
            "kept": token,
            "given another payload": f"{name}.{other}.{mac}",
            "given another key id": f"00000000.{payload}.{mac}",
            "given a plain version as payload": f"{name}.v2.{mac}",
            "missing its last character": token[:-1],
            "missing its signature": f"{name}.{payload}",
            "replaced by an empty text": "",
            "replaced by dots": "....",
            "signed with non-ASCII characters": f"{name}.{payload}.\u0645\u0646\udce4",
            "extended to a very long text": token + "A" * 100_000,
        }[forgery]


@given('a token signed with key "{name}"')
def given_token(context, name):
    context.token = SessionSubject.make_signer(name).sign(SessionSubject.make_claim())


@given('a session on "{version}" of customer "{customer}" with upstream "d/u0"')
def given_session(context, version, customer):
    context.claim = SessionSubject.make_claim(version, customer)
    context.tables = make_tables()


@when("the token is {forgery}")
def when_forged(context, forgery):
    context.token = SessionSubject.forge(context.token, forgery)


@when("nothing happens")
def when_nothing(context):
    pass


@when("the document withdraws v1")
def when_withdrawn(context):
    context.tables.apply_view(make_tables(revision=2, withdrawn=("v1",)).view)


@when("a notice withdraws v1")
def when_notice(context):
    context.tables.withdrawn_versions.add("d/m@v1")


@when("domain a is taken out of service")
def when_out(context):
    context.tables.domains_out.add("d/a")


@when("upstream d/u0 leaves")
def when_leaves(context):
    context.tables.upstreams["d/u0"].is_leaving = True


@then('an entry with keys "{names}" reads the claim of customer "{customer}"')
def then_read(context, names, customer):
    claim = SessionSubject.make_signer(names).verify(context.token, customer)
    assert claim == SessionSubject.make_claim()


@then('an entry with keys "{names}" refuses it for customer "{customer}" as {code}')
def then_refused(context, names, customer, code):
    try:
        SessionSubject.make_signer(names).verify(context.token, customer)
    except RefusedError as exc:
        assert (exc.code.code, exc.step) == (code, "session"), exc
        return
    raise AssertionError("the token was accepted")


@then("the decision for a caller that {may} is {decision}")
def then_decision(context, may, decision):
    found = resolve_session(context.claim, context.tables, NOW, may_move=may == "may move")
    text = found.action.value
    if found.action is SessionAction.KEEP:
        text = f"keep {found.version} at {found.preferred_upstream}".strip()
    if found.error:
        text = f"{text} {found.error.code.code}"
    assert text == decision, text
