"""Publishes edits of the newest document, and retries when another change was published first."""

from collections.abc import Callable

from crocusvalve.base import Revision
from crocusvalve.config import Document
from crocusvalve.control import ConfigCache, ConfigStore
from crocusvalve.exceptions import ConfigConflictError
from crocusvalve.utils import Clock

__all__ = ["DocumentPublisher", "Edit"]

MAX_PUBLISH_ATTEMPTS = 8

#: Returns the edited document, or an equal one if there is nothing to change.
Edit = Callable[[Document], Document]


class DocumentPublisher:
    """Publishes whole documents and edits of the newest document in the store.

    Parameters
    ----------
    store : ConfigStore
        Store of the environment's configuration revisions.
    config_cache : ConfigCache
        Cache that is updated with each document read or published.
    clock : Clock
        Source of the current time.
    """

    def __init__(self, store: ConfigStore, config_cache: ConfigCache, *, clock: Clock):
        self.store = store
        self.config_cache = config_cache
        self.clock = clock

    async def publish(self, base: Revision, document: Document, author: str) -> Revision:
        """Publish a whole document, already checked, as the successor of a base revision.

        Raises
        ------
        ConfigConflictError
            If another change was published first.
        PlatformError
            If the store failed.
        """
        revision = await self.store.publish(base, document, author, self.clock.now())
        self.config_cache.apply_document(document, revision)
        return revision

    async def edit(self, edit: Edit, author: str) -> Revision:
        """Apply an edit to the newest document and return the revision that contains it.

        Raises
        ------
        ConfigConflictError
            If another change was published first in each of ``MAX_PUBLISH_ATTEMPTS`` attempts.
        PlatformError
            If the store failed.
        """
        for _ in range(MAX_PUBLISH_ATTEMPTS):
            document, base = await self.store.load()
            self.config_cache.apply_document(document, base)
            changed = edit(document)
            if changed == document:
                return base
            try:
                return await self.publish(base, changed, author)
            except ConfigConflictError as exc:
                newest = exc.revision
        raise ConfigConflictError("other changes were published first", revision=newest)
