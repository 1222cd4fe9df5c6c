"""Separate processes of the system and its stand-ins, started for one scenario."""

import contextlib
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import httpx
import trustme

from crocusvalve.config import parse_document
from crocusvalve.demo import find_free_ports
from crocusvalve.utils import hash_key

HOST = "127.0.0.1"
INTERNAL_KEY = "internal-key-of-the-test"
SESSION_KEY = "session-key-of-the-test!"
GUARD_S = 90.0
POLL_S = 0.05

DOCUMENT = """
environment = "trial"

[members.delta.operators.desk]
key_sha256 = "{operator}"
[members.delta.domains.north]
region = "south"
[members.delta.domains.south]
region = "south"
[members.delta.models.small]
current = "v1"
[members.delta.models.small.versions.v1]
prompt_price = 1.0
completion_price = 1.0
[members.delta.models.small.versions.v2]
prompt_price = 1.0
completion_price = 1.0
{upstreams}
[members.delta.services.gates]
upstreams = ["plain-0", "plain-1"]
repeatable = false
class_name = "order"
price = 1.0
[members.delta.services.probe]
upstreams = ["plain-0", "plain-1"]
repeatable = true
class_name = "lookup"
[members.delta.customers.coop]
key_sha256 = "{customer}"
allowed = ["small"]
classes = ["answer", "lookup", "durable", "order"]
quality_target = 0.5
rate_per_s = 500.0
burst = 1000
[members.delta.classes.answer]
kind = "answer"
deadline_s = 30.0
default_model = "small"
[members.delta.classes.lookup]
kind = "lookup"
deadline_s = 10.0
default_model = "small"
[members.delta.classes.durable]
kind = "durable"
deadline_s = 300.0
default_model = "small"
[members.delta.classes.order]
kind = "order"
deadline_s = 20.0
default_model = "small"
"""
UPSTREAM = """
[members.delta.upstreams.{name}]
kind = "{kind}"
domain = "{domain}"
agent = "{agent}"
url = "{url}"
serves = {serves}
cold_limit = 2
warm_limit = 8
"""
ENTRY = """
role = "entry"
node_id = "{node}"
region = "south"
domain = "delta/north"
peers = {peers}
internal_key = "{internal}"
session_key = "{session}"
drain_s = 20.0
[http]
port = {http}
[rpc]
port = {rpc}
[platform]
url = "{platform}"
"""
AGENT = """
role = "agent"
node_id = "agent-{name}"
upstream_id = "delta/{name}"
upstream_url = "{url}"
region = "south"
domain = "delta/{domain}"
entries = {entries}
internal_key = "{internal}"
drain_s = 20.0
[rpc]
port = {port}
"""
VERSIONS = ("delta/small@v1", "delta/small@v2")
DOMAINS = ("north", "south")
CUSTOMER_KEY = "customer-key-of-the-test"
OPERATOR_KEY = "operator-key-of-the-test"


def wait_until(check, what):
    """Wait for an event; the time is only a guard against a hang."""
    give_up_at = time.monotonic() + GUARD_S
    while time.monotonic() < give_up_at:
        with contextlib.suppress(httpx.HTTPError):
            result = check()
            if result:
                return result
        time.sleep(POLL_S)
    raise AssertionError(f"did not happen in {GUARD_S} s: {what}")


