"""Exchange of gossip datagrams between gateways."""

import random
import socket
from collections.abc import Callable

import msgspec
import trio

from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway.base import Address
from crocusvalve.gateway.shared._gossip_message import GossipMessage
from crocusvalve.gateway.shared._peers import PeerTable
from crocusvalve.utils import Clock

__all__ = ["PeerLink"]

#: Pause between two rounds of gossip.
GOSSIP_INTERVAL_S = 0.4
#: Maximum number of gateways that get gossip in one round; if there are more, a random sample gets
#: it.
MAX_GOSSIP_PEERS = 6
MAX_DATAGRAM_BYTES = 32768


class PeerLink:
    """Sends this gateway's gossip to its peers and receives theirs.

    Parameters
    ----------
    address : Address
        Address on which this gateway receives; its peers use the same port.
    table : PeerTable
        Table of peers, updated with each received message.
    make_gossip : callable
        Returns this gateway's message for the given time.
    merge_gossip : callable
        Called with each received message.
    list_required_hosts : callable
        Returns the hosts that get gossip in each round, for the given time.
    observer : GatewayObserver
        Records new peers and datagrams that can't be decoded.
    clock : Clock
        Clock of this gateway.
    random_state : random.Random
        Source of randomness for the choice of peers.
    """

    def __init__(
        self,
        *,
        address: Address,
        table: PeerTable,
        make_gossip: Callable[[float], GossipMessage],
        merge_gossip: Callable[[GossipMessage], None],
        list_required_hosts: Callable[[float], list[str]] = lambda now: [],
        observer: GatewayObserver,
        clock: Clock,
        random_state: random.Random,
    ):
        self.address = address
        self.table = table
        self.make_gossip = make_gossip
        self.merge_gossip = merge_gossip
        self.list_required_hosts = list_required_hosts
        self.observer = observer
        self.clock = clock
        self.random_state = random_state
        self._decoder = msgspec.msgpack.Decoder(GossipMessage)

    async def run(self) -> None:
        """Send and receive gossip until cancelled."""
        with trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            await sock.bind((self.address.host, self.address.port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive_gossip, sock)
                while True:
                    await self._send_gossip(sock)
                    await trio.sleep(GOSSIP_INTERVAL_S)

    async def _send_gossip(self, sock: trio.socket.SocketType) -> None:
        now = self.clock.now()
        self.observer.set_peers(len(self.table.list_alive(now)))
        hosts = self.table.list_hosts(now)
        if len(hosts) > MAX_GOSSIP_PEERS:
            hosts = self.random_state.sample(hosts, MAX_GOSSIP_PEERS)
        data = msgspec.msgpack.encode(self.make_gossip(now))
        for host in {*hosts, *self.list_required_hosts(now)}:
            try:
                await sock.sendto(data, (host, self.address.port))
            except OSError:
                # The message of the next round replaces this one.
                continue

    async def _receive_gossip(self, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                data, _ = await sock.recvfrom(MAX_DATAGRAM_BYTES)
                message = self._decoder.decode(data)
            except OSError:
                # An earlier datagram was sent to a port without a listener.
                continue
            except msgspec.MsgspecError as exc:
                self.observer.record_decode_error("datagram", "", str(exc))
                continue
            if self.table.update_peer(message, self.clock.now()):
                self.observer.record_peer(message.node_id, message.host)
            self.merge_gossip(message)
