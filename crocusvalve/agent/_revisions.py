"""Where an agent has its revisions from."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from crocusvalve.base import Revision
from crocusvalve.config import DocumentView
from crocusvalve.rpc import ConfigAck, ConfigPush

__all__ = ["PullRevision", "RevisionCache", "pull_no_revision"]

#: Pulls a revision of at least a number from the entries into the agent's keeper.
PullRevision = Callable[[Revision], Awaitable[bool]]


class RevisionCache(Protocol):
    """The newest revision in a process; ``control.ConfigKeeper`` has this shape."""

    view: DocumentView | None

    def take_push(self, push: ConfigPush) -> ConfigAck:
        """Take a revision; an older one is ignored."""

    def make_push(self, have: Revision) -> ConfigPush:
        """Return the newest revision for a process that has an older one."""


async def pull_no_revision(revision: Revision) -> bool:
    """Stand in where no entry can be asked."""
    return False
