"""HTTP client of the platform's service."""

import random
import ssl
from collections.abc import Sequence
from types import TracebackType
from typing import Any

import httpx
import msgspec

from crocusvalve.base import VersionRef
from crocusvalve.exceptions import CrocusvalveError, ErrorCode, PlatformError
from crocusvalve.store import _messages as msg
from crocusvalve.store._guard import AttemptLimit, CallGuard, GuardSettings
from crocusvalve.store._reliable import ReliableObjects, ReliableTables
from crocusvalve.store.base import (
    ObjectStore,
    Rating,
    RatingRequest,
    RatingService,
    Row,
    TableService,
    VmDirectory,
    VmInfo,
    WeightReservation,
    WeightStore,
    Write,
    WriteResult,
)
from crocusvalve.utils import Clock

__all__ = ["HttpPlatform"]

MAX_CONNECTIONS = 16
#: Longest answer; the longest ones list rows.
MAX_ANSWER_BYTES = 16 * 2**20
#: Longest answer with an object: the setting ``max_answer_bytes`` allows 256 MiB, a third more in
#: Base64.
MAX_OBJECT_BYTES = 352 * 2**20


class _HttpCalls(TableService, ObjectStore):
    """Calls over HTTP, each a single attempt without retries."""

    def __init__(self, client: httpx.AsyncClient, url: str, token: str, content_type: str):
        self._client = client
        self._url = url.rstrip("/")
        self._content_type = content_type
        self._headers = {"content-type": content_type}
        if token:
            self._headers["authorization"] = f"Bearer {token}"

    async def call(self, call: msg.PlatformCall, message: Any) -> Any:
        """Make one attempt of a call and return the decoded reply."""
        step = call.value[0]
        try:
            async with self._client.stream(
                "POST",
                self._url + call.path,
                content=msg.encode_message(message, self._content_type),
                headers=self._headers,
            ) as response:
                is_object = call is msg.PlatformCall.OBJECT
                limit = MAX_OBJECT_BYTES if is_object else MAX_ANSWER_BYTES
                content = await self._receive(step, response, limit)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as exc:
            raise PlatformError(repr(exc), step=step, peer=self._url) from exc
        except httpx.HTTPError as exc:
            raise PlatformError(repr(exc), step=step, peer=self._url, maybe_applied=True) from exc
        return self._decode(call, response.status_code, content)

    async def _receive(self, step: str, response: httpx.Response, max_bytes: int) -> bytes:
        """Return the body of a response; each part extends the time limit of the attempt."""
        body = bytearray()
        async for part in response.aiter_bytes():
            AttemptLimit.extend_current()
            body += part
            if len(body) > max_bytes:
                message = f"the answer is longer than {max_bytes} bytes"
                raise PlatformError(message, step=step, peer=self._url, maybe_applied=True)
        return bytes(body)

    def _decode(self, call: msg.PlatformCall, status: int, content: bytes) -> Any:
        step = call.value[0]
        text = content.decode(errors="replace")
        if status == 400:
            raise CrocusvalveError(ErrorCode.BAD_REQUEST, text, step=step, peer=self._url)
        if status != 200:
            raise PlatformError(
                f"status {status}: {text}",
                step=step,
                peer=self._url,
                maybe_applied=status != 503,
            )
        try:
            return msg.decode_message(content, call.reply_type, self._content_type)
        except msgspec.DecodeError as exc:
            raise PlatformError(repr(exc), step=step, peer=self._url, maybe_applied=True) from exc

    async def transact(self, writes: Sequence[Write]) -> list[WriteResult]:
        req = msg.TransactRequest(tuple(writes))
        reply = await self.call(msg.PlatformCall.TRANSACT, req)
        return list(reply.results)

    async def get(self, table: str, key: str) -> Row | None:
        reply = await self.call(msg.PlatformCall.GET, msg.GetRequest(table, key))
        return reply.row

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row]:
        req = msg.ScanRequest(table, prefix, after, limit)
        reply = await self.call(msg.PlatformCall.SCAN, req)
        return list(reply.rows)

    async def put_object(self, name: str, data: bytes) -> None:
        await self.call(msg.PlatformCall.PUT, msg.PutRequest(name, data))

    async def get_object(self, name: str) -> bytes | None:
        reply = await self.call(msg.PlatformCall.OBJECT, msg.ObjectRequest(name))
        return reply.data


class HttpPlatform(TableService, ObjectStore, VmDirectory, RatingService, WeightStore):
    """Client of the platform's service; use it as an asynchronous context manager.

    Parameters
    ----------
    url : str
        Base URL of the service.
    random_state : random.Random
        Random source of the backoff's jitter.
    settings : GuardSettings
        Timeouts, retries, write budget and circuit breaker.
    clock : Clock or None
        Source of the current time; None means the monotonic clock.
    token : str
        Bearer token sent to the service; empty for none.
    tls : ssl.SSLContext or None
        TLS context for an ``https`` URL; None means the default verification.
    content_type : str
        Encoding of the messages: ``application/msgpack`` or ``application/json``.
    """

    def __init__(
        self,
        url: str,
        *,
        random_state: random.Random | None = None,
        settings: GuardSettings | None = None,
        clock: Clock | None = None,
        token: str = "",
        tls: ssl.SSLContext | None = None,
        content_type: str = msg.MSGPACK_TYPE,
    ):
        self.url = url
        self.guard = CallGuard(
            settings=settings or GuardSettings(),
            random_state=random_state or random.Random(),
            clock=clock,
            peer=url,
        )
        self._client = httpx.AsyncClient(
            timeout=self.guard.settings.attempt_timeout_s,
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
            verify=tls if tls is not None else True,
            trust_env=False,
        )
        self._calls = _HttpCalls(self._client, url, token, content_type)
        self._tables = ReliableTables(self._calls, self.guard)
        self._objects = ReliableObjects(self._calls, self.guard)

    async def __aenter__(self) -> "HttpPlatform":
        """Return the client."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connections."""
        await self.aclose()

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def transact(self, writes: Sequence[Write]) -> list[WriteResult]:
        """Apply all writes or none of them."""
        return await self._tables.transact(writes)

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        return await self._tables.get(table, key)

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return up to ``limit`` rows with a key prefix, in key order, after the key ``after``."""
        return await self._tables.scan(table, prefix=prefix, after=after, limit=limit)

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""
        await self._objects.put_object(name, data)

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        return await self._objects.get_object(name)

    async def list_vms(self) -> list[VmInfo]:
        """Return the platform's list of VMs, which may be out of date."""
        reply = await self._run(msg.PlatformCall.LIST_VMS, msg.ListVmsRequest())
        return list(reply.vms)

    async def rate(self, req: RatingRequest) -> Rating:
        """Rate an answer; not retried, since ratings are only a hint."""
        reply = await self._run_once(msg.PlatformCall.RATE, msg.RateRequest(req))
        return reply.rating

    async def reserve(self, version: VersionRef) -> WeightReservation:
        """Reserve one load of a version's weights; not retried, as it is not idempotent."""
        reply = await self._run_once(msg.PlatformCall.RESERVE, msg.ReserveRequest(version))
        return reply.reservation

    async def _run(self, call: msg.PlatformCall, message: Any) -> Any:
        reply = await self.guard.run(call.value[0], lambda: self._calls.call(call, message))
        return reply.value

    async def _run_once(self, call: msg.PlatformCall, message: Any) -> Any:
        return await self.guard.run_once(call.value[0], lambda: self._calls.call(call, message))
