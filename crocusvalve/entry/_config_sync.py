"""Pushes configuration revisions from an entry to its peers and agents."""

import logging

import trio

from crocusvalve.base import Revision
from crocusvalve.control import ConfigCache
from crocusvalve.exceptions import CrocusvalveError
from crocusvalve.rpc import ConfigAck, ConfigPush
from crocusvalve.rpc.base import NodeService

__all__ = ["push_revision"]

logger = logging.getLogger(__name__)

PUSH_TIMEOUT_S = 2.0


async def push_revision(
    config_cache: ConfigCache, peer: NodeService, peer_revision: Revision
) -> Revision:
    """Push the newest revision to a peer and return the revision that the peer then has.

    The push is a delta on ``peer_revision`` where possible, else the full document. If it fails,
    ``peer_revision`` is returned, so that a later push is tried.

    Parameters
    ----------
    config_cache : ConfigCache
        Cache of the newest configuration revision of this process.
    peer : AgentService or PeerService
        RPC client of the peer or agent.
    peer_revision : Revision
        Revision that the peer last reported, or is assumed to have.
    """
    try:
        with trio.fail_after(PUSH_TIMEOUT_S):
            ack = await _push(config_cache, peer, peer_revision)
            if ack.need_full:
                ack = await _push(config_cache, peer, Revision(0))
            return ack.revision
    except (CrocusvalveError, trio.TooSlowError) as exc:
        logger.info("failed to push revision %d: %s", config_cache.revision, exc)
        return peer_revision


async def _push(config_cache: ConfigCache, peer: NodeService, peer_revision: Revision) -> ConfigAck:
    push: ConfigPush = config_cache.make_push(peer_revision)
    if push.revision <= peer_revision:
        return ConfigAck(peer_revision)
    return await peer.push_config(push)
