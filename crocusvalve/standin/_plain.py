"""Stand-in for a plain HTTP service (not a model engine), which counts repeated executions."""

from collections import Counter

import msgspec
import trio
from msgspec import Struct
from quart import Response, request
from quart_trio import QuartTrio

from crocusvalve.utils.serving import serve_app

__all__ = ["PlainCall", "PlainFaults", "StandinPlainService", "serve_plain"]

IDEMPOTENCY_HEADER = "Idempotency-Key"


class PlainCall(Struct, frozen=True):
    """A call that was executed."""

    method: str
    path: str
    idempotency_key: str
    body: bytes


class PlainFaults(Struct, kw_only=True):
    """Fault switches of a plain service.

    Attributes
    ----------
    slow_s : float
        Delay before a call is executed, in seconds.
    lose_answers : int
        Number of subsequent calls that are executed and answered with 502.
    hangs, hangs_after_effect : bool
        Whether calls hang before or after they are executed.
    is_down : bool
        Whether calls and health checks are answered with 503.
    """

    slow_s: float = 0.0
    lose_answers: int = 0
    hangs: bool = False
    hangs_after_effect: bool = False
    is_down: bool = False


class StandinPlainService:
    """A plain HTTP service that counts each execution of a call.

    Attributes
    ----------
    calls : list of PlainCall
        Executed calls, in order.
    n_by_key, n_by_path : Counter
        Numbers of executions by idempotency key and by path.
    n_started : int
        Number of calls received while the service was not down, executed or not.
    """

    def __init__(self):
        self.faults = PlainFaults()
        self.calls: list[PlainCall] = []
        self.n_by_key: Counter[str] = Counter()
        self.n_by_path: Counter[str] = Counter()
        self.n_started = 0

    def execute(self, call: PlainCall) -> dict:
        """Execute and count a call; repeats with the same idempotency key are executed again."""
        self.calls.append(call)
        self.n_by_path[call.path] += 1
        if call.idempotency_key:
            self.n_by_key[call.idempotency_key] += 1
        return {"done": True, "path": call.path, "execution": len(self.calls)}

    def list_repeated_keys(self) -> list[str]:
        """Return the idempotency keys whose calls were executed more than once."""
        return [key for key, n in self.n_by_key.items() if n > 1]


class PlainApp:
    """Handlers of the plain service's HTTP interface."""

    def __init__(self, service: StandinPlainService):
        self.service = service

    async def call(self, path: str) -> Response:
        """Execute and answer a call of any path, subject to the fault switches."""
        faults = self.service.faults
        if faults.is_down:
            return _json({"error": "down"}, 503)
        body = await request.get_data()
        self.service.n_started += 1
        if faults.hangs:
            await trio.sleep_forever()
        await trio.sleep(faults.slow_s)
        key = request.headers.get(IDEMPOTENCY_HEADER, "")
        result = self.service.execute(PlainCall(request.method, f"/{path}", key, body))
        if faults.hangs_after_effect:
            await trio.sleep_forever()
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            return _json({"error": "answer lost"}, 502)
        return _json(result)

    async def health(self) -> Response:
        """Answer ``GET /health``; 503 while the service is down."""
        return _json({"state": "down"}, 503) if self.service.faults.is_down else _json({})

    async def counts(self) -> Response:
        """Answer ``GET /standin/counts`` with the numbers of executions."""
        by_key, by_path = dict(self.service.n_by_key), dict(self.service.n_by_path)
        n_calls = len(self.service.calls)
        return _json({"n_calls": n_calls, "n_by_key": by_key, "n_by_path": by_path})

    async def set_faults(self) -> Response:
        """Answer ``POST /standin/faults``; omitted fields are reset to their defaults."""
        data = await request.get_data()
        self.service.faults = msgspec.json.decode(data, type=PlainFaults)
        return _json(self.service.faults)


def _json(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status=status, content_type="application/json")


def make_plain_app(service: StandinPlainService) -> QuartTrio:
    """Return the web application of a plain service."""
    handlers = PlainApp(service)
    app = QuartTrio("standin-plain")
    app.add_url_rule("/health", view_func=handlers.health, methods=["GET"])
    app.add_url_rule("/standin/counts", view_func=handlers.counts, methods=["GET"])
    app.add_url_rule("/standin/faults", view_func=handlers.set_faults, methods=["POST"])
    methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
    app.add_url_rule("/", view_func=handlers.call, methods=methods, defaults={"path": ""})
    app.add_url_rule("/<path:path>", view_func=handlers.call, methods=methods)
    return app


async def serve_plain(
    service: StandinPlainService,
    host: str = "127.0.0.1",
    port: int = 0,
    *,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a plain service until cancelled; ``task_status`` receives the port in use."""
    await serve_app(make_plain_app(service), host, port, task_status=task_status)
