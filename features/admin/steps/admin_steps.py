"""Steps about the operators' API."""

import json

import httpx
import msgspec
import trio
from behave import given, then, when
from quart_trio import QuartTrio

from crocusvalve.admin import (
    AdminClient,
    ConfigChange,
    UnreachableError,
    make_admin_blueprint,
)
from crocusvalve.base import DomainState
from crocusvalve.config import Document
from crocusvalve.exceptions import ConfigConflictError, CrocusvalveError
from features.admin.memory_backend import MemoryAdminBackend
from features.config.document_text import DocumentText
from features.served import ServedApp

#: One operator of each member.
OPERATORS = {"delta": "water-desk", "sfax": "control-room"}
TIMEOUT_S = 30
#: Base URL whose port no process listens on.
UNREACHABLE_URL = "http://127.0.0.1:9"
KEY = "demo-delta-operator-water-desk"


class AdminSubject:
    """An entry's application and clients that call it without sockets.

    ``reply`` is the pair of replies of the last ``apply_weight``, ``error`` the last error.
    """

    def __init__(self):
        self.backend = MemoryAdminBackend(DocumentText("trial").parse())
        self.app = QuartTrio("admin")
        self.app.register_blueprint(make_admin_blueprint(self.backend))
        self.error = self.reply = None

    def make_client(self, member, operator=None):
        key = f"demo-{member}-operator-{operator or OPERATORS[member]}"
        transport = httpx.ASGITransport(self.app)
        return AdminClient(["http://entry"], key, transport=transport)

    def run(self, work, *args):
        async def main():
            with trio.fail_after(TIMEOUT_S):
                return await work(*args)

        return trio.run(main)

    async def call(self, method, path, key, body):
        transport = httpx.ASGITransport(self.app)
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        async with httpx.AsyncClient(transport=transport, base_url="http://entry") as http:
            url = f"/admin/v1/{path}"
            return await http.request(method, url, headers=headers, content=body)

    async def apply_weight(
        self, member, customer, weight, *, owner=None, base_reply=None, check=False
    ):
        async with self.make_client(member) as client:
            reply = base_reply or await client.get_config()
            text = self.set_weight(reply.document, owner or member, customer, weight)
            change = ConfigChange(reply.revision, text, "my.toml", reply.section_digest)
            planned = await client.check_config(change) if check else None
            return planned, await client.put_config(change)

    @staticmethod
    def set_weight(text, owner, customer, weight):
        header = f"[members.{owner}.customers.{customer}]\n"
        if header not in text:
            return f'{text}\n{header}key_sha256 = "{"a" * 64}"\nallowed = []\nclasses = []\n'
        head, tail = text.split(header)
        lines = tail.splitlines(keepends=True)
        end = next((i for i, line in enumerate(lines) if line == "\n"), len(lines))
        block = [line for line in lines[:end] if not line.startswith("weight")]
        return "".join([head, header, *block, f"weight = {weight}\n", *lines[end:]])

    def apply_and_record(self, *args, **kwargs):
        try:
            self.reply = self.run(lambda: self.apply_weight(*args, **kwargs))
        except CrocusvalveError as exc:
            self.error = exc


@given("an entry that has the trial document in force")
def given_entry(context):
    context.subject = AdminSubject()


@given("no document has been put in force")
def given_no_document(context):
    context.subject.backend.documents = [Document("", {})]


@given("the store is {state}")
def given_store(context, state):
    context.subject.backend.is_store_up = state == "up"


@when('{method} {path} is called with key "{key}"')
def when_called_with_key(context, method, path, key):
    subject = context.subject
    context.response = subject.run(subject.call, method, path, key, b"{}")


@when('{method} {path} is called with key ""')
def when_called_without(context, method, path):
    when_called_with_key(context, method, path, "")


@when('"{member}" calls {method} {path} with body {body}')
def when_member_calls(context, member, method, path, body):
    subject = context.subject
    key = f"demo-{member}-operator-{OPERATORS[member]}"
    context.response = subject.run(subject.call, method, path, key, body.strip().encode())


@then('the answer is {status:d} with code "{code}" at step "{step}"')
def then_answer(context, status, code, step):
    error = context.response.json()["error"]
    assert (context.response.status_code, error["code"], error["step"]) == (status, code, step)


@then("nothing was published")
def then_nothing_published(context):
    assert len(context.subject.backend.documents) == 1


@when('"{member}" asks for configuration, history, usage, roll-outs and status')
def when_reads_everything(context, member):
    async def read_all():
        async with context.subject.make_client(member) as client:
            calls = (client.get_config, client.get_rollouts, client.get_status)
            answers = [await call() for call in calls]
            answers += [await client.get_history(5), await client.get_usage(None, None)]
            return msgspec.json.encode(answers).decode()

    context.answers = context.subject.run(read_all)


@then('no answer names a customer, an upstream, an operator or a count of "{member}"')
def then_nothing_visible(context, member):
    section = context.subject.backend.documents[-1].members[member]
    names = [*section.customers, *section.upstreams, *section.operators, *section.domains]
    found = [name for name in names if name in context.answers]
    assert not found and "first" not in context.answers, found
    assert json.loads(context.answers)[4]["entries"], "the usage of the own member is missing"


@when('"{member}" plans and applies the weight {weight:g} for customer "{customer}"')
def when_plans_and_applies(context, member, weight, customer):
    context.subject.apply_and_record(member, customer, weight, check=True)


@when('"{member}" applies the weight {weight:g} for customer "{customer}"')
def when_applies(context, member, weight, customer):
    context.subject.apply_and_record(member, customer, weight)


