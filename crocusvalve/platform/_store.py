"""HTTP client of the platform's store."""

import base64
import logging
from types import TracebackType
from typing import Any, TypeVar

import httpx
import msgspec
import trio
from msgspec import Struct, field

from crocusvalve.exceptions import PlatformError
from crocusvalve.gateway.base import Address
from crocusvalve.store.base import (
    DEFAULT_TIMEOUT_S,
    BacklogTooLongError,
    ChangeFeed,
    FeedPage,
    FeedRow,
    HistoryLostError,
    StorePosition,
)
from crocusvalve.utils import TransferLimit, decode_json

__all__ = ["PlatformStore"]

logger = logging.getLogger(__name__)

#: Longest pause within an answer. An answer of several MB takes seconds on the slowest links, so
#: its total time is not limited like that of a call without an answer.
STALL_TIMEOUT_S = 1.5
#: Longest time for the body of an answer, so that a store that only trickles is given up as well.
MAX_TRANSFER_S = 30.0
#: Longest answer; pages of a table have about 1.4 MB, and the changes since a version are replaced
#: by the whole table if they are longer.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
#: An answer in more parts than this whose mean size is smaller than the second number is corrupt.
MAX_SMALL_PARTS = 1000
SMALL_PART_BYTES = 64
#: Answers whose body takes longer than this to arrive are logged.
SLOW_TRANSFER_S = 0.5
#: Maximum number of rows per page when a table is read.
PAGE_ROWS = 500
#: Number of times that the store was restored from a backup, plus one.
ERA = "store-era"
#: A longer number is no era.
MAX_ERA_DIGITS = 9

Reply = TypeVar("Reply")


class _Row(Struct):
    key: str
    table: str = ""
    part: str = ""
    #: Value of the row in Base64.
    value: str = ""
    ver: int = 0
    #: Whether the row was deleted.
    tombstone: bool = False


class _Rows(Struct):
    ver: int
    rows: list[_Row] = []
    #: Whether the page omits rows of the requested range.
    truncated: bool = False
    now_ms: float = field(name="nowMs", default=0.0)


class _Written(Struct):
    ver: int


class _Transfer:
    """Receives an answer's body; its size, and how long it took to arrive."""

    def __init__(self, step: str, peer: str) -> None:
        self.step = step
        self.peer = peer
        self.n_bytes = 0
        self.elapsed_s = 0.0
        self._started_at: float | None = None

    async def receive(self, response: httpx.Response, scope: trio.CancelScope) -> bytearray:
        """Return the body of a response; the scope's deadline is extended while it progresses.

        Raises
        ------
        PlatformError
            If the body can't be that of an answer.
        """
        self._started_at = trio.current_time()
        limit = TransferLimit(self._started_at, stall_s=STALL_TIMEOUT_S, max_s=MAX_TRANSFER_S)
        body = bytearray()
        n_parts = 0
        scope.deadline = limit.extend(0, self._started_at)
        async for part in response.aiter_bytes():
            body += part
            n_parts += 1
            self.n_bytes = len(body)
            self.elapsed_s = trio.current_time() - self._started_at
            if self.n_bytes > MAX_ANSWER_BYTES:
                raise self._make_error(f"the answer is longer than {MAX_ANSWER_BYTES} bytes")
            if n_parts > MAX_SMALL_PARTS and self.n_bytes < SMALL_PART_BYTES * n_parts:
                raise self._make_error(f"{n_parts} parts of {self.n_bytes} bytes in all")
            scope.deadline = limit.extend(len(part), trio.current_time())
        return body

    def _make_error(self, message: str) -> PlatformError:
        return PlatformError(message, step=self.step, peer=self.peer, maybe_applied=True)

    def __str__(self) -> str:
        if self._started_at is None:
            return "no answer had begun"
        return f"{self.n_bytes} bytes in {self.elapsed_s:.2f} s"


