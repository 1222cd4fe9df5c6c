"""Copies of the store's tables, exchanged between gateways.

A gateway that starts while the store is unavailable copies whole tables. One that lacks changes
that a peer has, since the store turns it away or its link is slow, copies these changes.
"""

import random
import zlib
from collections.abc import Sequence

import msgspec
import trio
from msgspec import Struct

from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._sockets import CONNECT_TIMEOUT_S, connect
from crocusvalve.gateway.base import Address
from crocusvalve.gateway.shared._lag import LagTracker
from crocusvalve.gateway.shared._peers import PeerTable
from crocusvalve.gateway.shared._table_reading import TableReading
from crocusvalve.gateway.tables._replica import TablePosition
from crocusvalve.gateway.tables._table_handler import TableHandler
from crocusvalve.store.base import FeedPage
from crocusvalve.utils import Clock, TransferLimit, decode_untrusted

__all__ = ["CopyRequest", "TableCopy", "TableCopyExchange"]

#: The store answers a read within 4 ms; a gateway without tables after this time asks a peer.
ASK_AFTER_S = 0.5
ASK_PAUSE_S = 0.25
#: Time for which a change is known to be missing before a peer is asked for it. The store's feed
#: normally delivers it before then.
CATCH_UP_AFTER_S = 0.8
#: Interval at which a gateway that copies checks whether it lacks a change.
CHECK_INTERVAL_S = 0.1
#: A table that is copied is compared with a reader's after this time without a copy. It bounds the
#: effect of a wrong report. It also keeps the position recent, since the store's feed returns each
#: repeated entry after it, and 410 if it is too old.
REFRESH_S = 5.0
#: Longest pause within a copy. Its total time is not limited, since it depends on size and link.
STALL_TIMEOUT_S = 1.5
#: Maximum size of the tables in a copy: fits 3,500 upstreams' entries of about 250 bytes and a
#: configuration of 10,000 routes.
MAX_COPY_BYTES = 8 * 1024 * 1024
MAX_REQUEST_BYTES = 4096
READ_BYTES = 65536
#: A part of a copy that the peer must read within the longest pause.
SEND_BYTES = 4096
#: Fastest level: a configuration becomes about a tenth as long, so that it takes a fraction of a
#: second on the slowest links.
COMPRESSION_LEVEL = 1


class CopyRequest(Struct, frozen=True, array_like=True):
    """Request of a copy.

    Attributes
    ----------
    positions : dict of str to TablePosition
        Requested tables, and the position after which changes are wanted; a table is copied whole
        if the position is of another era or its version is 0.
    """

    positions: dict[str, TablePosition]


class TableCopy(Struct, frozen=True, array_like=True):
    """Rows of a table: all of it, or the changes after the requested position."""

    page: FeedPage
    is_complete: bool


