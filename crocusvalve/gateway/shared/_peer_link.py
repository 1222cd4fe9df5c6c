"""Exchange of gossip datagrams between gateways."""

import random
import socket
from collections.abc import Callable

import msgspec
import trio
from msgspec.msgpack import encode

from crocusvalve.base import DomainId
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway.base import Address
from crocusvalve.gateway.shared._gossip_message import GossipMessage
from crocusvalve.gateway.shared._gossip_targets import TargetQuery, choose_targets
from crocusvalve.gateway.shared._peers import PeerTable
from crocusvalve.utils import Clock, decode_untrusted

__all__ = ["PeerLink"]

#: Pause between two rounds of gossip.
GOSSIP_INTERVAL_S = 0.4
#: Largest payload of a datagram. The release before received 32768 bytes.
MAX_DATAGRAM_BYTES = 65507


class PeerLink:
    """Sends this gateway's gossip to its peers and receives theirs.

    Parameters
    ----------
    address : Address
        Address on which this gateway receives; its peers use the same port.
    domain : DomainId
        Failure domain of this gateway; empty if it is unknown.
    table : PeerTable
        Table of peers, updated with each received message.
    make_gossip : callable
        Returns this gateway's message for the given time.
    make_outside_gossip : callable
        Returns the message for other failure domains, for this gateway's message and the time.
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
        domain: DomainId,
        table: PeerTable,
        make_gossip: Callable[[float], GossipMessage],
        make_outside_gossip: Callable[[GossipMessage, float], GossipMessage],
        merge_gossip: Callable[[GossipMessage], None],
        list_required_hosts: Callable[[float], list[str]] = lambda now: [],
        observer: GatewayObserver,
        clock: Clock,
        random_state: random.Random,
    ):
        self.address = address
        self.domain = domain
        self.table = table
        self.make_gossip = make_gossip
        self.make_outside_gossip = make_outside_gossip
        self.merge_gossip = merge_gossip
        self.list_required_hosts = list_required_hosts
        self.observer = observer
        self.clock = clock
        self.random_state = random_state
        self._started_at = clock.now()
        # Gateways count rounds from about the same number, so that those of a failure domain tell
        # different hosts at a time.
        self._round_number = int(self._started_at / GOSSIP_INTERVAL_S)
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
        self._round_number += 1
        message = self.make_gossip(now)
        targets = choose_targets(
            TargetQuery(
                host=self.address.host,
                domain=self.domain,
                domains=self.table.list_host_domains(now),
                round_number=self._round_number,
                uptime_s=now - self._started_at,
                is_heard=self.table.has_recent(now),
                behind=self.table.list_hosts_behind(message.ban_fingerprint, now),
            ),
            self.random_state,
        )
        data = outside_data = encode(message)
        if targets.summarised:
            outside_data = encode(self.make_outside_gossip(message, now))
        required = set(self.list_required_hosts(now)) - {*targets.inside, *targets.outside}
        inside = [*targets.inside, *sorted(required)]
        for hosts, is_inside in ((inside, True), (targets.outside, False)):
            for host in hosts:
                sent = outside_data if host in targets.summarised else data
                try:
                    await sock.sendto(sent, (host, self.address.port))
                except OSError:
                    # The message of the next round replaces this one.
                    continue
                self.observer.gossip.count_sent(len(sent), is_inside=is_inside)

    async def _receive_gossip(self, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                data, _ = await sock.recvfrom(MAX_DATAGRAM_BYTES)
                message = decode_untrusted(self._decoder, data)
            except OSError:
                # An earlier datagram was sent to a port without a listener.
                continue
            except msgspec.MsgspecError as exc:
                self.observer.record_decode_error("datagram", "", str(exc))
                continue
            now = self.clock.now()
            self.observer.gossip.record_message(message.node_id, message.domain, now)
            if self.table.update_peer(message, now):
                self.observer.record_peer(message.node_id, message.host)
            self.merge_gossip(message)