@when('"{member}" applies a document with the weight {weight:g} for customer "{name}" of "{owner}"')
def when_applies_for_other(context, member, weight, name, owner):
    context.subject.apply_and_record(member, name, weight, owner=owner)


@given("customers' request bodies are limited to {n:d} bytes")
def given_body_limit(context, n):
    context.subject.app.config["MAX_CONTENT_LENGTH"] = n


@when('"{member}" applies a document of {n:d} bytes')
def when_applies_large_document(context, member, n):
    async def put():
        async with context.subject.make_client(member) as client:
            await client.put_config(ConfigChange(1, "#" * n))

    try:
        context.subject.run(put)
    except CrocusvalveError as exc:
        context.subject.error = exc


@then('both replies contain only a change of "{path}"')
def then_one_change(context, path):
    for reply in context.subject.reply:
        assert [change.path for change in reply.changes] == [path], reply


@then('revision {revision:d} is in force with author "{author}"')
def then_in_force(context, revision, author):
    entry = context.subject.backend.entries[-1]
    assert (entry.revision, entry.author) == (revision, author)


@then('the change is refused with code "{code}"')
def then_refused(context, code):
    error = context.subject.error
    assert error is not None and error.code.code == code, error


@then('the error names "{file}", "{key}" and "{allowed}"')
def then_error_names(context, file, key, allowed):
    problems = context.subject.error.problems
    assert any(all(part in p for part in (file, key, allowed)) for p in problems), problems


@then("the response says when to retry")
def then_retry_after(context):
    subject = context.subject
    body = b'{"model": "assess-small", "version": "v2"}'
    response = subject.run(subject.call, "POST", "rollouts", KEY, body)
    assert response.status_code == 503 and int(response.headers["Retry-After"]) >= 1


@given('both operators of "{member}" have read revision {revision:d}')
def given_both_read(context, member, revision):
    given_read(context, member, revision)


@given('"{member}" has read revision {revision:d}')
def given_read(context, member, revision):
    async def read():
        async with context.subject.make_client(member) as client:
            return await client.get_config()

    context.base_reply = context.subject.run(read)
    assert context.base_reply.revision == revision


@when('the first applies the weight {first:g} and the second the weight {second:g} for "{name}"')
def when_both_apply(context, first, second, name):
    context.subject.apply_and_record("delta", name, first, base_reply=context.base_reply)
    assert context.subject.error is None
    context.subject.apply_and_record("delta", name, second, base_reply=context.base_reply)


@then("the second is refused with a conflict that names revision {revision:d}")
def then_conflict(context, revision):
    error = context.subject.error
    assert isinstance(error, ConfigConflictError) and error.revision == revision


@when('"{member}" changes its section {n:d} times, once during the publication by "{other}"')
def when_changes_meanwhile(context, member, n, other):
    subject = context.subject
    for weight in range(1, n):
        subject.apply_and_record(member, "archive", weight + 0.5)

    async def change_section():
        await subject.apply_weight(member, "archive", n + 0.5)

    subject.backend.before_publish = change_section


@when('"{member}" applies its change')
def when_applies_read(context, member):
    context.subject.apply_and_record(member, "coop-ke-sach", 9.5, base_reply=context.base_reply)


@then("all {n:d} changes are in force")
def then_all_in_force(context, n):
    subject = context.subject
    assert subject.error is None, subject.error
    members = subject.backend.documents[-1].members
    assert len(subject.backend.documents) == n + 1
    assert members["delta"].customers["coop-ke-sach"].weight == 9.5
    assert members["sfax"].customers["archive"].weight == 3.5


@when('"{member}" takes domain "{domain}" out of service and withdraws "{version}"')
def when_takes_out_and_withdraws(context, member, domain, version):
    async def take_out_and_withdraw():
        async with context.subject.make_client(member) as client:
            return [
                await client.set_domain(domain, DomainState.OUT),
                await client.withdraw(version),
            ]

    context.accepted = context.subject.run(take_out_and_withdraw)


@then("both are accepted by {means}")
def then_accepted(context, means):
    assert [item.by_notice for item in context.accepted] == [means == "notice"] * 2


@then('roll-out "{name}" of the document is {state}')
def then_rollout_state(context, name, state):
    section = context.subject.backend.documents[-1].members["delta"]
    assert section.rollouts[name].state.value == state


@then("a client whose first address is unreachable is answered by the second")
def then_second_answers(context):
    async def check():
        async with AdminClient([UNREACHABLE_URL, served.url], KEY) as client:
            assert (await client.get_config()).revision == 1

    served = ServedApp(context.subject.app)
    context.subject.run(check)
    served.close()


@then("a client with only an unreachable address gets an error that no entry answered")
def then_no_entry_answers(context):
    async def check():
        async with AdminClient([UNREACHABLE_URL], KEY) as client:
            await client.withdraw("assess-small@v2")

    try:
        trio.run(check)
    except UnreachableError as exc:
        assert not exc.maybe_applied
    else:
        raise AssertionError


@then("a client whose response is lost gets an error that its change may be in force")
def then_response_lost(context):
    async def close_unanswered(stream):
        await stream.receive_some(10)
        await stream.aclose()

    async def check():
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, close_unanswered, listeners)
            port = listeners[0].socket.getsockname()[1]
            async with AdminClient([f"http://127.0.0.1:{port}"], KEY) as client:
                try:
                    await client.withdraw("assess-small@v2")
                except UnreachableError as exc:
                    nursery.cancel_scope.cancel()
                    return exc.maybe_applied

    assert context.subject.run(check)
