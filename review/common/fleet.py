"""Small stand-ins for the cases of the review: platform store, engines, links, gateways, clients.

Only the standard library is used, so that a case needs nothing but the build of the deploy file.
Everything listens on loopback addresses. The gateways are the project's own program, started with
the command of ``deploy/system.toml`` as separate processes.
"""

import asyncio
import base64
import json
import os
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
#: Longest run of a case, in seconds.
LIMIT_S = 110.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

#: Bounds of the settings file, as the sheet of ``mdsm-crocus-grown`` has them.
GROWN_BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 4000,
    "ackMs": 6000,
    "catchUpS": 6,
    "drainMs": 3000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 3000,
    "revertMs": 250,
    "outerMs": 6000,
    "revokeMs": 5000,
    "retryRatio": 0.9,
    "retryWindowS": 10,
    "retrySlack": 88,
    "exposureShare": 0.12,
    "exposureSlack": 30,
    "rollbackMs": 5000,
    "coldOverage": 1.5,
    "coldSlack": 5,
    "evacuateMs": 5000,
    "recoverS": 15,
    "passMs": 200,
    "reuseWindowS": 10,
    "sessionS": 6.5,
}


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Lines with the time since the start, written to ``record.txt`` of a case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def add(self, what, **fields):
        """Write one line and return its time."""
        now = self.now()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{now:8.3f} {what} {text}".rstrip() + "\n")
        return now

    def say(self, text):
        """Write a line and show it."""
        self.add(text)
        print(text, flush=True)

    def close(self):
        """Close the file."""
        self.file.close()


