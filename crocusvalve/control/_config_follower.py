"""Keeps a process at the newest revision, from the store or from its peers."""

import logging
from collections.abc import Callable, Sequence
from typing import Protocol

import trio

from crocusvalve.base import Revision
from crocusvalve.control._config_cache import ConfigCache, HeadState
from crocusvalve.control._config_store import ConfigStore
from crocusvalve.exceptions import CrocusvalveError, PlatformError
from crocusvalve.rpc import ConfigAck, ConfigPush
from crocusvalve.utils import Clock

__all__ = ["ConfigFollower", "ConfigPeer", "fetch_from_peers"]

logger = logging.getLogger(__name__)

PEER_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 1.0
N_PEERS_ASKED = 3


class ConfigPeer(Protocol):
    """A process that can be asked for its newest revision."""

    async def pull_config(self, req: ConfigAck) -> ConfigPush:
        """Return the newest revision known."""


async def fetch_from_peers(
    peers: Sequence[ConfigPeer], have: Revision, *, timeout_s: float = PEER_TIMEOUT_S
) -> ConfigPush | None:
    """Ask peers at once and return the newest push past ``have``, or None.

    Parameters
    ----------
    peers : sequence of ConfigPeer
        Peers to ask.
    have : Revision
        Revision of the asker; 0 asks for the whole document.
    timeout_s : float
        Longest wait in seconds; answers that came by then count.
    """
    pushes: list[ConfigPush] = []

    async def ask(peer: ConfigPeer) -> None:
        try:
            pushes.append(await peer.pull_config(ConfigAck(have, need_full=have == 0)))
        except CrocusvalveError as exc:
            logger.info("peer gave no configuration: %s", exc)

    with trio.move_on_after(timeout_s):
        async with trio.open_nursery() as nursery:
            for peer in peers:
                nursery.start_soon(ask, peer)
    newer = [push for push in pushes if push.revision > have]
    return max(newer, key=lambda push: push.revision, default=None)


class ConfigFollower:
    """Polls the head row, loads newer revisions, and asks peers while the store fails.

    Parameters
    ----------
    store : ConfigStore
        The environment's configuration.
    keeper : ConfigCache
        Takes what was found.
    clock : Clock
        Source of the present time.
    list_peers : callable
        Returns the peers to ask while the store fails.
    repairs_head : bool
        Whether to write the revision in force over a head that regressed.
    poll_interval_s : float
        Delay between polls, in seconds.
    """

    def __init__(
        self,
        store: ConfigStore,
        keeper: ConfigCache,
        *,
        clock: Clock,
        list_peers: Callable[[], Sequence[ConfigPeer]] = tuple,
        repairs_head: bool = True,
        poll_interval_s: float = POLL_INTERVAL_S,
    ):
        self.store = store
        self.keeper = keeper
        self.clock = clock
        self.list_peers = list_peers
        self.repairs_head = repairs_head
        self.poll_interval_s = poll_interval_s
        self._n_peers_asked = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll_once()
            await trio.sleep(self.poll_interval_s)

    async def poll_once(self) -> bool:
        """Look for a newer revision once; tell whether the store answered."""
        try:
            await self._poll_store()
        except PlatformError as exc:
            logger.info("configuration store failed: %s", exc)
            await self._poll_peers()
            return False
        except CrocusvalveError as exc:
            logger.error("configuration in the store can't be read: %s", exc)
            await self._poll_peers()
            return False
        return True

    async def _poll_store(self) -> None:
        head = await self.store.read_head()
        state = self.keeper.note_head(head)
        if state is HeadState.NEWER:
            document, revision = await self.store.load()
            self.keeper.apply_document(document, revision)
            self.keeper.note_head(revision)
        elif state is HeadState.REGRESSED and self.repairs_head:
            await self._repair()

    async def _repair(self) -> None:
        document = self.keeper.document
        if document is None:
            return
        revision = self.keeper.revision
        is_written = await self.store.repair(document, revision, "repair", self.clock.now())
        logger.warning("head_regressed: revision %d written back: %s", revision, is_written)

    def _choose_peers(self) -> list[ConfigPeer]:
        """Return the next few peers in turn, so that dead ones don't hide the others."""
        peers = list(self.list_peers())
        if not peers:
            return []
        start = self._n_peers_asked % len(peers)
        self._n_peers_asked += N_PEERS_ASKED
        return (peers[start:] + peers[:start])[:N_PEERS_ASKED]

    async def _poll_peers(self) -> None:
        peers = self._choose_peers()
        push = await fetch_from_peers(peers, self.keeper.revision)
        if push is None:
            return
        ack = self.keeper.apply_push(push)
        if ack.need_full:
            full = await fetch_from_peers(peers, Revision(0))
            if full is not None:
                self.keeper.apply_push(full)
