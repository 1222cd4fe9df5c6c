"""Where an agent has its revisions from."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from crocusvalve.base import Revision
from crocusvalve.config import DocumentView
from crocusvalve.rpc import ConfigAck, ConfigPush

__all__ = ["LearnRevision", "RevisionKeeper", "learn_nothing"]

#: Pulls a revision of at least a number from the entries into the agent's keeper.
LearnRevision = Callable[[Revision], Awaitable[bool]]


class RevisionKeeper(Protocol):
    """The newest revision in a process; ``control.ConfigCache`` has this shape."""

    view: DocumentView | None

    def apply_push(self, push: ConfigPush) -> ConfigAck:
        """Take a revision; an older one is ignored."""

    def make_push(self, have: Revision) -> ConfigPush:
        """Return the newest revision for a process that has an older one."""


async def learn_nothing(revision: Revision) -> bool:
    """Stand in where no entry can be asked."""
    return False
