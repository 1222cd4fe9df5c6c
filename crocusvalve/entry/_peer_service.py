"""What an entry answers to its peers and to agents."""

from crocusvalve.base import Revision
from crocusvalve.control import ConfigKeeper
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
    """What an entry answers to its peers and agents.

    Parameters
    ----------
    keeper : ConfigKeeper
        The newest revision.
    notices : NoticeDistributor
        Takes and lists notices.
    """

    def __init__(self, keeper: ConfigKeeper, notices: NoticeDistributor):
        self.keeper = keeper
        self.notices = notices

    async def push_config(self, req: ConfigPush) -> ConfigAck:
        """Take a revision."""
        return self.keeper.take_push(req)

    async def pull_config(self, req: ConfigAck) -> ConfigPush:
        """Return the newest revision, as a delta on the asker's where possible."""
        return self.keeper.make_push(Revision(0) if req.need_full else req.revision)

    async def notify(self, req: Notice) -> NoticeAck:
        """Take a notice and pass it on where it is new."""
        return NoticeAck(self.notices.merge_notice(req))

    async def list_notices(self, req: Empty) -> NoticeList:
        """Return the notices in force and the digests that crashed upstreams."""
        return NoticeList(self.notices.list_notices())
