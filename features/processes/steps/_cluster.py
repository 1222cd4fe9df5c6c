"""A cluster of separate processes, with stand-ins for upstreams and the platform, per scenario."""

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
#: Limit for each wait; it only guards against a hang.
TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.05

#: Configuration document of one member, "delta", with two failure domains.
DOCUMENT_TEMPLATE = """
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
#: Section of the configuration document for one upstream.
UPSTREAM_TEMPLATE = """
[members.delta.upstreams.{name}]
kind = "{kind}"
domain = "{domain}"
agent = "{agent}"
url = "{url}"
serves = {serves}
cold_limit = 2
warm_limit = 8
"""
#: Settings file of an entry.
ENTRY_TEMPLATE = """
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
#: Settings file of an agent.
AGENT_TEMPLATE = """
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
#: Model versions that both engines serve.
ENGINE_VERSIONS = ("delta/small@v1", "delta/small@v2")
#: Failure domain of the upstreams by the index at the end of their names.
DOMAIN_NAMES = ("north", "south")
CUSTOMER_KEY = "customer-key-of-the-test"
OPERATOR_KEY = "operator-key-of-the-test"


def wait_until(condition, description):
    """Poll a condition and return its first true result; HTTP errors count as false.

    Raises
    ------
    AssertionError
        After ``TIMEOUT_S``, with ``description``, a clause that says what should have happened.
    """
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(httpx.HTTPError):
            result = condition()
            if result:
                return result
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"condition not met within {TIMEOUT_S} s: {description}")


class Cluster:
    """Platform, two engines, two plain services, their agents and two entries.

    Attributes
    ----------
    processes : dict of str to subprocess.Popen
        Running processes by name: ``platform``, ``engine-0``, ``plain-0``, ``agent-engine-0``,
        ``entry-0`` and so on.
    ports : dict of str to int
        Loopback ports by name; ``http-0`` and ``rpc-0`` belong to entry 0.
    http_client : httpx.Client
        Client for the callers' and operators' HTTP interfaces and the stand-ins.
    tls_paths : dict or None
        Paths of the PEM files ``ca``, ``cert`` and ``key``; None without TLS.
    """

    def __init__(self, *, has_tls=False):
        self.work_dir = tempfile.TemporaryDirectory()
        self.scheme = "https" if has_tls else "http"
        self.tls_paths = self._make_tls() if has_tls else None
        self.processes = {}
        self.urls = {}
        names = ["platform", "http-0", "rpc-0", "http-1", "rpc-1"]
        names += [f"{kind}-{i}{suffix}" for kind in ("engine", "plain") for i in (0, 1)
                  for suffix in ("", "-agent")]  # fmt: skip
        self.ports = dict(zip(names, find_free_ports(len(names)), strict=True))
        verify = self.tls_paths["ca"] if has_tls else True
        self.http_client = httpx.Client(timeout=60.0, trust_env=False, verify=verify)

    def _make_tls(self):
        """Write a private certificate authority and one certificate and key; return their paths."""
        authority = trustme.CA()
        cert = authority.issue_cert(HOST)
        paths = {
            name: str(Path(self.work_dir.name) / f"{name}.pem") for name in ("ca", "cert", "key")
        }
        authority.cert_pem.write_to_path(paths["ca"])
        cert.cert_chain_pems[0].write_to_path(paths["cert"])
        cert.private_key_pem.write_to_path(paths["key"])
        return paths

    def _add_tls(self, text, *sections):
        """Append TLS sections to the text of a settings file if the cluster uses TLS."""
        if self.tls_paths is None:
            return text
        for section in sections:
            names = ("cert", "key", "ca") if section == "internal_tls" else ("cert", "key")
            text += f"\n[{section}]\n" + "".join(f'{n} = "{self.tls_paths[n]}"\n' for n in names)
        return text

    def get_url(self, name):
        """Return the base URL of a process or of an HTTP port by its name in ``ports``."""
        scheme = self.scheme if name.startswith("http-") else "http"
        return f"{scheme}://{HOST}:{self.ports[name]}"

    def start(self):
        """Start all processes and wait until both entries report all upstreams as warm or cold."""
        self._start_process(
            "platform", "standin", "platform", "--port", str(self.ports["platform"])
        )
        for index in (0, 1):
            self.start_engine(index)
            self._start_process(
                f"plain-{index}", "standin", "plain", "--port", str(self.ports[f"plain-{index}"])
            )
        self._init_config()
        for name in self.upstream_names:
            self.start_agent(name)
        for index in (0, 1):
            self.start_entry(index)
        for index in (0, 1):
            self.wait_until_ready(index)

    @property
    def upstream_names(self):
        return ("engine-0", "engine-1", "plain-0", "plain-1")

    def start_engine(self, index, *extra_args):
        """Start a stand-in engine; ``extra_args`` are further arguments of its command."""
        port = str(self.ports[f"engine-{index}"])
        self._start_process(
            f"engine-{index}", "standin", "engine", *ENGINE_VERSIONS, "--port", port, *extra_args
        )

    def start_agent(self, name):
        text = AGENT_TEMPLATE.format(
            name=name,
            url=self.get_url(name),
            domain=DOMAIN_NAMES[int(name[-1])],
            entries=[f"{HOST}:{self.ports[f'rpc-{i}']}" for i in (0, 1)],
            internal=INTERNAL_KEY,
            port=self.ports[f"{name}-agent"],
        )
        self._start_process(
            f"agent-{name}",
            "agent",
            self._write_file(f"agent-{name}.toml", self._add_tls(text, "internal_tls")),
        )

    def start_entry(self, index):
        text = ENTRY_TEMPLATE.format(
            node=f"entry-{index}",
            peers=[f"{HOST}:{self.ports[f'rpc-{1 - index}']}"],
            internal=INTERNAL_KEY,
            session=SESSION_KEY,
            http=self.ports[f"http-{index}"],
            rpc=self.ports[f"rpc-{index}"],
            platform=self.get_url("platform"),
        )
        text = self._add_tls(text, "tls", "internal_tls")
        self._start_process(
            f"entry-{index}", "entry", self._write_file(f"entry-{index}.toml", text)
        )

    def _init_config(self):
        """Write the configuration document to the platform as its first revision."""
        text = DOCUMENT_TEMPLATE.format(
            operator=hash_key(OPERATOR_KEY),
            customer=hash_key(CUSTOMER_KEY),
            upstreams="".join(self._format_upstream(name) for name in self.upstream_names),
        )
        parse_document(text, source="test")
        path = self._write_file("document.toml", text)
        wait_until(
            lambda: self.http_client.get(f"{self.get_url('platform')}/counters"),
            "the platform answers",
        )
        cmd = ["config", "init", path, "--platform-url", self.get_url("platform")]
        subprocess.run([sys.executable, "-m", "crocusvalve", *cmd], check=True, timeout=60)

    def _format_upstream(self, name):
        """Return the section of the configuration document for an upstream."""
        is_engine = name.startswith("engine")
        return UPSTREAM_TEMPLATE.format(
            name=name,
            kind="engine" if is_engine else "plain",
            domain=DOMAIN_NAMES[int(name[-1])],
            agent=f"{HOST}:{self.ports[f'{name}-agent']}",
            url=self.get_url(name),
            serves=["small@v1", "small@v2"] if is_engine else [],
        )

    def _write_file(self, name, text):
        """Write a TOML file, with single quotes of Python lists made double; return its path."""
        path = Path(self.work_dir.name) / name
        path.write_text(text.replace("'", '"'))
        return str(path)

    def _start_process(self, name, *args):
        """Start a ``crocusvalve`` command whose output is appended to a log file."""
        log = open(Path(self.work_dir.name) / f"{name}.log", "ab")  # noqa: SIM115
        cmd = [sys.executable, "-m", "crocusvalve", *args]
        self.processes[name] = subprocess.Popen(cmd, stdout=log, stderr=log)

    def wait_until_ready(self, index):
        wait_until(
            lambda: self._sees_all_upstreams(index),
            f"entry-{index} reports all upstreams as warm or cold",
        )

    def _sees_all_upstreams(self, index):
        report = self.get_status(index)
        rows = report.get("upstreams", ())
        return len(rows) == 4 and all(row["state"] in ("warm", "cold") for row in rows)

    def get_status(self, index):
        """Return the status report that an entry gives to operators."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        return self.http_client.get(
            f"{self.get_url(f'http-{index}')}/admin/v1/status", headers=headers
        ).json()

    def call_admin(self, index, method, path, **kwargs):
        """Call the operators' API of an entry and return the response."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = f"{self.get_url(f'http-{index}')}/admin/v1{path}"
        return self.http_client.request(method, url, headers=headers, **kwargs)

    def set_faults(self, name, **faults):
        """Set fault switches of a stand-in.

        An engine leaves switches that are not given unchanged; the platform resets them.
        """
        self.http_client.post(f"{self.get_url(name)}/faults", json=faults).raise_for_status()

    def send_signal(self, name, signum):
        self.processes[name].send_signal(signum)

    def kill(self, name):
        """Kill a process by SIGKILL and wait for its end."""
        self.send_signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def terminate(self, name):
        """Stop a process by SIGTERM and return its exit code."""
        proc = self.processes.pop(name)
        proc.send_signal(signal.SIGTERM)
        return proc.wait(timeout=TIMEOUT_S)

    def read_log(self, name):
        return (Path(self.work_dir.name) / f"{name}.log").read_text()

    def close(self):
        """Kill all processes, also suspended ones, and remove their files."""
        for proc in self.processes.values():
            proc.send_signal(signal.SIGCONT)
            proc.kill()
        for proc in self.processes.values():
            proc.wait()
        self.http_client.close()
        self.work_dir.cleanup()


def make_request_headers(class_name, key="", **extra):
    """Return the headers of a customer's request; ``key`` is the idempotency key."""
    headers = {"Authorization": f"Bearer {CUSTOMER_KEY}", "X-Crocusvalve-Class": class_name}
    if key:
        headers["Idempotency-Key"] = key
    return headers | extra


def make_chat_body(text, **extra):
    """Return the JSON body of a chat completion request; ``extra`` holds further fields."""
    return {"model": "small", "messages": [{"role": "user", "content": text}]} | extra
