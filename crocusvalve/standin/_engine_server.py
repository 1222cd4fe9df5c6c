"""HTTP server of the stand-in engine: OpenAI-compatible completions, load, orders and faults."""

from collections.abc import AsyncIterator
from typing import Any

import msgspec
import trio
from msgspec import Struct
from quart import Response, request
from quart_trio import QuartTrio

from crocusvalve.base import Priority, UpstreamState, VersionRef
from crocusvalve.standin._engine import EngineOrder, FaultRequest, StandinEngine
from crocusvalve.standin._engine_types import EngineRefusedError, EngineRun, EngineRunState
from crocusvalve.utils import Clock, MonotonicClock
from crocusvalve.utils.serving import serve_app

__all__ = ["make_engine_app", "serve_engine"]

TICK_S = 0.01
ENDED_STATES = (EngineRunState.DONE, EngineRunState.CANCELLED, EngineRunState.LOST)


class TextPart(Struct, frozen=True):
    """A text part of the content of a chat message."""

    text: str = ""


class ChatMessage(Struct, frozen=True):
    """A chat message of the OpenAI format."""

    role: str
    content: str | list[TextPart] | None = None


class ChatRequest(Struct, frozen=True):
    """Body of a chat completion request; unknown fields are ignored."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    priority: int = int(Priority.NORMAL)


class RunReference(Struct, frozen=True):
    """Body that identifies a run; ``from_token`` is how many tokens the caller already has."""

    id: str
    from_token: int = 0


def make_prompt(messages: list[ChatMessage]) -> str:
    """Return a prompt with the messages of a chat, one per line after the role."""
    texts = []
    for message in messages:
        content = message.content or ""
        if isinstance(content, list):
            content = " ".join(part.text for part in content)
        texts.append(f"{message.role}: {content}")
    return "\n".join(texts)


class EngineApp:
    """Handlers of the engine's HTTP interface."""

    def __init__(self, engine: StandinEngine, clock: Clock):
        self.engine = engine
        self.clock = clock
        self._n_runs = 0
        self._ticked = trio.Event()

    async def tick(self) -> None:
        """Advance the simulation every ``TICK_S`` and wake waiting replies, until cancelled."""
        while True:
            await trio.sleep(TICK_S)
            self.engine.step(self.clock.now())
            ticked, self._ticked = self._ticked, trio.Event()
            ticked.set()

    async def chat(self) -> Response:
        """Answer ``POST /v1/chat/completions`` with a complete answer or a stream."""
        try:
            body = msgspec.json.decode(await request.get_data(), type=ChatRequest)
        except msgspec.DecodeError as exc:
            return _error(400, "bad_request", str(exc))
        self._n_runs += 1
        run_id = request.headers.get("X-Request-Id") or f"run-{self._n_runs}"
        try:
            run = self.engine.submit(
                run_id,
                VersionRef(body.model),
                make_prompt(body.messages),
                self.clock.now(),
                max_tokens=body.max_completion_tokens or body.max_tokens or 0,
                priority=Priority(min(max(body.priority, 0), 2)),
            )
        except EngineRefusedError as exc:
            return _error(exc.status, exc.code, str(exc))
        if body.stream:
            return Response(self._stream(run, 0), content_type="text/event-stream")
        return await self._answer(run)

    async def resume(self) -> Response:
        """Answer ``POST /resume`` with the stream of a run from token ``from_token``."""
        ref = msgspec.json.decode(await request.get_data(), type=RunReference)
        run = self.engine.runs.get(ref.id)
        if run is None:
            return _error(404, "request_not_found", f"no run {ref.id}")
        return Response(self._stream(run, ref.from_token), content_type="text/event-stream")

    async def cancel(self) -> Response:
        """Answer ``POST /cancel``; ``cancelled`` is whether a run with this id is stored."""
        ref = msgspec.json.decode(await request.get_data(), type=RunReference)
        return _json({"cancelled": self.engine.cancel(ref.id, self.clock.now())})

    async def load(self) -> Response:
        """Answer ``GET /load`` with an ``EngineLoad``."""
        if self.engine.faults.is_down:
            return _error(503, "engine_down", "engine is down")
        return _json(self.engine.get_load(self.clock.now()))

    async def health(self) -> Response:
        """Answer ``GET /health`` with state and boot id; 503 while the engine is down."""
        load = self.engine.get_load(self.clock.now())
        status = 503 if load.state is UpstreamState.DOWN else 200
        return _json({"state": load.state, "boot_id": load.boot_id}, status)

    async def orders(self) -> Response:
        """Answer ``POST /orders``; 409 if the order is refused."""
        order = msgspec.json.decode(await request.get_data(), type=EngineOrder)
        reply = self.engine.execute_order(order, self.clock.now())
        return _json(reply, 200 if reply.accepted else 409)

    async def faults(self) -> Response:
        """Answer ``POST /faults`` by changing fault switches; the reply holds all switches."""
        req = msgspec.json.decode(await request.get_data(), type=FaultRequest)
        self.engine.set_faults(req, self.clock.now())
        return _json(self.engine.faults)

    async def _answer(self, run: EngineRun) -> Response:
        while run.state not in ENDED_STATES:
            await self._ticked.wait()
        if run.state is not EngineRunState.DONE:
            return _error(500, f"engine_{run.state.value}", "the run did not complete")
        text = self.engine.make_text(run, 0)
        choice = {
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }
        reply = _make_head(run, "chat.completion") | {"choices": [choice]}
        return _json(reply | {"usage": _make_usage(run)})

    async def _stream(self, run: EngineRun, sent: int) -> AsyncIterator[bytes]:
        truncate_after = self.engine.faults.truncate_after
        while True:
            is_ended = run.state in ENDED_STATES
            if run.n_out > sent:
                text = self.engine.make_text(run, sent)
                sent = run.n_out
                yield _make_event(_make_chunk(run, {"content": text}, None))
            if truncate_after and sent >= truncate_after:
                return
            if is_ended:
                break
            await self._ticked.wait()
        if run.state is EngineRunState.DONE:
            last = _make_chunk(run, {}, "stop") | {"usage": _make_usage(run)}
            yield _make_event(last)
            yield b"data: [DONE]\n\n"


