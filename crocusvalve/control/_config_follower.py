"""Updates a process to the newest revision, from the store or, while that fails, from peers."""

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
#: Number of peers to ask in one poll while the store fails.
N_PEERS_PER_POLL = 3


class ConfigPeer(Protocol):
    """A process that can be asked for its newest revision."""

    async def pull_config(self, req: ConfigAck) -> ConfigPush:
        """Return the newest revision that this process has."""


async def fetch_from_peers(
    peers: Sequence[ConfigPeer], known_revision: Revision, *, timeout_s: float = PEER_TIMEOUT_S
) -> ConfigPush | None:
    """Ask peers concurrently; return the newest push past ``known_revision``, or None.

    Parameters
    ----------
    peers : sequence of ConfigPeer
        Peers to ask.
    known_revision : Revision
        Revision that the caller has; 0 requests the full document.
    timeout_s : float
        Timeout in seconds; replies received by then are used.
    """
    pushes: list[ConfigPush] = []

    async def ask(peer: ConfigPeer) -> None:
        try:
            pushes.append(
                await peer.pull_config(ConfigAck(known_revision, need_full=known_revision == 0))
            )
        except CrocusvalveError as exc:
            logger.info("peer returned no configuration: %s", exc)

    with trio.move_on_after(timeout_s):
        async with trio.open_nursery() as nursery:
            for peer in peers:
                nursery.start_soon(ask, peer)
    newer = [push for push in pushes if push.revision > known_revision]
    return max(newer, key=lambda push: push.revision, default=None)


class ConfigFollower:
    """Polls the store's head row, loads newer revisions, and asks peers while the store fails.

    Parameters
    ----------
    store : ConfigStore
        Store of the environment's configuration.
    config_cache : ConfigCache
        Cache that the revisions found are applied to.
    clock : Clock
        Source of the current time.
    list_peers : callable
        Returns the peers that may be asked while the store fails.
    repairs_head : bool
        Whether to write the revision in force back to a store whose head is lower, as after a
        restore from an older copy.
    poll_interval_s : float
        Delay between polls, in seconds.
    """

    def __init__(
        self,
        store: ConfigStore,
        config_cache: ConfigCache,
        *,
        clock: Clock,
        list_peers: Callable[[], Sequence[ConfigPeer]] = tuple,
        repairs_head: bool = True,
        poll_interval_s: float = POLL_INTERVAL_S,
    ):
        self.store = store
        self.config_cache = config_cache
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
        """Look for a newer revision once; return whether the store could be read."""
        try:
            await self._poll_store()
        except PlatformError as exc:
            logger.info("configuration store failed: %s", exc)
            await self._poll_peers()
            return False
        except CrocusvalveError as exc:
            logger.error("configuration in the store is unreadable: %s", exc)
            await self._poll_peers()
            return False
        return True

    async def _poll_store(self) -> None:
        head = await self.store.read_head()
        state = self.config_cache.update_head_state(head)
        if state is HeadState.NEWER:
            document, revision = await self.store.load()
            self.config_cache.apply_document(document, revision)
            self.config_cache.update_head_state(revision)
        elif state is HeadState.REGRESSED and self.repairs_head:
            await self._repair()

    async def _repair(self) -> None:
        document = self.config_cache.document
        if document is None:
            return
        revision = self.config_cache.revision
        is_written = await self.store.repair(document, revision, "repair", self.clock.now())
        logger.warning(
            "head_regressed: revision %d written back to the store: %s", revision, is_written
        )

    def _choose_peers(self) -> list[ConfigPeer]:
        """Return the next few peers in rotation, so that those that fail don't hide the others."""
        peers = list(self.list_peers())
        if not peers:
            return []
        start = self._n_peers_asked % len(peers)
        self._n_peers_asked += N_PEERS_PER_POLL
        return (peers[start:] + peers[:start])[:N_PEERS_PER_POLL]

    async def _poll_peers(self) -> None:
        peers = self._choose_peers()
        push = await fetch_from_peers(peers, self.config_cache.revision)
        if push is None:
            return
        ack = self.config_cache.apply_push(push)
        if ack.need_full:
            full = await fetch_from_peers(peers, Revision(0))
            if full is not None:
                self.config_cache.apply_push(full)
