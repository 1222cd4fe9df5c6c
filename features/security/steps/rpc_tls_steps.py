"""Steps for TLS between processes."""

import tempfile
from pathlib import Path

import trio
import trio_asyncio
import trustme
from behave import given, then

from crocusvalve.base import Revision
from crocusvalve.rpc import (
    ConfigAck,
    ConfigPush,
    PeerClient,
    PeerService,
    RpcError,
    serve_rpc,
)
from crocusvalve.security import RPC_ALPN, ProcessTls, make_client_tls
from crocusvalve.settings import TlsSettings

TIMEOUT_S = 30
TOKEN = "internal-key-of-the-test"


async def answer_pull(self, req):
    return ConfigPush(Revision(7), Revision(0), b"")


#: Stub of a peer that answers each call with configuration revision 7; tests only call
#: ``pull_config``.
FixedPeer = type(
    "FixedPeer", (PeerService,), dict.fromkeys(PeerService.__abstractmethods__, answer_pull)
)


class RpcTlsSubject:
    """A server and a client that share a certificate of one authority, which names no address."""

    def __init__(self):
        self.dir = tempfile.TemporaryDirectory()
        self.ca = trustme.CA()
        self.write("ca.pem", self.ca.cert_pem.bytes())
        self.issue()
        paths = {name: str(Path(self.dir.name) / f"{name}.pem") for name in ("cert", "key", "ca")}
        self.settings = TlsSettings(**paths, check_host=False)
        self.tls = ProcessTls(self.settings, alpn=RPC_ALPN)

    def write(self, name, data):
        (Path(self.dir.name) / name).write_bytes(data)

    def issue(self):
        leaf = self.ca.issue_cert("crocusvalve.internal")
        self.write("cert.pem", leaf.cert_chain_pems[0].bytes())
        self.write("key.pem", leaf.private_key_pem.bytes())

    def run(self, check):
        async def main():
            with trio.fail_after(TIMEOUT_S):
                async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
                    port = await nursery.start(
                        lambda task_status: serve_rpc(
                            FixedPeer(),
                            "127.0.0.1",
                            0,
                            token=TOKEN,
                            tls=self.tls.server,
                            task_status=task_status,
                        )
                    )
                    await check(f"127.0.0.1:{port}")
                    nursery.cancel_scope.cancel()

        trio.run(main)

    @staticmethod
    async def call(address, tls):
        client = PeerClient(address, token=TOKEN, tls=tls)
        try:
            return (await client.pull_config(ConfigAck(Revision(0)))).revision
        except RpcError:
            return None
        finally:
            client.close()

    @staticmethod
    async def fetch_certificate(address, tls):
        host, _, port = address.rpartition(":")
        stream = await trio.open_ssl_over_tcp_stream(host, int(port), ssl_context=tls)
        await stream.do_handshake()
        certificate = stream.getpeercert(binary_form=True)
        await trio.aclose_forcefully(stream)
        return certificate


@given("two processes with certificates of a private authority")
def given_processes(context):
    context.subject = RpcTlsSubject()
    context.add_cleanup(context.subject.dir.cleanup)


@then("a call between them is answered, one without a certificate or without TLS is not")
def then_answered(context):
    async def check(address):
        no_certificate = make_client_tls(subject.settings.ca, check_host=False)
        assert await subject.call(address, subject.tls.client) == 7
        assert await subject.call(address, no_certificate) is None
        assert await subject.call(address, None) is None

    subject = context.subject
    subject.run(check)


@then("after the certificates are replaced, new connections use the new ones")
def then_new(context):
    async def check(address):
        before = await subject.fetch_certificate(address, subject.tls.client)
        subject.issue()
        assert subject.tls.poll(1e9)
        assert await subject.call(address, subject.tls.client) == 7
        assert await subject.fetch_certificate(address, subject.tls.client) != before

    subject = context.subject
    subject.run(check)