def _make_head(run: EngineRun, kind: str) -> dict[str, Any]:
    return {
        "id": run.run_id,
        "object": kind,
        "created": int(run.arrived_at),
        "model": run.version,
    }


def _make_chunk(run: EngineRun, delta: dict, finish_reason: str | None) -> dict[str, Any]:
    choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
    return _make_head(run, "chat.completion.chunk") | {"choices": [choice]}


def _make_usage(run: EngineRun) -> dict[str, Any]:
    return {
        "prompt_tokens": run.n_prompt,
        "completion_tokens": run.n_out,
        "total_tokens": run.n_prompt + run.n_out,
        "prompt_tokens_details": {"cached_tokens": run.n_cached},
    }


def _make_event(chunk: dict) -> bytes:
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def _json(value: Any, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status=status, content_type="application/json")


def _error(status: int, code: str, message: str) -> Response:
    return _json({"error": {"code": code, "message": message, "type": "engine_error"}}, status)


def make_engine_app(handlers: EngineApp) -> QuartTrio:
    """Return the web application of an engine."""
    app = QuartTrio("standin-engine")
    app.add_url_rule("/v1/chat/completions", view_func=handlers.chat, methods=["POST"])
    app.add_url_rule("/resume", view_func=handlers.resume, methods=["POST"])
    app.add_url_rule("/cancel", view_func=handlers.cancel, methods=["POST"])
    app.add_url_rule("/orders", view_func=handlers.orders, methods=["POST"])
    app.add_url_rule("/faults", view_func=handlers.faults, methods=["POST"])
    app.add_url_rule("/load", view_func=handlers.load, methods=["GET"])
    app.add_url_rule("/health", view_func=handlers.health, methods=["GET"])
    return app


async def serve_engine(
    engine: StandinEngine,
    host: str = "127.0.0.1",
    port: int = 0,
    *,
    clock: Clock | None = None,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an engine until cancelled.

    Parameters
    ----------
    engine : StandinEngine
        Engine that answers the requests.
    host, port : str, int
        Address to listen on; port 0 picks a free port.
    clock : Clock or None
        Source of the current time; None means the monotonic clock.
    task_status : trio.TaskStatus
        Receives the port in use once the server listens.
    """
    handlers = EngineApp(engine, clock or MonotonicClock())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(handlers.tick)
        served = await nursery.start(serve_app, make_engine_app(handlers), host, port)
        task_status.started(served)