class PlatformStore(ChangeFeed):
    """Client of the store; use it as an asynchronous context manager.

    Parameters
    ----------
    address : Address
        Address of the store.

    Attributes
    ----------
    era : int
        Latest era that the store has reported; 0 if it has reported none.
    """

    def __init__(self, address: Address):
        self.peer = str(address)
        self.era = 0
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}",
            timeout=DEFAULT_TIMEOUT_S,
            limits=httpx.Limits(max_connections=8, max_keepalive_connections=4),
            trust_env=False,
            # The address is plain HTTP. Otherwise the client loads the CA certificates, which take
            # 2.4 MB of the process and 45 ms of its start.
            verify=False,
        )

    async def __aenter__(self) -> "PlatformStore":
        """Return the client."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def read_table(self, table: str, *, timeout_s: float = DEFAULT_TIMEOUT_S) -> FeedPage:
        """Return all rows of a table, read page by page; ``version`` is that of the first page.

        Raises
        ------
        PlatformError
            If a call fails, or the store was restored from a backup between two pages.
        """
        rows: list[FeedRow] = []
        params = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
        first: _Rows | None = None
        while True:
            page, era = await self._call(
                "read_table", _Rows, "GET", "/rows-get", limit_s=timeout_s, params=params
            )
            if first is None:
                first, first_era = page, era
            if era != first_era:
                raise PlatformError(
                    "the store was restored between two pages of the table",
                    step="read_table",
                    peer=self.peer,
                )
            rows += _decode_rows(page)
            if not page.truncated or not page.rows:
                return FeedPage(tuple(rows), first.ver, first.now_ms / 1000, era)
            params["from"] = page.rows[-1].key + "\0"

    async def wait_for_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        *,
        max_bytes: int | None = None,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> FeedPage:
        """Return the rows changed after a version; wait up to ``wait_s`` seconds for changes."""
        params = {"table": table, "after": str(after), "waitMs": str(int(wait_s * 1000))}
        page, era = await self._call(
            "wait_for_changes",
            _Rows,
            "GET",
            "/rows-feed",
            limit_s=wait_s + timeout_s,
            max_bytes=max_bytes,
            params=params,
        )
        return FeedPage(tuple(_decode_rows(page)), page.ver, page.now_ms / 1000, era)

    async def put_row(
        self, table: str, key: str, value: bytes, if_version: int
    ) -> StorePosition | None:
        """Write a row if it is at version ``if_version``.

        Returns
        -------
        StorePosition or None
            Position of the written row, or None if the row is at another version.
        """
        name = {"table": table, "part": "", "key": key}
        body = {
            "expectedRev": [name | {"ver": if_version}],
            "setKeys": [name | {"value": base64.b64encode(value).decode()}],
            "remove": [],
        }
        reply, era = await self._call("put_row", _Written, "POST", "/rows-tx", json=body)
        return reply and StorePosition(era, reply.ver)

    async def _call(
        self,
        step: str,
        reply_type: type[Reply],
        method: str,
        path: str,
        *,
        limit_s: float = DEFAULT_TIMEOUT_S,
        max_bytes: int | None = None,
        **kwargs: Any,
    ) -> tuple[Reply | None, int]:
        """Make one call; return its reply, None if a write's condition did not hold, and the era.

        Raises
        ------
        PlatformError
            If the call failed, or its answer is from an era before the latest one.
        """
        transfer = _Transfer(step, self.peer)
        content = bytearray()
        timeout = httpx.Timeout(max(limit_s, STALL_TIMEOUT_S))
        with trio.CancelScope(deadline=trio.current_time() + limit_s) as scope:
            try:
                async with self._client.stream(method, path, timeout=timeout, **kwargs) as response:
                    self._check_length(step, response, max_bytes)
                    content = await transfer.receive(response, scope)
            except httpx.HTTPError as exc:
                message = f"{exc!r} ({transfer})"
                raise PlatformError(message, step=step, peer=self.peer, maybe_applied=True) from exc
        if scope.cancelled_caught:
            message = f"the store did not answer in time ({transfer})"
            raise PlatformError(message, step=step, peer=self.peer, maybe_applied=True)
        if transfer.elapsed_s > SLOW_TRANSFER_S:
            fields = {"bytes": transfer.n_bytes, "transfer_s": round(transfer.elapsed_s, 2)}
            logger.info("slow answer of the store", extra={"step": step, "fields": fields})
        era = self._update_era(step, response)
        return self._decode(step, reply_type, response.status_code, content), era

    def _check_length(self, step: str, response: httpx.Response, max_bytes: int | None) -> None:
        """Raise ``BacklogTooLongError`` if an answer announces a longer body than wanted."""
        text = response.headers.get("content-length", "")
        limit = min(max_bytes or MAX_ANSWER_BYTES, MAX_ANSWER_BYTES)
        if not text.isdigit() or int(text) <= limit:
            return
        message = f"the answer has {text} bytes, more than {limit}"
        if step == "wait_for_changes":
            raise BacklogTooLongError(message, step=step, peer=self.peer)
        raise PlatformError(message, step=step, peer=self.peer, maybe_applied=True)

    def _update_era(self, step: str, response: httpx.Response) -> int:
        """Return the era of an answer; without a valid one, the latest known era."""
        text = response.headers.get(ERA, "")
        if not text.isascii() or not text.isdigit() or len(text) > MAX_ERA_DIGITS:
            if text:
                logger.warning("the store's era %r is not a number", text[:MAX_ERA_DIGITS])
            return self.era
        era = int(text)
        if era < self.era:
            raise PlatformError(
                f"the answer is from era {era}, before the store was restored to era {self.era}",
                step=step,
                peer=self.peer,
                maybe_applied=True,
            )
        self.era = era
        return era

    def _decode(
        self, step: str, reply_type: type[Reply], status: int, content: bytearray
    ) -> Reply | None:
        if status == 412:
            return None
        if status == 410:
            raise HistoryLostError(
                "the store no longer has the changes after the requested version",
                step=step,
                peer=self.peer,
            )
        if status != 200:
            may_be_applied = status not in (429, 503)
            raise PlatformError(
                f"status {status}", step=step, peer=self.peer, maybe_applied=may_be_applied
            )
        try:
            return decode_json(content, reply_type)
        except msgspec.MsgspecError as exc:
            raise PlatformError(str(exc), step=step, peer=self.peer, maybe_applied=True) from exc


def _decode_rows(page: _Rows) -> list[FeedRow]:
    """Decode the rows without a ``part``; a value that isn't Base64 becomes empty."""
    rows = []
    for row in page.rows:
        if row.part:
            continue
        try:
            value = None if row.tombstone else base64.b64decode(row.value, validate=True)
        except ValueError:
            value = b""
        rows.append(FeedRow(row.key, value, row.ver))
    return rows