async def read_message(reader):
    """Return start line, header fields (lower case) and body of a request; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            body += part[:-2]
    elif int(fields.get("content-length", 0)):
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except (OSError, AttributeError):
        pass
    writer.transport.abort()


class Store:
    """The platform's store: rows, a feed of changes and transactions."""

    def __init__(self, host, record):
        self.host, self.record = host, record
        self.port = 0
        self.ver = 1
        self.rows = {}
        self.changes = []
        self.changed = asyncio.Event()
        self.server = None

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, self.host, 0, limit=2**22)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Write a row (bytes as they are, others as JSON; None removes it); return its version."""
        if value is not None and not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.ver += 1
        self.rows[table, key] = (value, self.ver)
        self.changes.append((self.ver, table, key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.ver

    def get(self, table, key):
        """Return the decoded value of a row, or None."""
        value, _ = self.rows.get((table, key), (None, 0))
        return None if value is None else json.loads(value)

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                line, _, body = message
                method, target, _ = line.split(" ", 2)
                status, reply = await self._answer(method, target, body)
                data = json.dumps(reply).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-get":
            rows = [
                (ver, table, key, value)
                for (table, key), (value, ver) in sorted(self.rows.items())
                if table == query["table"] and value is not None
            ]
            return 200, self._page(rows)
        if url.path == "/rows-feed":
            table, after = query["table"], int(query["after"])
            end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                latest = {row[2]: row for row in self.changes if row[0] > after and row[1] == table}
                left = end - time.monotonic()
                if latest or left <= 0:
                    return 200, self._page(sorted(latest.values(), key=lambda row: row[0]))
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except TimeoutError:
                    continue
        if url.path == "/rows-tx":
            call = json.loads(body)
            for row in call.get("expectedRev", []):
                value, ver = self.rows.get((row["table"], row["key"]), (None, 0))
                if (0 if value is None else ver) != row["ver"]:
                    return 412, {"rows": [], "ver": self.ver, "nowMs": time.monotonic() * 1000}
            for row in call.get("setKeys", []):
                if row["table"] in ("op", "servers"):
                    return 403, {}
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
                self.record.add("store-write", table=row["table"], key=row["key"])
            for row in call.get("remove", []):
                self.put(row["table"], row["key"], None)
            return 200, {"ver": self.ver, "nowMs": time.monotonic() * 1000}
        return 404, {}

    def _page(self, rows):
        out = []
        for ver, table, key, value in rows:
            row = {"table": table, "part": "", "key": key, "ver": ver}
            if value is None:
                row["tombstone"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            out.append(row)
        page = {"rows": out, "ver": self.ver, "nowMs": time.monotonic() * 1000}
        return page | {"truncated": False}


class Link:
    """A proxy in front of the store; while it is cut it holds all bytes, in both directions."""

    def __init__(self, host, target):
        self.host, self.target = host, target
        self.port = 0
        self.is_cut = False
        self.mended = asyncio.Event()
        self.server = None
        self.n_feeds = {}

    async def start(self):
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self):
        """Hold all bytes from now on; new connections are accepted and not served."""
        self.is_cut = True
        self.mended.clear()

    def mend(self):
        """Pass bytes again."""
        self.is_cut = False
        self.mended.set()

    async def _serve(self, reader, writer):
        try:
            while self.is_cut:
                await self.mended.wait()
            there_reader, there_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        await asyncio.gather(
            self._pass(reader, there_writer, True), self._pass(there_reader, writer, False)
        )

    async def _pass(self, reader, writer, is_call):
        try:
            while data := await reader.read(65536):
                while self.is_cut:
                    await self.mended.wait()
                if is_call and data.startswith(b"GET /rows-feed"):
                    line = data.split(b"\r\n", 1)[0].decode()
                    table = parse_qs(urlsplit(line.split(" ")[1]).query)["table"][0]
                    self.n_feeds.setdefault(table, []).append(time.monotonic())
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()


class Engine:
    """A server of one service: registers, answers, crashes, drains and leaves as the pages say."""

    def __init__(self, fleet, name, service, zone, *, work_s=(0.06, 0.12), slots=6):
        self.fleet, self.record, self.store = fleet, fleet.record, fleet.store
        self.name, self.service, self.zone = name, service, zone
        self.work_s, self.slots = work_s, slots
        self.version, self.state = "v1", "ready"
        self.born, self.sequence = int(time.time() * 1000), 0
        self.port = 0
        self.server = None
        self.writers = set()
        self.running = {}
        self.runs = []
        self.is_registered = False
        #: Prefix of the paths that are answered by a stream, its events and the pause between them.
        self.streams, self.n_events, self.pause_s = "", 20, 0.15
        #: Seconds of its stream after which a deadly request ends the process.
        self.dies_after_s = 0.0
        #: Called with path and fields; returns the status of the answer.
        self.choose_status = lambda path, fields: 200
        #: Called with path and fields; returns bytes to send in place of an answer, or None.
        self.spoil = lambda path, fields: None
        #: Whether a request ends the process once it begins to run.
        self.is_deadly = lambda path, fields, body: False

    async def start(self, *, register=True):
        """Listen, on the same port as before, and register as a new incarnation."""
        self.server = await asyncio.start_server(
            self._serve, self.fleet.engine_host, self.port, limit=2**22
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.record.add("engine-start", engine=self.name, born=self.born)
        if register:
            self.is_registered = True
            self.write_entry()

    def make_entry(self):
        """Return the entry of the engine."""
        return {
            "service": self.service,
            "address": f"{self.fleet.engine_host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def write_entry(self):
        """Write the entry, as each heartbeat does."""
        self.sequence += 1
        return self.store.put("servers", self.name, self.make_entry())

    def crash(self, why="crash"):
        """End as a killed process does: nothing listens, and all connections are reset."""
        if self.server is None:
            return
        lost = [f"{path}#{attempt}" for path, attempt in self.running.values()]
        self.record.add("engine-" + why, engine=self.name, lost=",".join(lost) or "-")
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                if not await self._answer(message, reader, writer):
                    return
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, message, reader, writer):
        line, fields, body = message
        method, path, _ = line.split(" ", 2)
        if path == "/healthz":
            is_good = self.state == "ready"
            await self._send(writer, 200 if is_good else 503, {"X-Instance-Id": self.name}, b"")
            return True
        attempt = fields.get("x-attempt-id", "")
        if fields.get("x-expect-instance", self.name) != self.name:
            await self._send(writer, 421, {"X-Not-Executed": "1"}, b"")
            return True
        if len(self.running) >= self.slots * 4:
            await self._send(writer, 503, {"X-Not-Executed": "1"}, b"")
            return True
        self.runs.append((self.record.now(), attempt, path, fields))
        self.record.add(
            "run",
            engine=self.name,
            service=self.service,
            method=method,
            path=path,
            attempt=attempt,
            tenant=fields.get("x-tenant", "-"),
        )
        token = object()
        self.running[token] = (path, attempt)
        try:
            is_deadly = self.is_deadly(path, fields, body)
            if self.streams and path.startswith(self.streams):
                return await self._stream(writer, path, fields, is_deadly)
            if is_deadly:
                await asyncio.sleep(0.03)
                self.crash("crash-by-request")
                return False
            spoiled = self.spoil(path, fields)
            await asyncio.sleep(random.uniform(*self.work_s))
            if spoiled is not None:
                self.record.add("spoiled", engine=self.name, attempt=attempt)
                writer.write(spoiled)
                await writer.drain()
                return False
            if self.server is None:
                return False
            answer = f"{self.name} ran {method} {path} of attempt {attempt}".encode()
            signed = {"X-Attempt-Id": attempt, "X-Response-Signature": f"{self.name}.{attempt}"}
            await self._send(writer, self.choose_status(path, fields), signed, answer)
            return True
        finally:
            del self.running[token]

    async def _stream(self, writer, path, fields, is_deadly):
        attempt = fields.get("x-attempt-id", "")
        head = "HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += f"X-Attempt-Id: {attempt}\r\nX-Response-Signature: {self.name}.{attempt}\r\n\r\n"
        await asyncio.sleep(random.uniform(*self.work_s))
        writer.write(head.encode())
        began_at = time.monotonic()
        for number in range(int(fields.get("last-event-id", 0)) + 1, self.n_events + 1):
            if is_deadly and time.monotonic() >= began_at + self.dies_after_s:
                self.crash("crash-by-request")
                return False
            event = f"id: {number}\ndata: piece {number} of {path}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.pause_s)
            if self.server is None:
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    @staticmethod
    async def _send(writer, status, fields, body):
        head = f"HTTP/1.1 {status} X\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()


class Gateway:
    """One process of the project's program, with its settings file and its log."""

    def __init__(self, fleet, name, host, zone, store):
        self.fleet, self.name, self.host, self.zone, self.store = fleet, name, host, zone, store
        self.settings = fleet.folder / f"{name}.toml"
        self.process = None
        self.started_at = 0.0
        self.is_ready = False
        self.n_missed = 2

    def write_settings(self):
        """Write a settings file like the page's example."""
        fleet = self.fleet
        bounds = "\n".join(f"{name} = {value}" for name, value in fleet.bounds.items())
        zones = sorted({gateway.zone for gateway in fleet.gateways})
        seeds = [f"{gateway.host}:{fleet.control}" for gateway in fleet.gateways[:3]]
        self.settings.write_text(f"""nodeName = "{self.name}"
role = "entry"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{self.host}"
zone = "{self.zone}"
region = "delta-south"
internalPorts = [{fleet.internal}, {fleet.internal + 15}]
seeds = {json.dumps(seeds)}
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
{chr(10).join(f'{zone} = "delta-south"' for zone in zones)}
[listen]
front = "{self.host}:{fleet.front}"
ready = "{self.host}:{fleet.ready}"
control = "{self.host}:{fleet.control}"
[limits]
cores = 1
memoryMb = 300
maxFds = 4100
[bounds]
{bounds}
[platform]
address = "{self.store.host}:{self.store.port}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 3.0
partWritesPerS = 300
rowBytes = 65536
across = true
historyS = 20
""")

    def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"CROCUSVALVE_BOOT": str(self.settings), "PYTHONPATH": "target/deps"}
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.fleet.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)
        self.started_at = self.fleet.record.add("gateway-start", gateway=self.name)
        self.fleet.processes.append(self.process)

    def send_signal(self, number):
        """Send a signal to the process."""
        self.fleet.record.add("signal", gateway=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def kill(self):
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        while self.process.poll() is None:
            await asyncio.sleep(0.01)

    async def probe(self):
        """Ask for readiness once, as the platform does."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self.fleet.ready), 0.9
            )
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            data = await asyncio.wait_for(reader.read(100), 0.9)
            writer.close()
        except (OSError, TimeoutError):
            data = b""
        is_good = data.startswith(b"HTTP/1.1 200")
        self.n_missed = 0 if is_good else self.n_missed + 1
        is_ready = self.n_missed < 2
        if is_ready != self.is_ready:
            self.fleet.record.add("ready" if is_ready else "not-ready", gateway=self.name)
        self.is_ready = is_ready


class Answer:
    """What a client has received."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.is_whole = False

    @property
    def is_served(self):
        """Whether it is a whole success with the engine's signature."""
        return self.status == 200 and self.is_whole and "x-response-signature" in self.fields


class Fleet:
    """All parts of one case."""

    def __init__(self, folder, bounds=GROWN_BOUNDS):
        self.record = Record(Path(folder) / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.bounds = dict(bounds)
        self.processes, self.gateways, self.engines = [], [], []
        self.tasks = []
        self.n_attempts = 0
        self.base = f"127.{random.randint(32, 220)}.{random.randint(0, 250)}"
        self.engine_host = f"{self.base}.2"
        self.store = Store(f"{self.base}.1", self.record)
        self.front = self.ready = self.control = self.internal = 0

    async def start(self, zones, engines, config, *, links=False):
        """Start the store, the engines (name, service, zone, options) and a gateway per zone."""
        self.record.add("case", trouble=int(TROUBLE))
        await self.store.start()
        self._choose_ports(len(zones))
        for name, service, zone, options in engines:
            engine = Engine(self, name, service, zone, **options)
            self.engines.append(engine)
            await engine.start()
        self.put_config(config)
        for number, zone in enumerate(zones):
            host = f"{self.base}.{10 + number}"
            store = self.store
            if links:
                store = Link(host, (self.store.host, self.store.port))
                await store.start()
            self.gateways.append(Gateway(self, f"edge-{number + 1:02d}", host, zone, store))
        for gateway in self.gateways:
            gateway.write_settings()
            gateway.start()
        self.spawn(self._beat())
        self.spawn(self._probe())
        await self.wait_until(lambda: all(gateway.is_ready for gateway in self.gateways), 20.0)

    def _choose_ports(self, n_gateways):
        """Choose ports that are free on the hosts of all gateways."""
        for _ in range(50):
            first = random.randint(20000, 29000)
            ports = [first, first + 1, first + 2, first + 10]
            try:
                for number in range(n_gateways):
                    for port in ports:
                        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                            with socket.socket(socket.AF_INET, kind) as sock:
                                sock.bind((f"{self.base}.{10 + number}", port))
            except OSError:
                continue
            self.front, self.ready, self.control, self.internal = ports
            return
        raise CaseError("no free ports")

    def put_config(self, config):
        """Write a configuration; the return of this call is its acknowledgement."""
        self.store.put("op", "config", config)
        return self.record.add("config-acknowledged", version=config["version"])

    def spawn(self, task):
        """Run a task until the end of the case."""
        self.tasks.append(asyncio.ensure_future(task))
        return self.tasks[-1]

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            for engine in self.engines:
                if engine.is_registered and engine.server is not None:
                    engine.write_entry()

    async def _probe(self):
        while True:
            await asyncio.gather(*(gateway.probe() for gateway in self.gateways))
            await asyncio.sleep(1.0 if all(g.is_ready for g in self.gateways) else 0.5)

    async def wait_until(self, holds, limit_s):
        """Wait until a condition holds; the case can't run if it doesn't in time."""
        end = time.monotonic() + limit_s
        while not holds():
            if time.monotonic() > end:
                raise CaseError("a part of the case did not become ready")
            await asyncio.sleep(0.05)

    def choose_gateway(self):
        """Return a gateway in rotation, as the platform does."""
        return random.choice([g for g in self.gateways if g.is_ready] or self.gateways)

    async def send(self, gateway, method, path, *, key="", deadline_ms=4000, body=b"", fields=()):
        """Send one attempt on a new connection and return the answer."""
        self.n_attempts += 1
        attempt = f"{self.n_attempts:08x}{random.getrandbits(32):08x}"
        answer = Answer()
        answer.attempt = attempt
        answer.sent_at = self.record.now()
        head = f"{method} {path} HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: {attempt}\r\n"
        head += f"X-Deadline-Ms: {deadline_ms}\r\nConnection: close\r\n"
        if key:
            head += f"Authorization: Bearer {key}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields)
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(gateway.host, self.front)
                writer.write(head.encode() + b"\r\n" + body)
                await self._read(reader, answer)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        answer.answered_at = self.record.now()
        code = ""
        if answer.status not in (0, 200):
            code = answer.body[:120].decode("latin-1").replace(" ", "_").replace("\n", "")
        self.record.add(
            "answer",
            gateway=gateway.name,
            method=method,
            path=path,
            attempt=attempt,
            sent=f"{answer.sent_at:.3f}",
            status=answer.status,
            whole=int(answer.is_whole),
            signed=int("x-response-signature" in answer.fields),
            body=code or answer.body[:60].decode("latin-1").replace(" ", "_"),
        )
        return answer

    @staticmethod
    async def _read(reader, answer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        answer.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if colon:
                answer.fields[name.strip().lower()] = value.strip()
        if "chunked" in answer.fields.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if not size:
                    break
                answer.body += part[:-2]
        else:
            answer.body = await reader.readexactly(int(answer.fields.get("content-length", 0)))
        answer.is_whole = True

    async def stop(self):
        """End everything that the case has started, and remove its folder."""
        for task in self.tasks:
            task.cancel()
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.folder.iterdir():
                Path(keep).mkdir(parents=True, exist_ok=True)
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        for path in self.folder.iterdir():
            path.unlink()
        self.folder.rmdir()
        self.record.close()


def make_route(name, prefix, kind, service, **changes):
    """Return a route of the host ``api.example``."""
    route = {"name": name, "host": "api.example", "prefix": prefix, "routeKind": kind}
    route |= {"service": service, "timeoutMs": 4000, "goalMs": 400, "priority": 2}
    return route | {"maxAttempts": 2 if kind == "safe" else 1} | changes


def make_config(version, routes, services, tenants=None):
    """Return a configuration."""
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576}
    limits |= {"headerTimeoutMs": 5000, "idleTimeoutMs": 15000}
    config = {"version": version, "routes": routes, "limits": limits}
    config["services"] = [{"name": name, "healthPath": "/healthz"} for name in services]
    if tenants:
        config["tenants"] = [{"name": name, "apiKeys": keys} for name, keys in tenants.items()]
    return config


def run_case(folder, play):
    """Run ``play(fleet)``, which returns whether the rule held; exit with the case's code."""

    async def main():
        fleet = Fleet(folder)
        try:
            async with asyncio.timeout(LIMIT_S):
                return HELD if await play(fleet) else BROKEN
        except CaseError as exc:
            fleet.record.say(f"the case could not run: {exc}")
            return NOT_RUN
        except Exception:
            traceback.print_exc()
            fleet.record.say("the case could not run")
            return NOT_RUN
        finally:
            await fleet.stop()

    sys.exit(asyncio.run(main()))
