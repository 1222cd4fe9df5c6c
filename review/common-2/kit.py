"""Stand-ins of the store, engines, clients and links for the scripts of the second review.

Standard library only. The store, the engines and the clients do what PROTOCOL.md says of them and
nothing more; every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import uuid
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "api.example"
ZONES = ("can-tho", "soc-trang", "vinh-long")
READ_BYTES = 65536
#: Bounds of the sheet of mdsm-crocus, in seconds.
BOUNDS = {
    "contactMs": 3000, "drainMs": 2000, "graceS": 8, "configMs": 2000, "revertMs": 250,
    "retryRatio": 0.9, "retryWindowS": 10, "retrySlack": 54, "exposureShare": 0.15,
    "exposureSlack": 30, "rollbackMs": 5000, "coldOverage": 1.5, "coldSlack": 5,
    "evacuateMs": 5000, "recoverS": 12, "passMs": 120, "reuseWindowS": 10, "sessionS": 5,
    "lossSlackMs": 200, "outerMs": 5000, "ackMs": 4000, "catchUpS": 4, "seedLagS": 3,
    "reuseAfterS": 2, "revokeMs": 5000, "failClosed": False,
}


class Record:
    """Lines of ``record.txt``, with the seconds since the start of the script."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


class Broken(Exception):
    """The peer closed or broke the connection."""


async def read_message(reader, *, is_request):
    """Read one HTTP/1.1 message; return the first line, the fields, and the body.

    Returns None at a clean end before the first byte.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if not exc.partial:
            return None
        raise Broken("ended within a head") from exc
    except (ConnectionError, OSError) as exc:
        raise Broken(str(exc)) from exc
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
        elif "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        elif is_request:
            body = b""
        else:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as exc:
        raise Broken("ended within a body") from exc
    return first, fields, body


def make_answer(status, fields, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset_writer(writer):
    """Close a connection by a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


