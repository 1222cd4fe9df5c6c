"""Datagrams between gateways."""

import random
import socket
from collections.abc import Callable

import msgspec
import trio

from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._peers import PeerNews, PeerTable
from crocusvalve.gateway.base import Address
from crocusvalve.utils import Clock

__all__ = ["PeerLink"]

#: Pause between two rounds of news.
INTERVAL_S = 0.4
#: Gateways told in one round; with more, each is told less often.
FANOUT = 6
MAX_DATAGRAM_BYTES = 32768


class PeerLink:
    """Tells news to other gateways and takes theirs.

    Parameters
    ----------
    address : Address
        Where this gateway receives; the others use the same port.
    table : PeerTable
        Takes the news.
    make_news : callable
        Makes this gateway's news.
    take_news : callable
        Called with each piece of news.
    """

    def __init__(
        self,
        *,
        address: Address,
        table: PeerTable,
        make_news: Callable[[float], PeerNews],
        take_news: Callable[[PeerNews], None],
        observer: GatewayObserver,
        clock: Clock,
        random_state: random.Random,
    ):
        self.address = address
        self.table = table
        self.make_news = make_news
        self.take_news = take_news
        self.observer = observer
        self.clock = clock
        self.random_state = random_state
        self._decoder = msgspec.msgpack.Decoder(PeerNews)

    async def run(self) -> None:
        """Tell and take news until cancelled."""
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            await sock.bind((self.address.host, self.address.port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, sock)
                while True:
                    await self._tell(sock)
                    await trio.sleep(INTERVAL_S)

    async def _tell(self, sock: trio.socket.SocketType) -> None:
        now = self.clock.now()
        self.observer.set_peers(len(self.table.list_alive(now)))
        hosts = self.table.list_hosts(now)
        if len(hosts) > FANOUT:
            hosts = self.random_state.sample(hosts, FANOUT)
        data = msgspec.msgpack.encode(self.make_news(now))
        for host in hosts:
            try:
                await sock.sendto(data, (host, self.address.port))
            except OSError:
                # The news of the next round replaces this one.
                continue

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                data, _ = await sock.recvfrom(MAX_DATAGRAM_BYTES)
                news = self._decoder.decode(data)
            except OSError:
                # An earlier datagram met a port without listener.
                continue
            except msgspec.MsgspecError as exc:
                self.observer.record_decode_error("datagram", "", str(exc))
                continue
            if self.table.take(news, self.clock.now()):
                self.observer.record_peer(news.node_id, news.host)
            self.take_news(news)
