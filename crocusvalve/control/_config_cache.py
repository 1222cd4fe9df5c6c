"""Cache of the newest configuration revision that a process knows; its number never decreases."""

import logging
from collections.abc import Callable
from enum import Enum

from msgspec import Struct

from crocusvalve.base import Revision
from crocusvalve.config import (
    Document,
    DocumentView,
    apply_delta,
    compute_document_digest,
    decode_document,
    encode_document,
    make_delta,
)
from crocusvalve.exceptions import ConfigError, InvariantError
from crocusvalve.rpc import ConfigAck, ConfigPush

__all__ = ["ConfigCache", "ConfigCacheCounters", "HeadState"]

logger = logging.getLogger(__name__)

#: Number of recent documents retained to make deltas from.
MAX_DOCUMENTS = 32

#: Called with the view of each newer revision.
ViewListener = Callable[[DocumentView], None]


class HeadState(Enum):
    """State of the store's head revision, compared with the newest revision in the cache."""

    CURRENT = "current"
    NEWER = "newer"
    REGRESSED = "regressed"


class ConfigCacheCounters(Struct):
    """Numbers of revisions that were applied or rejected, by cause.

    Attributes
    ----------
    n_applied : int
        Newer revisions put in force.
    n_stale : int
        Documents and pushes older than the revision in force.
    n_full_requested : int
        Pushes answered by a request for the full document, as they were corrupt or based on a
        revision that is not held here.
    n_corrupt : int
        Pushes that could not be decoded, or whose delta doesn't fit its base.
    n_diverged : int
        Documents that differ from the one in force under the same revision.
    n_head_regressed : int
        Times at which the store's head was first found lower than the revision in force.
    """

    n_applied: int = 0
    n_stale: int = 0
    n_full_requested: int = 0
    n_corrupt: int = 0
    n_diverged: int = 0
    n_head_regressed: int = 0


class ConfigCache:
    """Holds the newest revision, applies newer ones and makes deltas of them for peers.

    Parameters
    ----------
    max_documents : int
        Number of recent revisions retained, from which deltas can be made.

    Attributes
    ----------
    view : DocumentView or None
        Indexed view of the newest document; None before the first.
    head_state : HeadState
        Result of the last comparison with the store's head.
    counters : ConfigCacheCounters
        Numbers of revisions applied and rejected.
    """

    def __init__(self, *, max_documents: int = MAX_DOCUMENTS):
        self.max_documents = max_documents
        self.view: DocumentView | None = None
        self.head_state = HeadState.CURRENT
        self.counters = ConfigCacheCounters()
        self._documents: dict[Revision, Document] = {}
        self._pushes: dict[Revision, ConfigPush] = {}
        self._listeners: list[ViewListener] = []

    @property
    def revision(self) -> Revision:
        """Newest revision in the cache; 0 before the first."""
        return self.view.revision if self.view else Revision(0)

    @property
    def document(self) -> Document | None:
        """Document of the newest revision; None before the first."""
        return self.view.document if self.view else None

    def add_listener(self, listener: ViewListener) -> None:
        """Register a listener, called with the current view at once and with every newer one."""
        self._listeners.append(listener)
        if self.view is not None:
            listener(self.view)

    def apply_document(self, document: Document, revision: Revision) -> bool:
        """Put a document in force if its revision is newer; return whether it was.

        A different document under the revision in force is counted and logged, but never applied.
        """
        if revision < self.revision:
            self.counters.n_stale += 1
            return False
        if revision == self.revision:
            self._check_not_diverged(document)
            return False
        self._install(document, revision)
        return True

    def apply_push(self, push: ConfigPush) -> ConfigAck:
        """Apply a pushed revision if it is newer.

        The reply contains the revision now in force, and requests the full document if the push
        could not be applied.
        """
        if push.revision <= self.revision:
            self.counters.n_stale += push.revision < self.revision
            return ConfigAck(self.revision)
        try:
            document = self._decode_push(push)
        except ConfigError as exc:
            logger.warning("corrupt configuration push of revision %d: %s", push.revision, exc)
            self.counters.n_corrupt += 1
            document = None
        if document is None:
            self.counters.n_full_requested += 1
            return ConfigAck(self.revision, need_full=True)
        self._install(document, push.revision)
        return ConfigAck(self.revision)

    def make_push(self, peer_revision: Revision) -> ConfigPush:
        """Return a push that updates a peer from its revision to the newest.

        Parameters
        ----------
        peer_revision : Revision
            The peer's revision. If it is 0 or no longer retained here, the push contains the full
            document instead of a delta.
        """
        document = self.document
        if document is None or peer_revision >= self.revision:
            return ConfigPush(self.revision, self.revision, b"")
        base = peer_revision if peer_revision in self._documents else Revision(0)
        if base not in self._pushes:
            payload = (
                make_delta(self._documents[base], document) if base else encode_document(document)
            )
            self._pushes[base] = ConfigPush(self.revision, base, payload)
        return self._pushes[base]

    def update_head_state(self, head: Revision) -> HeadState:
        """Compare the store's head with the newest revision in the cache, and return the result.

        A lower head means that the store was restored from an older copy: the revision in force
        stays, and the regression is logged and counted.
        """
        if head > self.revision:
            self.head_state = HeadState.NEWER
        elif head == self.revision:
            self.head_state = HeadState.CURRENT
        else:
            self._mark_head_regressed(head)
        return self.head_state

    def _mark_head_regressed(self, head: Revision) -> None:
        if self.head_state is not HeadState.REGRESSED:
            self.counters.n_head_regressed += 1
            logger.error(
                "head_regressed: the store's head is revision %d, but revision %d is in force",
                head,
                self.revision,
            )
        self.head_state = HeadState.REGRESSED

    def _decode_push(self, push: ConfigPush) -> Document | None:
        if push.base == 0:
            return decode_document(push.payload)
        base = self._documents.get(push.base)
        return apply_delta(base, push.payload) if base is not None else None

    def _install(self, document: Document, revision: Revision) -> None:
        if revision <= self.revision:
            raise InvariantError(
                f"revision would decrease from {self.revision} to {revision}", step="install_config"
            )
        self.view = DocumentView(document, revision)
        self.counters.n_applied += 1
        self._documents[revision] = document
        while len(self._documents) > self.max_documents:
            del self._documents[min(self._documents)]
        self._pushes.clear()
        for listener in self._listeners:
            listener(self.view)

    def _check_not_diverged(self, document: Document) -> None:
        if document is self.document or document == self.document:
            return
        self.counters.n_diverged += 1
        logger.error(
            "two different documents for revision %d: digest %s in force, digest %s received",
            self.revision,
            compute_document_digest(self.document),
            compute_document_digest(document),
        )
