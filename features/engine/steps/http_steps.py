"""Steps for the HTTP servers of the stand-in engine and the stand-in plain service."""

import json
import subprocess
import sys

import httpx
import trio
from behave import given, then, when

from crocusvalve.base import VersionRef
from crocusvalve.standin import (
    StandinEngine,
    StandinPlainService,
    VersionSpec,
    serve_engine,
    serve_plain,
)

TIMEOUT_S = 20


class HttpSubject:
    """Collects requests and sends them, in order, to a server started for them."""

    def __init__(self, serve, target):
        self.serve = serve
        self.target = target
        self.calls = []

    def add(self, method, path, body, headers=None):
        self.calls.append((method, path, body, headers or {}))

    def send(self):
        async def main():
            replies = []
            with trio.fail_after(TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    port = await nursery.start(self.serve, self.target)
                    async with httpx.AsyncClient(base_url=f"http://127.0.0.1:{port}") as client:
                        for method, path, body, headers in self.calls:
                            reply = await client.request(method, path, json=body, headers=headers)
                            replies.append(reply)
                    nursery.cancel_scope.cancel()
            return replies

        return trio.run(main)


def make_chat(text, n_tokens, stream):
    messages = [{"role": "user", "content": text}]
    body = {"model": "delta/assess@v1", "messages": messages, "max_tokens": n_tokens}
    return body | {"stream": stream}


def parse_stream(text):
    chunks = [json.loads(ln[6:]) for ln in text.splitlines() if ln.startswith("data: {")]
    return "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks), chunks


@given('a served engine with version "{version}"')
def given_engine(context, version):
    context.engine = StandinEngine({VersionRef(version): VersionSpec()})
    context.http = HttpSubject(serve_engine, context.engine)


@when('a plain completion of {n:d} tokens is requested for "{text}"')
def when_plain(context, n, text):
    context.http.add("POST", "/v1/chat/completions", make_chat(text, n, False))


@when('a streamed completion of {n:d} tokens is requested for "{text}"')
def when_streamed(context, n, text):
    context.http.add("POST", "/v1/chat/completions", make_chat(text, n, True))


@when("the fault switches {faults} are set")
def when_faults_set(context, faults):
    context.http.add("POST", "/faults", json.loads(faults))


@when("the engine receives a load order numbered {number:d}")
def when_order_received(context, number):
    order = {"action": "load", "version": "delta/assess@v1", "number": number}
    context.http.add("POST", "/orders", order)


@then("both answers have the same text and {n:d} completion tokens")
def then_same_text(context, n):
    plain, streamed = context.replies = context.http.send()
    text, chunks = parse_stream(streamed.text)
    assert plain.json()["choices"][0]["message"]["content"] == text
    assert plain.json()["usage"]["completion_tokens"] == n
    assert chunks[-1]["usage"]["completion_tokens"] == n
    assert len(text.split()) == n


@then('the stream ends with "{mark}"')
def then_stream_ends(context, mark):
    assert context.replies[-1].text.rstrip().endswith(mark)


@then("the answer to a streamed completion is {end} and has status {status:d}")
def then_streamed_answer(context, end, status):
    context.http.add("POST", "/v1/chat/completions", make_chat("soil level", 8, True))
    reply = context.http.send()[-1]
    assert reply.status_code == status, reply.text
    assert ("[DONE]" in reply.text) == (end == "whole"), reply.text


@then("a load order numbered {number:d} gets status {status:d}")
def then_order_status(context, number, status):
    when_order_received(context, number)
    assert context.http.send()[-1].status_code == status


@given("a served plain service that loses {n:d} answer")
def given_plain(context, n):
    context.service = StandinPlainService()
    context.service.faults.lose_answers = n
    context.http = HttpSubject(serve_plain, context.service)


@when('the same request is posted twice with key "{key}"')
def when_posted_twice(context, key):
    for _ in range(2):
        context.http.add("POST", "/sluice/4", {"open": 1}, {"Idempotency-Key": key})
    context.replies = context.http.send()


@then("the statuses are {first:d} and {second:d}")
def then_statuses(context, first, second):
    assert [reply.status_code for reply in context.replies] == [first, second]


@then('key "{key}" was executed {n:d} times')
def then_executions(context, key, n):
    assert context.service.n_by_key[key] == n


@given('a process that runs the stand-in "{call}"')
def given_process(context, call):
    code = f"from crocusvalve.standin.cli import *; {call}"
    context.process = subprocess.Popen(
        [sys.executable, "-c", code], stdout=subprocess.PIPE, text=True
    )


@then("it prints its address, and SIGTERM ends it with status {status:d}")
def then_stops_on_sigterm(context, status):
    try:
        line = context.process.stdout.readline()
        assert "listens on http://127.0.0.1:" in line, line
        context.process.terminate()
        assert context.process.wait(TIMEOUT_S) == status
    finally:
        context.process.kill()
        context.process.stdout.close()
