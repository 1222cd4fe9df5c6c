"""Stand-in for the store: rows with versions, a feed of changes, and fault switches."""

import base64
from collections import deque
from collections.abc import Iterable
from enum import Enum
from itertools import takewhile
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio
from msgspec import Struct

from crocusvalve.standin._endless import EndlessReply, send_endlessly
from crocusvalve.standin._http_server import ReceivedRequest, StandinServer

__all__ = ["StandinStore", "StoreBackup", "StoreFault"]

#: Changes that the feed can return; older positions get 410.
MAX_CHANGES = 20_000
#: Pause between two parts of an answer over a slow link.
SLOW_SEND_INTERVAL_S = 0.05


class StoreFault(Enum):
    """Fault that the store simulates; ``BUSY`` answers 503 and ``SILENT`` never answers."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    #: Writes are carried out, but the connection closes without an answer.
    ANSWER_LOST = "answer_lost"


class StoreBackup(Struct, frozen=True):
    """Rows of the store at a version."""

    version: int
    rows: dict[tuple[str, str], tuple[bytes | None, int]]


class _Change(Struct, frozen=True):
    """A written row; ``value`` is None for a deletion."""

    table: str
    key: str
    value: bytes | None
    version: int


class StandinStore(StandinServer):
    """A store that holds the rows of its tables in memory.

    Attributes
    ----------
    fault : StoreFault
        Fault to simulate.
    oldest_version : int
        Oldest version after which changes are still stored; older positions of a feed get 410.
    version : int
        Version of the store, which every change increases.
    n_calls : int
        Number of calls received.
    era : int
        Number of restores from a backup, plus one.
    first_version_of_era : int
        Version of the backup that the present era began with.
    era_text : str or None
        Value of the header that reports the era, if it is to differ from the era; empty for none.
    endless_reply : EndlessReply or None
        Reply without end that answers each call; None for sound answers.
    bytes_per_s : float
        Rate at which each answer is sent, as over a slow link.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fault = StoreFault.NONE
        self.oldest_version = 0
        self.version = 0
        self.n_calls = 0
        self.era = 1
        self.first_version_of_era = 0
        self.era_text: str | None = None
        self.endless_reply: EndlessReply | None = None
        self.bytes_per_s = float("inf")
        self._rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        #: Changes of the present era in the order of their versions; the feed returns all of them.
        self._changes: deque[_Change] = deque(maxlen=MAX_CHANGES)
        self._changed = trio.Event()

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row and return its version; bytes are stored unchanged, other values as JSON."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        return self._write(table, key, data)

    def drop(self, table: str, key: str) -> int:
        """Delete a row and return the version of the deletion."""
        return self._write(table, key, None)

    def get(self, table: str, key: str) -> dict | None:
        """Return the decoded JSON value of a row, or None if it does not exist."""
        value, _ = self._rows.get((table, key), (None, 0))
        return None if value is None else msgspec.json.decode(value)

    def get_version(self, table: str, key: str) -> int:
        """Return the version of a row, or 0 if it does not exist."""
        value, version = self._rows.get((table, key), (None, 0))
        return 0 if value is None else version

    def count_bytes(self, table: str) -> int:
        """Return the size of a table in its encoding for answers, in bytes."""
        values = (value for (name, _), (value, _) in self._rows.items() if name == table)
        return sum(len(value) for value in values if value is not None) * 4 // 3

    def discard_history(self) -> None:
        """Discard the history of changes, so that followers must read whole tables again."""
        self.oldest_version = self.version + 1
        self.version += 1

    def make_backup(self) -> StoreBackup:
        """Return a backup of the current rows."""
        return StoreBackup(self.version, dict(self._rows))

    def restore(self, backup: StoreBackup) -> None:
        """Replace all rows by those of a backup, which begins a new era.

        Changes since the backup are lost, and their versions are assigned again.
        """
        self.version = backup.version
        self._rows = dict(backup.rows)
        self._changes = deque(
            (change for change in self._changes if change.version <= backup.version),
            maxlen=MAX_CHANGES,
        )
        self.oldest_version = min(self.oldest_version, backup.version)
        self.era += 1
        self.first_version_of_era = backup.version
        self._notify()

    async def answer(self, call: ReceivedRequest, stream: trio.SocketStream) -> bool:
        """Answer a read, a feed request or a transaction, subject to the fault."""
        self.n_calls += 1
        if self.endless_reply is not None:
            await send_endlessly(stream, self.endless_reply, b"HTTP/1.1 200 X\r\n")
        if self.fault is StoreFault.SILENT:
            await trio.sleep_forever()
        if self.fault is StoreFault.BUSY:
            return await self._reply(stream, 503, {})
        url = urlsplit(call.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-get":
            return await self._reply(stream, 200, self._list(query["table"]))
        if url.path == "/rows-feed":
            status, body = await self._feed(query)
            return await self._reply(stream, status, body)
        status, body = self._transact(msgspec.json.decode(call.body))
        if self.fault is StoreFault.ANSWER_LOST:
            return False
        return await self._reply(stream, status, body)

    def _write(self, table: str, key: str, value: bytes | None) -> int:
        self.version += 1
        self._rows[table, key] = (value, self.version)
        if len(self._changes) == MAX_CHANGES:
            self.oldest_version = max(self.oldest_version, self._changes[0].version)
        self._changes.append(_Change(table, key, value, self.version))
        self._notify()
        return self.version

    def _notify(self) -> None:
        """Wake the calls that wait for changes."""
        self._changed.set()
        self._changed = trio.Event()

    def _list(self, table: str) -> dict:
        changes = (
            _Change(table, key, value, version)
            for (name, key), (value, version) in sorted(self._rows.items())
            if name == table and value is not None
        )
        return self._make_body(changes)

    def _list_changes(self, table: str, after: int) -> list["_Change"]:
        changes = takewhile(lambda change: change.version > after, reversed(self._changes))
        return [change for change in changes if change.table == table][::-1]

    def _make_body(self, changes: Iterable["_Change"]) -> dict:
        rows = [
            {"table": change.table, "part": "", "key": change.key, "ver": change.version}
            | ({"tombstone": True} if change.value is None else {"value": _encode(change.value)})
            for change in changes
        ]
        return {"rows": rows, "ver": self.version, "nowMs": trio.current_time() * 1000}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        table, after = query["table"], int(query["after"])
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            while self._has_position(after) and not self._list_changes(table, after):
                await self._changed.wait()
        if not self._has_position(after):
            return 410, {}
        return 200, self._make_body(self._list_changes(table, after))

    def _has_position(self, after: int) -> bool:
        """Return whether the changes after a version are stored."""
        return self.oldest_version <= after <= self.version

    def _transact(self, call: dict) -> tuple[int, dict]:
        for row in call["expectedRev"]:
            value, version = self._rows.get((row["table"], row["key"]), (None, 0))
            if (0 if value is None else version) != row["ver"]:
                return 412, {"rows": []}
        for row in call["setKeys"]:
            self._write(row["table"], row["key"], base64.b64decode(row["value"]))
        return 200, {"ver": self.version, "nowMs": trio.current_time() * 1000}

    async def _reply(self, stream: trio.SocketStream, status: int, body: dict) -> bool:
        data = msgspec.json.encode(body)
        era = str(self.era) if self.era_text is None else self.era_text
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(data)}"]
        lines += [f"Store-Era: {era}"] if era else []
        await self._send("\r\n".join((*lines, "\r\n")).encode() + data, stream)
        return True

    async def _send(self, data: bytes, stream: trio.SocketStream) -> None:
        if self.bytes_per_s == float("inf"):
            await stream.send_all(data)
            return
        size = max(1, int(self.bytes_per_s * SLOW_SEND_INTERVAL_S))
        started_at = trio.current_time()
        for start in range(0, len(data), size):
            await stream.send_all(data[start : start + size])
            await trio.sleep_until(started_at + (start + size) / self.bytes_per_s)


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()
