"""Registration of gateways in the store, by which they find each other."""

import random

import trio

from crocusvalve.base import NodeId
from crocusvalve.exceptions import PlatformError
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway.shared._peers import PeerTable
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.store.base import ChangeFeed
from crocusvalve.utils import Clock

__all__ = ["MemberRegistry"]

#: Table in which gateways register to find each other, the pause after the first read of it, in
#: which the gateways that start at the same time register, and the pause between later reads.
MEMBER_TABLE = "gateways"
FIRST_MEMBER_PAUSE_S = 4.0
MEMBER_PAUSE_S = 45.0
MEMBER_RETRY_S = 1.0
#: Interval at which a gateway checks whether the store was restored, and the longest random delay
#: until it registers again, so that not all gateways call the store at once.
ERA_POLL_INTERVAL_S = 1.0
MAX_REGISTER_DELAY_S = 3.0


class MemberRegistry:
    """Registers this gateway in the store and reads the hosts of the others from it.

    Gateways also learn each other's hosts from gossip; the store is read rarely, since calls are
    charged.

    Parameters
    ----------
    node_id : NodeId
        Identifier of this gateway.
    host : str
        Host on which it receives gossip.
    feed : ChangeFeed
        Client of the store.
    peers : PeerTable
        Gets the hosts of the others.
    store : StoreState
        Availability and era of the store.
    observer : GatewayObserver
        Counts failed calls.
    clock : Clock
        Clock of this gateway.
    random_state : random.Random
        Source of randomness for delays.
    """

    def __init__(
        self,
        *,
        node_id: NodeId,
        host: str,
        feed: ChangeFeed,
        peers: PeerTable,
        store: StoreState,
        observer: GatewayObserver,
        clock: Clock,
        random_state: random.Random,
    ):
        self.node_id = node_id
        self.host = host
        self.feed = feed
        self.peers = peers
        self.store = store
        self.observer = observer
        self.clock = clock
        self.random_state = random_state

    async def run(self) -> None:
        """Register and read until cancelled."""
        pause_s = FIRST_MEMBER_PAUSE_S
        while True:
            try:
                era = await self._register()
                await self._wait_for_restore(era, pause_s)
                pause_s = MEMBER_PAUSE_S
            except PlatformError:
                self.observer.count_store_fault()
                await trio.sleep(MEMBER_RETRY_S)
                await self.store.wait_until_up(MEMBER_PAUSE_S)

    async def _register(self) -> int:
        """Read the table, write this gateway's row if it is missing; return the store's era."""
        page = await self.feed.read_table(MEMBER_TABLE)
        value = self.host.encode()
        stored = next((row for row in page.rows if row.key == self.node_id), None)
        if stored is None or stored.value != value:
            version = stored.version if stored else 0
            await self.feed.put_row(MEMBER_TABLE, self.node_id, value, version)
        hosts = [row.value.decode("latin-1") for row in page.rows if row.value]
        self.peers.add_hosts(hosts, self.clock.now())
        return page.era

    async def _wait_for_restore(self, era: int, timeout_s: float) -> None:
        """Wait for a time, or until shortly after the store was restored to a later era."""
        with trio.move_on_after(timeout_s):
            while self.store.era <= era:
                await trio.sleep(ERA_POLL_INTERVAL_S)
            await trio.sleep(self.random_state.uniform(0.0, MAX_REGISTER_DELAY_S))
