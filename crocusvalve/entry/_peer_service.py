"""RPC service of an entry for its peers and for agents."""

from crocusvalve.base import Revision
from crocusvalve.control import ConfigCache
from crocusvalve.entry._notice_distributor import NoticeDistributor
from crocusvalve.rpc import (
    ConfigAck,
    ConfigPush,
    Empty,
    Notice,
    NoticeAck,
    NoticeList,
    PeerService,
)

__all__ = ["EntryPeerService"]


class EntryPeerService(PeerService):
    """Exchanges configuration revisions and notices with peers and agents.

    Parameters
    ----------
    config_cache : ConfigCache
        Cache of the newest configuration revision.
    notices : NoticeDistributor
        Merges and lists notices.
    """

    def __init__(self, config_cache: ConfigCache, notices: NoticeDistributor):
        self.config_cache = config_cache
        self.notices = notices

    async def push_config(self, req: ConfigPush) -> ConfigAck:
        """Merge a pushed revision into the cache and acknowledge it."""
        return self.config_cache.apply_push(req)

    async def pull_config(self, req: ConfigAck) -> ConfigPush:
        """Return the newest revision, as a delta on the revision of the sender where possible."""
        return self.config_cache.make_push(Revision(0) if req.need_full else req.revision)

    async def notify(self, req: Notice) -> NoticeAck:
        """Merge a notice and distribute it if it is new."""
        return NoticeAck(self.notices.merge_notice(req))

    async def list_notices(self, req: Empty) -> NoticeList:
        """Return the notices in force and the digests that crashed upstreams."""
        return NoticeList(self.notices.list_notices())
