"""RPC clients of an entry for the other entries."""

import random
import ssl

import trio

from crocusvalve.base import Revision
from crocusvalve.control import ConfigCache
from crocusvalve.entry._config_sync import push_revision
from crocusvalve.exceptions import CrocusvalveError
from crocusvalve.rpc import Empty, Notice, PeerClient

__all__ = ["PeerGroup"]

#: Number of random peers to which an entry forwards a revision or a notice.
FAN_OUT = 4


class PeerGroup:
    """Holds one client per peer, and pushes revisions and notices to peers.

    Parameters
    ----------
    addresses : tuple of str
        Internal addresses of the peers, as ``HOST:PORT``.
    random_state : random.Random
        Source of randomness for the choice of peers.
    token : str
        Internal key, shared by all processes of the environment.
    tls : ssl.SSLContext or None
        Client TLS context of internal connections; None for plain TCP.
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        *,
        random_state: random.Random,
        token: str = "",
        tls: ssl.SSLContext | None = None,
    ):
        self.addresses = addresses
        self.random_state = random_state
        self.token = token
        self.tls = tls
        self._clients: dict[str, PeerClient] = {}
        self._revisions: dict[str, Revision] = {}

    def list_clients(self) -> list[PeerClient]:
        """Return the clients of a few random peers.

        Must be called inside ``trio_asyncio.open_loop()``.
        """
        return [self._get(address) for address in self._sample_peers()]

    def _get(self, address: str) -> PeerClient:
        client = self._clients.get(address)
        if client is None:
            client = PeerClient(address, token=self.token, tls=self.tls)
            self._clients[address] = client
        return client

    def _sample_peers(self) -> list[str]:
        """Return a few random peers; each forwards in turn, so that all are soon reached."""
        n_chosen = min(FAN_OUT, len(self.addresses))
        return self.random_state.sample(self.addresses, n_chosen)

    async def push_to_random_peers(self, config_cache: ConfigCache) -> None:
        """Push the newest revision to a few random peers, which forward it."""
        async with trio.open_nursery() as nursery:
            for address in self._sample_peers():
                nursery.start_soon(self._push, config_cache, address)

    async def _push(self, config_cache: ConfigCache, address: str) -> None:
        known_revision = self._revisions.get(address, Revision(0))
        # A peer that polls the store usually has the revision before this one.
        base = known_revision or Revision(config_cache.revision - 1)
        self._revisions[address] = await push_revision(config_cache, self._get(address), base)

    async def notify(self, notice: Notice, *, is_local: bool) -> None:
        """Send a notice issued here to all peers, one of another entry to a few random peers."""
        async with trio.open_nursery() as nursery:
            for address in self.addresses if is_local else self._sample_peers():
                nursery.start_soon(self._notify, address, notice)

    async def _notify(self, address: str, notice: Notice) -> None:
        try:
            await self._get(address).notify(notice)
        except CrocusvalveError:
            # The peer receives the notice from another entry or the change from the document.
            return

    async def fetch_notices(self) -> list[Notice]:
        """Return the notices that a few random peers list, unverified and with repeats."""
        notices: list[Notice] = []
        async with trio.open_nursery() as nursery:
            for address in self._sample_peers():
                nursery.start_soon(self._fetch, address, notices)
        return notices

    async def _fetch(self, address: str, notices: list[Notice]) -> None:
        try:
            reply = await self._get(address).list_notices(Empty())
        except CrocusvalveError:
            # The next periodic fetch asks peers again.
            return
        notices.extend(reply.notices)

    def close(self) -> None:
        """Close all clients."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()
