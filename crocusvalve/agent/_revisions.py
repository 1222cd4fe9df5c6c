"""Interfaces through which an agent gets configuration revisions."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from crocusvalve.base import Revision
from crocusvalve.config import DocumentView
from crocusvalve.rpc import ConfigAck, ConfigPush

__all__ = ["PullRevision", "RevisionCache", "pull_no_revision"]

#: Pulls the given or a newer revision from the entries into the agent's cache; returns whether it
#: succeeded.
PullRevision = Callable[[Revision], Awaitable[bool]]


class RevisionCache(Protocol):
    """The newest revision in a process; ``control.ConfigCache`` implements this protocol."""

    view: DocumentView | None

    def apply_push(self, push: ConfigPush) -> ConfigAck:
        """Apply a pushed revision; an older one is ignored."""

    def make_push(self, peer_revision: Revision) -> ConfigPush:
        """Return the newest revision for a process that has an older one."""


async def pull_no_revision(revision: Revision) -> bool:
    """Pull nothing; the default of an agent that cannot ask any entry."""
    return False
