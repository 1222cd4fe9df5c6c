"""Steps for keys and certificates."""

import ssl
import tempfile
from pathlib import Path
from unittest import mock

import httpx
import trio
import trustme
from behave import given, then, when
from quart_trio import QuartTrio

from crocusvalve.security import (
    HTTP_ALPN,
    ReloadingTls,
    is_internal_key,
    make_client_tls,
    make_key,
    make_server_tls,
)
from crocusvalve.utils import hash_key
from features.served import ServedApp

HOST = "127.0.0.1"
TIMEOUT_S = 30


class TlsSubject:
    """A server with the certificate of one authority, and a second authority to change to."""

    def __init__(self, is_mutual):
        self.dir = tempfile.TemporaryDirectory()
        self.old_ca, self.new_ca = trustme.CA(), trustme.CA()
        self.ca_file = self.write("ca.pem", self.old_ca.cert_pem.bytes())
        self.client_cert = self.old_ca.issue_cert("client.local")
        self.cert_file, self.key_file = self.issue(self.old_ca)
        ca = self.ca_file if is_mutual else ""
        self.context = make_server_tls(self.cert_file, self.key_file, ca)
        self.tls = ReloadingTls(self.context, self.cert_file, self.key_file)
        self.now = 1000.0

    def write(self, name, data):
        path = Path(self.dir.name) / name
        path.write_bytes(data)
        return str(path)

    def issue(self, ca):
        leaf = ca.issue_cert(HOST)
        chain = b"".join(pem.bytes() for pem in leaf.cert_chain_pems)
        key = self.write("key.pem", leaf.private_key_pem.bytes())
        return self.write("cert.pem", chain), key

    def poll(self):
        self.now += 10
        return self.tls.poll(self.now)

    def make_client(self, ca, with_cert=False):
        ca_file = self.write("client-ca.pem", ca.cert_pem.bytes())
        cert = key = ""
        if with_cert:
            cert = self.write("client.pem", self.client_cert.cert_chain_pems[0].bytes())
            key = self.write("client-key.pem", self.client_cert.private_key_pem.bytes())
        context = make_client_tls(ca_file, cert, key, alpn=HTTP_ALPN)
        return httpx.AsyncClient(verify=context, trust_env=False)

    async def is_answered(self, url, ca, with_cert=False):
        async with self.make_client(ca, with_cert) as client:
            try:
                return (await client.get(url)).status_code == 200
            except (httpx.TransportError, ssl.SSLError):
                return False

    def run(self, check):
        async def main():
            with trio.fail_after(TIMEOUT_S):
                await check(served.url)

        app = QuartTrio("tls")
        app.add_url_rule("/", view_func=self.answer)
        served = ServedApp(app, self.context)
        try:
            trio.run(main)
        finally:
            served.close()

    @staticmethod
    async def answer():
        return "ok"


@given("a server with a certificate that its clients trust")
def given_server(context):
    context.subject = TlsSubject(is_mutual=False)
    context.add_cleanup(context.subject.dir.cleanup)


@given("a server that requires a certificate of its clients")
def given_mutual(context):
    context.subject = TlsSubject(is_mutual=True)
    context.add_cleanup(context.subject.dir.cleanup)


@when("the certificate is replaced by one of a new authority")
def when_replaced(context):
    subject = context.subject
    context.results = {}

    async def check(url):
        async with subject.make_client(subject.old_ca) as client:
            await client.get(url)
            subject.issue(subject.new_ca)
            context.results["reloaded"] = subject.poll()
            context.results["open"] = (await client.get(url)).status_code
        context.results["new"] = await subject.is_answered(url, subject.new_ca)
        context.results["old"] = await subject.is_answered(url, subject.old_ca)

    subject.run(check)


@then("a connection opened before the change still works")
def then_open(context):
    assert context.results["open"] == 200


@then("clients that trust the new authority are answered and those that trust the old one are not")
def then_new(context):
    results = context.results
    assert results["reloaded"] and results["new"] and not results["old"], results


@when("the certificate's files are replaced with {defect}")
def when_defective(context, defect):
    context.defect = defect


@then("clients are answered as before and the error is recorded")
def then_as_before(context):
    subject = context.subject
    key = Path(subject.key_file).read_bytes()
    subject.issue(subject.new_ca)
    valid = {name: Path(name).read_bytes() for name in (subject.cert_file, subject.key_file)}
    match context.defect:
        case "a key of another certificate":
            Path(subject.key_file).write_bytes(key)
        case "a truncated certificate":
            Path(subject.cert_file).write_bytes(valid[subject.cert_file][:200])
        case "no certificate":
            Path(subject.cert_file).unlink()

    async def check(url):
        assert not subject.poll() and subject.tls.last_error_
        assert await subject.is_answered(url, subject.old_ca)
        for name, data in valid.items():
            Path(name).write_bytes(data)
        context.is_reloaded = subject.poll()
        context.is_new = await subject.is_answered(url, subject.new_ca)

    subject.run(check)


@then("once the files match, the new certificate is in use")
def then_match(context):
    assert context.is_reloaded and context.is_new
    assert context.subject.tls.last_error_ == ""


@then("a client with a certificate is answered and one without is not")
def then_mutual(context):
    subject = context.subject

    async def check(url):
        assert await subject.is_answered(url, subject.old_ca, with_cert=True)
        assert not await subject.is_answered(url, subject.old_ca)

    subject.run(check)


@then("{n:d} polls within a second read the files once")
def then_polls(context, n):
    tls = context.subject.tls
    with mock.patch.object(tls, "_compute_digest", wraps=tls._compute_digest) as read:
        for i in range(n):
            tls.poll(5000.0 + i / n)
    assert read.call_count == 1


@then('internal key "{presented}" against "{expected}" is {verdict}')
def then_key(context, presented, expected, verdict):
    assert is_internal_key(presented, expected) is (verdict == "right")


@then('internal key "" against "" is wrong')
def then_empty_key(context):
    assert not is_internal_key("", "")


@when("two keys are generated")
def when_keys(context):
    context.keys = [make_key(), make_key()]


@then("they differ, match their hashes and are hidden when printed")
def then_keys(context):
    first, second = context.keys
    assert first.key != second.key
    for new_key in context.keys:
        assert new_key.sha256 == hash_key(new_key.key)
        assert new_key.key not in repr(new_key)