class Cluster:
    """Platform, two engines, two plain services, their agents and two entries."""

    def __init__(self, *, has_tls=False):
        self.dir = tempfile.TemporaryDirectory()
        self.scheme = "https" if has_tls else "http"
        self.tls = self._make_tls() if has_tls else None
        self.procs = {}
        self.urls = {}
        names = ["platform", "http-0", "rpc-0", "http-1", "rpc-1"]
        names += [f"{kind}-{i}{part}" for kind in ("engine", "plain") for i in (0, 1)
                  for part in ("", "-agent")]  # fmt: skip
        self.ports = dict(zip(names, find_free_ports(len(names)), strict=True))
        verify = self.tls["ca"] if has_tls else True
        self.client = httpx.Client(timeout=60.0, trust_env=False, verify=verify)

    def _make_tls(self):
        """Write a private authority and one certificate; return their paths."""
        authority = trustme.CA()
        cert = authority.issue_cert(HOST)
        paths = {name: str(Path(self.dir.name) / f"{name}.pem") for name in ("ca", "cert", "key")}
        authority.cert_pem.write_to_path(paths["ca"])
        cert.cert_chain_pems[0].write_to_path(paths["cert"])
        cert.private_key_pem.write_to_path(paths["key"])
        return paths

    def _add_tls(self, text, *sections):
        if self.tls is None:
            return text
        for section in sections:
            names = ("cert", "key", "ca") if section == "internal_tls" else ("cert", "key")
            text += f"\n[{section}]\n" + "".join(f'{n} = "{self.tls[n]}"\n' for n in names)
        return text

    def url(self, name):
        scheme = self.scheme if name.startswith("http-") else "http"
        return f"{scheme}://{HOST}:{self.ports[name]}"

    def start(self):
        """Start everything and wait until both entries see all upstreams."""
        self._run("platform", "standin", "platform", "--port", str(self.ports["platform"]))
        for index in (0, 1):
            self.start_engine(index)
            self._run(
                f"plain-{index}", "standin", "plain", "--port", str(self.ports[f"plain-{index}"])
            )
        self._init_config()
        for name in self.upstreams:
            self.start_agent(name)
        for index in (0, 1):
            self.start_entry(index)
        for index in (0, 1):
            self.wait_ready(index)

    @property
    def upstreams(self):
        return ("engine-0", "engine-1", "plain-0", "plain-1")

    def start_engine(self, index, *extra):
        port = str(self.ports[f"engine-{index}"])
        self._run(f"engine-{index}", "standin", "engine", *VERSIONS, "--port", port, *extra)

    def start_agent(self, name):
        text = AGENT.format(
            name=name,
            url=self.url(name),
            domain=DOMAINS[int(name[-1])],
            entries=[f"{HOST}:{self.ports[f'rpc-{i}']}" for i in (0, 1)],
            internal=INTERNAL_KEY,
            port=self.ports[f"{name}-agent"],
        )
        self._run(
            f"agent-{name}",
            "agent",
            self._write(f"agent-{name}.toml", self._add_tls(text, "internal_tls")),
        )

    def start_entry(self, index):
        text = ENTRY.format(
            node=f"entry-{index}",
            peers=[f"{HOST}:{self.ports[f'rpc-{1 - index}']}"],
            internal=INTERNAL_KEY,
            session=SESSION_KEY,
            http=self.ports[f"http-{index}"],
            rpc=self.ports[f"rpc-{index}"],
            platform=self.url("platform"),
        )
        text = self._add_tls(text, "tls", "internal_tls")
        self._run(f"entry-{index}", "entry", self._write(f"entry-{index}.toml", text))

    def _init_config(self):
        text = DOCUMENT.format(
            operator=hash_key(OPERATOR_KEY),
            customer=hash_key(CUSTOMER_KEY),
            upstreams="".join(self._make_upstream(name) for name in self.upstreams),
        )
        parse_document(text, source="test")
        path = self._write("document.toml", text)
        wait_until(lambda: self.client.get(f"{self.url('platform')}/counters"), "the platform")
        cmd = ["config", "init", path, "--platform-url", self.url("platform")]
        subprocess.run([sys.executable, "-m", "crocusvalve", *cmd], check=True, timeout=60)

    def _make_upstream(self, name):
        is_engine = name.startswith("engine")
        return UPSTREAM.format(
            name=name,
            kind="engine" if is_engine else "plain",
            domain=DOMAINS[int(name[-1])],
            agent=f"{HOST}:{self.ports[f'{name}-agent']}",
            url=self.url(name),
            serves=["small@v1", "small@v2"] if is_engine else [],
        )

    def _write(self, name, text):
        path = Path(self.dir.name) / name
        path.write_text(text.replace("'", '"'))
        return str(path)

    def _run(self, name, *args):
        log = open(Path(self.dir.name) / f"{name}.log", "ab")  # noqa: SIM115
        cmd = [sys.executable, "-m", "crocusvalve", *args]
        self.procs[name] = subprocess.Popen(cmd, stdout=log, stderr=log)

    def wait_ready(self, index):
        wait_until(lambda: self._sees_all(index), f"entry-{index} sees all upstreams")

    def _sees_all(self, index):
        report = self.get_status(index)
        rows = report.get("upstreams", ())
        return len(rows) == 4 and all(row["state"] in ("warm", "cold") for row in rows)

    def get_status(self, index):
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        return self.client.get(
            f"{self.url(f'http-{index}')}/admin/v1/status", headers=headers
        ).json()

    def call_admin(self, index, method, path, **kwargs):
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = f"{self.url(f'http-{index}')}/admin/v1{path}"
        return self.client.request(method, url, headers=headers, **kwargs)

    def set_faults(self, name, **faults):
        self.client.post(f"{self.url(name)}/faults", json=faults).raise_for_status()

    def signal(self, name, signum):
        self.procs[name].send_signal(signum)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.procs.pop(name).wait()

    def terminate(self, name):
        """Ask a process to stop; return its exit code."""
        proc = self.procs.pop(name)
        proc.send_signal(signal.SIGTERM)
        return proc.wait(timeout=GUARD_S)

    def read_log(self, name):
        return (Path(self.dir.name) / f"{name}.log").read_text()

    def close(self):
        for proc in self.procs.values():
            proc.send_signal(signal.SIGCONT)
            proc.kill()
        for proc in self.procs.values():
            proc.wait()
        self.client.close()
        self.dir.cleanup()


def make_headers(class_name, key="", **extra):
    headers = {"Authorization": f"Bearer {CUSTOMER_KEY}", "X-Crocusvalve-Class": class_name}
    if key:
        headers["Idempotency-Key"] = key
    return headers | extra


def make_chat(text, **extra):
    return {"model": "small", "messages": [{"role": "user", "content": text}]} | extra
