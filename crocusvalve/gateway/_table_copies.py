"""Copies of the store's tables between gateways, for one that starts while the store is away."""

import random
from collections.abc import Sequence

import msgspec
import trio

from crocusvalve.gateway._followers import TableHandler
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._peers import PeerTable
from crocusvalve.gateway._sockets import connect
from crocusvalve.gateway.base import Address
from crocusvalve.store.base import FeedPage
from crocusvalve.utils import Clock

__all__ = ["TableCopies"]

#: The store answers a reading call within 4 ms; a gateway that still knows nothing after this time
#: asks another one.
ASK_AFTER_S = 0.5
ASK_PAUSE_S = 0.25
CONNECT_TIMEOUT_S = 0.4
#: Time for a whole copy, which takes some ms on the slowest link of the users' sheet.
COPY_TIMEOUT_S = 2.0
#: Upstreams' entries are about 250 bytes each; 3,500 of them and a configuration fit.
MAX_COPY_BYTES = 4 * 1024 * 1024
READ_BYTES = 65536


class TableCopies:
    """Gives copies of what this gateway knows of the store, and takes one where it knows nothing.

    Parameters
    ----------
    address : Address
        Where this gateway gives copies; the others use the same port.
    handlers : sequence of TableHandler
        The tables.
    peers : PeerTable
        The gateways that may be asked.
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
        """Return the tables that are known, encoded."""
        known = {
            name: handler.replica for name, handler in self.handlers.items() if handler.is_loaded
        }
        return msgspec.msgpack.encode(
            {name: replica.make_page() for name, replica in known.items()}
        )

    async def serve(self, stream: trio.SocketStream) -> None:
        """Give one copy to the gateway that has connected."""
        async with stream:
            try:
                with trio.move_on_after(COPY_TIMEOUT_S):
                    await stream.send_all(self.make_copy())
            except (trio.BrokenResourceError, OSError):
                # The other gateway asks again, here or elsewhere.
                return

    async def run(self) -> None:
        """Ask the other gateways until every table is known, from them or from the store."""
        await trio.sleep(ASK_AFTER_S)
        while not all(handler.is_loaded for handler in self.handlers.values()):
            hosts = self.peers.list_informed_hosts(self.clock.now())
            if hosts:
                await self._ask(self.random_state.choice(hosts))
            await trio.sleep(ASK_PAUSE_S)

    async def _ask(self, host: str) -> None:
        try:
            pages = self._decoder.decode(await self._fetch(host))
        except (trio.BrokenResourceError, OSError, msgspec.MsgspecError) as exc:
            self.observer.record_table_copy_failure(host, repr(exc))
            return
        self.take_copy(host, pages)

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
            raise TimeoutError(f"no whole copy within {COPY_TIMEOUT_S} s")
        return bytes(data)

    def take_copy(self, host: str, pages: dict[str, FeedPage]) -> None:
        """Take the tables that are still unknown."""
        now = self.clock.now()
        taken = {}
        for name, handler in self.handlers.items():
            if name in pages and not handler.is_loaded:
                handler.merge_table(pages[name], now)
                taken[name] = pages[name].version
        if taken:
            self.observer.record_table_copy(host, taken)
