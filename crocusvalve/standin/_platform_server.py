"""HTTP server of the stand-in platform."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import trio
from quart import Response, request
from quart_trio import QuartTrio

from crocusvalve.exceptions import CrocusvalveError, PlatformError
from crocusvalve.standin._platform import MemoryPlatform
from crocusvalve.standin._platform_faults import PlatformFaults
from crocusvalve.store import _messages as msg
from crocusvalve.utils.serving import serve_app

__all__ = ["make_platform_app", "serve_platform"]

MAX_BODY_BYTES = 64 * 2**20
DRAIN_S = 0.5


def make_platform_app(platform: MemoryPlatform) -> QuartTrio:
    """Return the web application of an in-memory platform."""
    app = QuartTrio("crocusvalve.standin.platform")
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    for call, handler in _make_handlers(platform).items():
        view = _make_view(call, handler)
        app.add_url_rule(call.path, call.name, view, methods=["POST"])
    app.add_url_rule("/faults", "faults", _make_faults_view(platform), methods=["POST"])
    app.add_url_rule("/counters", "counters", _make_counters_view(platform), methods=["GET"])
    return app


async def serve_platform(
    platform: MemoryPlatform,
    host: str,
    port: int,
    *,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a platform until cancelled.

    Parameters
    ----------
    platform : MemoryPlatform
        Platform that answers the calls.
    host, port : str, int
        Address to listen on; port 0 picks a free port.
    task_status : trio.TaskStatus
        Receives the port in use once the server listens.
    """
    app = make_platform_app(platform)
    await serve_app(app, host, port, drain_s=DRAIN_S, task_status=task_status)


def _make_handlers(
    platform: MemoryPlatform,
) -> dict[msg.PlatformCall, Callable[[Any], Awaitable[Any]]]:
    async def transact(req: msg.TransactRequest) -> msg.TransactReply:
        return msg.TransactReply(tuple(await platform.transact(req.writes)))

    async def get(req: msg.GetRequest) -> msg.GetReply:
        return msg.GetReply(await platform.get(req.table, req.key))

    async def scan(req: msg.ScanRequest) -> msg.ScanReply:
        rows = await platform.scan(req.table, prefix=req.prefix, after=req.after, limit=req.limit)
        return msg.ScanReply(tuple(rows))

    async def put(req: msg.PutRequest) -> msg.PutReply:
        await platform.put_object(req.name, req.data)
        return msg.PutReply()

    async def get_object(req: msg.ObjectRequest) -> msg.ObjectReply:
        return msg.ObjectReply(await platform.get_object(req.name))

    async def list_vms(req: msg.ListVmsRequest) -> msg.ListVmsReply:
        return msg.ListVmsReply(tuple(await platform.list_vms()))

    async def rate(req: msg.RateRequest) -> msg.RateReply:
        return msg.RateReply(await platform.rate(req.req))

    async def reserve(req: msg.ReserveRequest) -> msg.ReserveReply:
        return msg.ReserveReply(await platform.reserve(req.version))

    call = msg.PlatformCall
    return {
        call.TRANSACT: transact,
        call.GET: get,
        call.SCAN: scan,
        call.PUT: put,
        call.OBJECT: get_object,
        call.LIST_VMS: list_vms,
        call.RATE: rate,
        call.RESERVE: reserve,
    }


def _make_view(
    call: msg.PlatformCall, handler: Callable[[Any], Awaitable[Any]]
) -> Callable[[], Awaitable[Response]]:
    async def view() -> Response:
        content_type = request.mimetype or msg.MSGPACK_TYPE
        try:
            message = msg.decode_message(await request.data, call.request_type, content_type)
            reply = await handler(message)
        except PlatformError as exc:
            status = msg.ANSWER_LOST_STATUS if exc.maybe_applied else 503
            return Response(exc.message, status=status)
        except (msgspec.DecodeError, CrocusvalveError) as exc:
            return Response(str(exc), status=400)
        data = msg.encode_message(reply, content_type)
        return Response(data, content_type=content_type)

    return view


def _make_faults_view(platform: MemoryPlatform) -> Callable[[], Awaitable[Response]]:
    async def view() -> Response:
        try:
            platform.faults = msgspec.json.decode(await request.data, type=PlatformFaults)
        except msgspec.DecodeError as exc:
            return Response(str(exc), status=400)
        return Response(msgspec.json.encode(platform.faults), content_type=msg.JSON_TYPE)

    return view


def _make_counters_view(platform: MemoryPlatform) -> Callable[[], Awaitable[Response]]:
    async def view() -> Response:
        return Response(msgspec.json.encode(platform.counters), content_type=msg.JSON_TYPE)

    return view
