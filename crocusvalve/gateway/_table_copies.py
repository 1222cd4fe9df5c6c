"""Copies of the store's tables, served to gateways that start while it is unavailable."""

import random
from collections.abc import Sequence

import msgspec
import trio

from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._peers import PeerTable
from crocusvalve.gateway._sockets import connect
from crocusvalve.gateway._table_handler import TableHandler
from crocusvalve.gateway.base import Address
from crocusvalve.store.base import FeedPage
from crocusvalve.utils import Clock

__all__ = ["TableCopyExchange"]

#: The store answers a read within 4 ms; a gateway without tables after this time asks a peer.
ASK_AFTER_S = 0.5
ASK_PAUSE_S = 0.25
CONNECT_TIMEOUT_S = 0.4
#: Timeout of a complete copy, which takes a few ms on the slowest link that the users specify.
COPY_TIMEOUT_S = 2.0
#: Maximum size of a copy: fits 3,500 upstreams' entries of about 250 bytes and a configuration.
MAX_COPY_BYTES = 4 * 1024 * 1024
READ_BYTES = 65536


class TableCopyExchange:
    """Serves copies of this gateway's tables, and fetches the missing ones from a peer.

    Parameters
    ----------
    address : Address
        Address on which this gateway serves copies; its peers use the same port.
    handlers : sequence of TableHandler
        Handlers of the tables that are copied.
    peers : PeerTable
        Peers that may be asked for a copy.
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
        observer: GatewayObserver,
        clock: Clock,
        random_state: random.Random,
    ):
        self.address = address
        self.handlers = {handler.table: handler for handler in handlers}
        self.peers = peers
        self.observer = observer
        self.clock = clock
        self.random_state = random_state
        self._decoder = msgspec.msgpack.Decoder(dict[str, FeedPage])

    def make_copy(self) -> bytes:
        """Return the tables that are loaded, encoded."""
        replicas = {
            name: handler.replica for name, handler in self.handlers.items() if handler.is_loaded
        }
        return msgspec.msgpack.encode(
            {name: replica.make_page() for name, replica in replicas.items()}
        )

    async def serve(self, stream: trio.SocketStream) -> None:
        """Send one copy to the gateway that has connected."""
        async with stream:
            try:
                with trio.move_on_after(COPY_TIMEOUT_S):
                    await stream.send_all(self.make_copy())
            except (trio.BrokenResourceError, OSError):
                # The peer asks again, this gateway or another one.
                return

    async def run(self) -> None:
        """Ask peers for copies until every table is loaded, from a peer or from the store."""
        await trio.sleep(ASK_AFTER_S)
        while not all(handler.is_loaded for handler in self.handlers.values()):
            hosts = self.peers.list_copy_sources(self.clock.now())
            if hosts:
                await self._request_copy(self.random_state.choice(hosts))
            await trio.sleep(ASK_PAUSE_S)

    async def _request_copy(self, host: str) -> None:
        try:
            pages = self._decoder.decode(await self._fetch(host))
        except (trio.BrokenResourceError, OSError, msgspec.MsgspecError) as exc:
            self.observer.record_table_copy_failure(host, repr(exc))
            return
        self.merge_copy(host, pages)

    async def _fetch(self, host: str) -> bytes:
        stream = await connect(Address(host, self.address.port), CONNECT_TIMEOUT_S)
        data = bytearray()
        async with stream:
            with trio.move_on_after(COPY_TIMEOUT_S) as scope:
                while part := await stream.receive_some(READ_BYTES):
                    data += part
                    if len(data) > MAX_COPY_BYTES:
                        raise OSError(f"the copy is longer than {MAX_COPY_BYTES} bytes")
        if scope.cancelled_caught:
            raise TimeoutError(f"no complete copy within {COPY_TIMEOUT_S} s")
        return bytes(data)

    def merge_copy(self, host: str, pages: dict[str, FeedPage]) -> None:
        """Load the tables of a copy that are not loaded yet."""
        now = self.clock.now()
        versions = {}
        for name, handler in self.handlers.items():
            page = pages.get(name)
            if page is not None and not handler.is_loaded and page.era >= handler.replica.era:
                handler.merge_table(page, now)
                versions[name] = page.version
        if versions:
            self.observer.record_table_copy(host, versions)