class TableCopyExchange:
    """Serves copies of this gateway's tables, and fetches from a peer what this gateway lacks.

    Parameters
    ----------
    address : Address
        Address on which this gateway serves copies; its peers use the same port.
    handlers : sequence of TableHandler
        Handlers of the tables that are copied.
    peers : PeerTable
        Peers that may be asked for a copy.
    lags : LagTracker
        Tables that are behind those of a peer.
    reading : TableReading
        Tables that this gateway copies instead of following them.
    observer : GatewayObserver
        Records copies and failures to get one.
    clock : Clock
        Clock of this gateway.
    random_state : random.Random
        Source of randomness for the choice of a peer.
    """

    def __init__(
        self,
        *,
        address: Address,
        handlers: Sequence[TableHandler],
        peers: PeerTable,
        lags: LagTracker,
        reading: TableReading,
        observer: GatewayObserver,
        clock: Clock,
        random_state: random.Random,
    ):
        self.address = address
        self.handlers = {handler.table: handler for handler in handlers}
        self.peers = peers
        self.lags = lags
        self.reading = reading
        self.observer = observer
        self.clock = clock
        self.random_state = random_state
        self._refreshed_at = float("-inf")
        self._request_decoder = msgspec.msgpack.Decoder(CopyRequest)
        self._decoder = msgspec.msgpack.Decoder(dict[str, TableCopy])

    def make_copies(self, req: CopyRequest) -> dict[str, TableCopy]:
        """Return copies of the requested tables that are loaded and settled."""
        copies = {}
        for table, after in req.positions.items():
            handler = self.handlers.get(table)
            if handler is None or not handler.is_loaded or not handler.is_settled:
                continue
            replica = handler.replica
            is_complete = after.version == 0 or after.era != replica.era
            page = replica.make_page() if is_complete else replica.make_changes_page(after.version)
            copies[table] = TableCopy(page, is_complete)
        return copies

    def encode_copies(self, req: CopyRequest) -> bytes:
        """Return the requested copies as they are sent."""
        return zlib.compress(msgspec.msgpack.encode(self.make_copies(req)), COMPRESSION_LEVEL)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Send the requested copies to the gateway that has connected."""
        async with stream:
            try:
                data = await _receive(stream, MAX_REQUEST_BYTES)
                req = decode_untrusted(self._request_decoder, data)
                await _send(stream, self.encode_copies(req))
            except (trio.BrokenResourceError, OSError, msgspec.MsgspecError) as exc:
                # The peer asks again, this gateway or another one.
                self.observer.record_copy_not_served(repr(exc))

    async def run(self) -> None:
        """Ask peers for the tables and changes that this gateway lacks, until cancelled."""
        await trio.sleep(ASK_AFTER_S)
        while True:
            now = self.clock.now()
            req, hosts = self._make_request(now)
            if hosts:
                await self._request_copies(self.random_state.choice(hosts), req)
            await trio.sleep(ASK_PAUSE_S if hosts else CHECK_INTERVAL_S)

    def _make_request(self, now: float) -> tuple[CopyRequest, list[str]]:
        """Return what to request, and the hosts that have it."""
        positions = {}
        hosts: list[str] = []
        for table, handler in self.handlers.items():
            lag_s = self.lags.compute_lag_s(table, now)
            if not handler.is_loaded and handler.replica.is_empty:
                positions[table] = TablePosition(handler.replica.era, 0)
                hosts = hosts or self.peers.list_copy_sources(now)
            elif self.reading.is_copied(table):
                if sources := self._list_sources(table, lag_s, now):
                    positions |= self._list_copied_positions()
                    hosts = hosts or sources
            elif lag_s > CATCH_UP_AFTER_S:
                positions[table] = handler.replica.position
                hosts = hosts or self.lags.list_hosts_ahead(table, now)
        return CopyRequest(positions), hosts

    def _list_copied_positions(self) -> dict[str, TablePosition]:
        return {
            table: handler.replica.position
            for table, handler in self.handlers.items()
            if self.reading.is_copied(table)
        }

    def _list_sources(self, table: str, lag_s: float, now: float) -> list[str]:
        """Return the hosts to ask for changes of a table that this gateway doesn't follow."""
        handler = self.handlers[table]
        if lag_s > 0.0:
            sources = self.reading.list_reader_hosts(table, handler.replica.position, now)
            if not sources and lag_s > CATCH_UP_AFTER_S:
                sources = self.lags.list_hosts_ahead(table, now)
            return sources or self.reading.list_reader_hosts(table, None, now)
        if now - max(handler.merged_at, self._refreshed_at) > REFRESH_S:
            return self.reading.list_reader_hosts(table, None, now)
        return []

    async def _request_copies(self, host: str, req: CopyRequest) -> None:
        try:
            copies = decode_untrusted(self._decoder, await self._fetch(host, req))
        except (trio.BrokenResourceError, OSError, zlib.error, msgspec.MsgspecError) as exc:
            self.observer.record_table_copy_failure(host, repr(exc))
            return
        self.merge_copies(host, copies)

    async def _fetch(self, host: str, req: CopyRequest) -> bytes:
        stream = await connect(Address(host, self.address.port), CONNECT_TIMEOUT_S)
        async with stream:
            await _send(stream, msgspec.msgpack.encode(req))
            await stream.send_eof()
            data = await _receive(stream, MAX_COPY_BYTES)
        decompressor = zlib.decompressobj()
        copy = decompressor.decompress(data, MAX_COPY_BYTES)
        if not decompressor.eof:
            raise OSError(f"the copy is incomplete or longer than {MAX_COPY_BYTES} bytes")
        return copy

    def merge_copies(self, host: str, copies: dict[str, TableCopy]) -> None:
        """Merge copies from a peer; a whole one replaces no table of its era that is loaded.

        Parameters
        ----------
        host : str
            Host of the peer, for the log.
        copies : dict of str to TableCopy
            Copies by table.
        """
        now = self.clock.now()
        self._refreshed_at = now
        versions = {}
        for table, copy in copies.items():
            handler = self.handlers.get(table)
            if handler is None or copy.page.era < handler.replica.era:
                continue
            is_later_era = copy.page.era > handler.replica.era
            if copy.is_complete and (is_later_era or not handler.is_loaded):
                handler.merge_table(copy.page, now)
            elif not (copy.is_complete or is_later_era or handler.replica.is_empty):
                if copy.page.version <= handler.replica.position.version:
                    # A peer without later changes doesn't show that the table is up to date.
                    continue
                answered_at = self.reading.estimate_answered_at(host, table, now)
                handler.merge_changes(copy.page, now, answered_at)
            else:
                continue
            if copy.page.rows:
                versions[table] = copy.page.version
        if versions:
            self.observer.record_table_copy(host, versions)


async def _send(stream: trio.SocketStream, data: bytes) -> None:
    """Send data; raises ``TimeoutError`` if the peer reads nothing for too long."""
    for start in range(0, len(data), SEND_BYTES):
        with trio.move_on_after(STALL_TIMEOUT_S) as scope:
            await stream.send_all(data[start : start + SEND_BYTES])
        if scope.cancelled_caught:
            raise TimeoutError(f"the peer read nothing for {STALL_TIMEOUT_S} s")


async def _receive(stream: trio.SocketStream, max_bytes: int) -> bytes:
    """Receive until the peer closes its side; raises ``OSError`` if it stalls or sends too much."""
    data = bytearray()
    now = trio.current_time()
    limit = TransferLimit(now, stall_s=STALL_TIMEOUT_S)
    with trio.CancelScope(deadline=limit.extend(0, now)) as scope:
        while part := await stream.receive_some(READ_BYTES):
            data += part
            if len(data) > max_bytes:
                raise OSError(f"the message is longer than {max_bytes} bytes")
            scope.deadline = limit.extend(len(part), trio.current_time())
        return bytes(data)
    raise TimeoutError(f"the peer sent too little or nothing for {STALL_TIMEOUT_S} s or more")
