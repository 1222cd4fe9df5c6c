"""Publishes a change of the newest document, again where another change was first."""

from collections.abc import Callable

from crocusvalve.base import Revision
from crocusvalve.config import Document
from crocusvalve.control import ConfigKeeper, ConfigStore
from crocusvalve.exceptions import ConfigConflictError
from crocusvalve.utils import Clock

__all__ = ["DocumentPublisher", "Edit"]

MAX_PUBLISH_ATTEMPTS = 8

#: Returns the changed document; returns the same one where nothing is to be changed.
Edit = Callable[[Document], Document]


class DocumentPublisher:
    """Applies single changes to the newest document in the store.

    Parameters
    ----------
    store : ConfigStore
        The environment's configuration.
    keeper : ConfigKeeper
        Takes what was published.
    clock : Clock
        Source of the present time.
    """

    def __init__(self, store: ConfigStore, keeper: ConfigKeeper, *, clock: Clock):
        self.store = store
        self.keeper = keeper
        self.clock = clock

    async def publish(self, base: Revision, document: Document, author: str) -> Revision:
        """Publish a whole document, already checked, on a base revision.

        Raises
        ------
        ConfigConflictError
            Another change was accepted first.
        PlatformError
            The store failed.
        """
        revision = await self.store.publish(base, document, author, self.clock.now())
        self.keeper.take_document(document, revision)
        return revision

    async def edit(self, edit: Edit, author: str) -> Revision:
        """Publish a change of the newest document; return the revision that carries it.

        Raises
        ------
        ConfigConflictError
            Other changes were first in every round.
        PlatformError
            The store failed.
        """
        for _ in range(MAX_PUBLISH_ATTEMPTS):
            document, base = await self.store.load()
            self.keeper.take_document(document, base)
            changed = edit(document)
            if changed == document:
                return base
            try:
                return await self.publish(base, changed, author)
            except ConfigConflictError as exc:
                newest = exc.revision
        raise ConfigConflictError("other changes were first", revision=newest)