class HttpServer:
    """Serves requests one after the other on each connection."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader, is_request=True)) is not None:
                if not await self.answer(*message, reader, writer):
                    break
        except (Broken, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, first, fields, body, reader, writer):
        raise NotImplementedError


class Store(HttpServer):
    """The platform's metadata store: rows, transactions, a feed of changes."""

    def __init__(self, host="127.0.0.1"):
        super().__init__(host)
        self.ver = 0
        self.rows = {}
        self.changes = []
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self._write([(table, key, data)])

    def drop(self, table, key):
        return self._write([(table, key, None)])

    def get(self, table, key):
        value, _ = self.rows.get((table, key), (None, 0))
        return None if value is None else json.loads(value)

    def _write(self, writes):
        self.ver += 1
        for table, key, value in writes:
            self.rows[table, key] = (value, self.ver)
            self.changes.append((self.ver, table, key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.ver

    @staticmethod
    def _show(table, key, value, ver):
        row = {"table": table, "part": "", "key": key, "ver": ver}
        if value is None:
            row["tombstone"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def answer(self, first, fields, body, reader, writer):
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        from urllib.parse import parse_qsl

        args = dict(parse_qsl(query, keep_blank_values=True))
        await asyncio.sleep(0.004)
        status, reply = 200, {}
        if path == "/rows-get":
            rows = sorted(
                (key, value, ver)
                for (table, key), (value, ver) in self.rows.items()
                if table == args["table"] and value is not None and key >= args.get("from", "")
            )
            limit = min(500, int(args.get("limit", 500)))
            reply = {
                "rows": [self._show(args["table"], *row) for row in rows[:limit]],
                "truncated": len(rows) > limit,
            }
        elif path == "/rows-feed":
            after, until = int(args["after"]), time.monotonic() + int(args["waitMs"]) / 1000
            while True:
                latest = {}
                for ver, table, key, value in self.changes:
                    if ver > after and table == args["table"]:
                        latest[key] = (value, ver)
                left = until - time.monotonic()
                if latest or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            ordered = sorted(latest.items(), key=lambda item: item[1][1])
            reply = {"rows": [self._show(args["table"], key, *row) for key, row in ordered]}
        elif path == "/rows-tx":
            call = json.loads(body)
            unmet = [
                row
                for row in call.get("expectedRev", [])
                if self._current_ver(row["table"], row["key"]) != row["ver"]
            ]
            if unmet:
                status, reply = 412, {"rows": []}
            else:
                writes = [
                    (row["table"], row["key"], base64.b64decode(row["value"]))
                    for row in call.get("setKeys", [])
                ]
                writes += [(row["table"], row["key"], None) for row in call.get("remove", [])]
                self._write(writes)
        else:
            status = 404
        reply |= {"ver": self.ver, "nowMs": time.monotonic() * 1000}
        data = json.dumps(reply).encode()
        writer.write(make_answer(status, {"Content-Type": "application/json"}, data))
        await writer.drain()
        return True

    def _current_ver(self, table, key):
        value, ver = self.rows.get((table, key), (None, 0))
        return 0 if value is None else ver


class Engine(HttpServer):
    """A sound engine of a plain service: runs each request it accepts, and answers it whole."""

    def __init__(self, record, store, service, zone, host="127.0.0.1", *, slots=64, work_s=0.03):
        super().__init__(host)
        self.record = record
        self.store = store
        self.service = service
        self.zone = zone
        self.id = f"i-{uuid.uuid4().hex[:10]}"
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs = []
        self.is_registered = True
        self.version = "v1"

    async def start(self):
        await super().start()
        self.register()
        self.task = asyncio.create_task(self._beat())

    def register(self):
        self.sequence += 1
        self.store.put(
            "servers",
            self.id,
            {
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": self.version, "slots": self.slots, "state": self.state,
                "coldLeftMs": 0, "sequence": self.sequence, "born": self.born,
            },
        )

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            if self.is_registered:
                self.register()

    async def answer(self, first, fields, body, reader, writer):
        attempt = fields.get("x-attempt-id", "")
        common = {"X-Attempt-Id": attempt, "Content-Type": "text/plain"}
        if self.state == "draining":
            common["Server-Leaving"] = "1"
        if fields.get("x-expect-instance", self.id) != self.id:
            writer.write(make_answer(421, common | {"X-Not-Executed": "1"}))
            await writer.drain()
            return True
        if not attempt:
            writer.write(make_answer(400, common | {"X-Not-Executed": "1"}))
            await writer.drain()
            return True
        self.runs.append((self.record.now(), attempt))
        self.record(f"run      {attempt} {first} at {self.service} {self.id}")
        return await self.work(first, fields, body, common, reader, writer)

    async def work(self, first, fields, body, common, reader, writer):
        await asyncio.sleep(self.work_s)
        answer = f"{self.id} {fields['x-attempt-id']} {len(body)}\n".encode() * 8
        signature = uuid.uuid4().hex
        writer.write(make_answer(200, common | {"X-Response-Signature": signature}, answer))
        await writer.drain()
        return True


class Link:
    """Forwards connections; ``mute_all`` silences those that are open, while new ones work."""

    def __init__(self, target, host="127.0.0.1"):
        self.target = target
        self.host = host
        self.port = 0
        self.pairs = set()
        self.muted = set()
        #: Seconds by which bytes are delayed each way.
        self.delay_s = 0.0
        self.is_cut = False
        self.uncut = asyncio.Event()
        self.uncut.set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        server = await asyncio.start_server(self._serve, self.host, 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]

    def mute_all(self):
        self.muted |= self.pairs

    def reset_all(self):
        for pair in list(self.pairs):
            for writer in pair:
                reset_writer(writer)

    def cut(self):
        """Hold back all bytes, those of new connections too."""
        self.is_cut = True
        self.uncut.clear()

    def heal(self):
        self.is_cut = False
        self.uncut.set()

    async def _serve(self, reader, writer):
        host, port = self.target.host, self.target.port
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            reset_writer(writer)
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        try:
            await asyncio.gather(
                self._forward(reader, far_writer, pair), self._forward(far_reader, writer, pair)
            )
        except (ConnectionError, OSError):
            for end in pair:
                reset_writer(end)
        finally:
            self.pairs.discard(pair)
            self.muted.discard(pair)
            for end in pair:
                end.close()

    async def _forward(self, reader, writer, pair):
        while data := await reader.read(READ_BYTES):
            if pair in self.muted:
                # Nothing is forwarded any more; the connection stays open.
                await asyncio.Event().wait()
            await self.uncut.wait()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        if pair not in self.muted:
            writer.write_eof()


class Gateway:
    """One process of the deploy file's role, with a settings file like that of a machine."""

    def __init__(self, record, folder, number, zone, store_address, seeds, ports, memory_mb=300):
        self.record = record
        self.name = f"edge-{zone}-{number + 1}"
        self.host = host_of(number)
        self.zone = zone
        self.ports = ports
        self.folder = Path(folder)
        self.process = None
        self.log = None
        front, ready, control, internal = ports
        bounds = "\n".join(
            f"{key} = {json.dumps(value)}" for key, value in BOUNDS.items()
        )
        quoted = ", ".join(f'"{seed}:{control}"' for seed in seeds)
        zones = "\n".join(f'{zone} = "delta-south"' for zone in ZONES)
        self.path = self.folder / f"{self.name}.toml"
        self.path.write_text(
            f"""
nodeName = "{self.name}"
role = "entry"
machineClass = "edge"
serves = ["edge", "control_plane"]
ip = "{self.host}"
zone = "{zone}"
region = "delta-south"
internalPorts = [{internal}, {internal + 15}]
seeds = [{quoted}]
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream",
  "tenants", "places", "platform", "rollout"]
[zones]
{zones}
[listen]
front = "{self.host}:{front}"
ready = "{self.host}:{ready}"
control = "{self.host}:{control}"
[limits]
cpuShare = 0.817
cores = 1
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
{bounds}
[platform]
address = "{store_address}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 3.0
partWritesPerS = 300
rowBytes = 65536
across = true
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
"""
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        environ = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environ["CROCUSVALVE_BOOT"] = str(self.path)
        environ["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environ["PYTHONDONTWRITEBYTECODE"] = "1"
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            ["python3", "-m", "crocusvalve.gateway"],
            cwd=REPOSITORY, env=environ, stdout=self.log, stderr=self.log,
        )
        self.record(f"start    {self.name} at {self.host}")

    def send_signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.record(f"signal   {self.name} {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports[1])
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader, is_request=False), 1.0)
            writer.close()
        except (OSError, Broken, asyncio.TimeoutError):
            return False
        return message is not None and message[0].split(" ")[1] == "200"


def host_of(number):
    """Return the loopback address of a gateway; another block for each run of a script."""
    return f"127.{BLOCK}.{1 + number}.1"


BLOCK = 64 + os.getpid() % 128


def find_ports():
    """Return ports for front, ready, control and the first internal one, free on all hosts."""
    for _ in range(200):
        base = random.randrange(20000, 30000, 32)
        ports = (base, base + 1, base + 2, base + 8)
        try:
            for number in range(6):
                for port in ports:
                    with socket.socket() as sock:
                        sock.bind((host_of(number), port))
            return ports
        except OSError:
            continue
    raise SystemExit(2)


class Answer:
    """What a client got: ``status`` is 0 if the connection ended without a complete answer."""

    def __init__(self, attempt, sent_at):
        self.attempt = attempt
        self.sent_at = sent_at
        self.status = 0
        self.fields = {}
        self.body = b""
        self.ended_at = None
        self.error = ""


async def send(record, gateway, path, *, method="GET", body=b"", timeout_s=4.0, fields=None):
    """Send one request on a new connection, and return its answer."""
    attempt = uuid.uuid4().hex[:16]
    answer = Answer(attempt, record.now())
    head = {
        "Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": str(int(timeout_s * 1000)),
        "Connection": "close",
    } | (fields or {})
    if body or method == "POST":
        head["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in head.items())]
    data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
    record(f"send     {attempt} {method} {path} to {gateway.name}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(gateway.host, gateway.ports[0])
            answer.sent_at = record.now()
            writer.write(data)
            await writer.drain()
            message = await read_message(reader, is_request=False)
            if message is not None:
                answer.status = int(message[0].split(" ")[1])
                answer.fields, answer.body = message[1], message[2]
            else:
                answer.error = "closed"
    except (OSError, Broken, TimeoutError) as exc:
        answer.error = f"{type(exc).__name__} {exc}"
    finally:
        if writer is not None:
            writer.close()
    answer.ended_at = record.now()
    record(f"answer   {attempt} {answer.status or answer.error}")
    return answer


def make_route(name, prefix, service, kind="safe", **changes):
    return {
        "name": name, "host": HOST, "prefix": prefix, "routeKind": kind, "service": service,
        "timeoutMs": 2000, "goalMs": 300, "priority": 2, "maxAttempts": 2, "public": True,
    } | changes


def make_config(version, routes, services, **changes):
    return {
        "version": version, "routes": routes,
        "services": [{"name": name, "healthPath": "/healthz"} for name in services],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
    } | changes


class Cluster:
    """Gateways in three zones, each with a link of its own to the store."""

    def __init__(self, folder, n_gateways=3, memory_mb=300):
        self.record = Record(folder)
        self.work = tempfile.TemporaryDirectory(prefix="review-")
        self.store = Store()
        self.n_gateways = n_gateways
        self.memory_mb = memory_mb
        self.engines = []
        self.links = []
        self.gateways = []
        self.tasks = []

    def now(self):
        return self.record.now()

    async def add_engine(self, service, zone, **kwargs):
        engine = kwargs.pop("cls", Engine)(self.record, self.store, service, zone, **kwargs)
        await engine.start()
        self.engines.append(engine)
        return engine

    def put_config(self, config):
        self.store.put("op", "config", config)
        moved = {route["name"]: route["service"] for route in config["routes"]}
        self.record(f"config   version {config['version']} acknowledged: {moved}")
        return self.now()

    async def start_gateways(self):
        ports = find_ports()
        seeds = [host_of(number) for number in range(min(3, self.n_gateways))]
        for number in range(self.n_gateways):
            link = Link(self.store)
            await link.start()
            self.links.append(link)
            gateway = Gateway(
                self.record, self.work.name, number, ZONES[number % 3], link.address, seeds,
                ports, self.memory_mb,
            )
            self.gateways.append(gateway)
            gateway.start()
        await self.wait_ready()

    async def wait_ready(self, timeout_s=12.0):
        until = time.monotonic() + timeout_s
        for gateway in self.gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until:
                    raise CannotRun(f"{gateway.name} isn't ready after {timeout_s} s")
                await asyncio.sleep(0.1)
        self.record("all gateways are ready")

    def stop(self):
        for gateway in self.gateways:
            if gateway.process is not None:
                if gateway.process.poll() is None:
                    gateway.process.send_signal(signal.SIGCONT)
                    gateway.process.kill()
                gateway.process.wait()
                gateway.log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil

            shutil.copytree(self.work.name, keep, dirs_exist_ok=True)
        self.work.cleanup()


class CannotRun(Exception):
    """The case couldn't run."""


def main(case, folder, **kwargs):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

    async def run():
        # Tasks of connections that are still open at the end are cancelled; that is no error.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        cluster = Cluster(folder, **kwargs)
        try:
            async with asyncio.timeout(115):
                await cluster.store.start()
                return await case(cluster)
        except (CannotRun, TimeoutError) as exc:
            cluster.record.say(f"couldn't run: {exc!r}")
            return 2
        finally:
            cluster.stop()

    try:
        code = asyncio.run(run())
    except Exception as exc:
        import traceback

        traceback.print_exc()
        print(f"couldn't run: {exc!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
