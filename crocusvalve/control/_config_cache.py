"""The newest revision that a process knows; its number only rises."""

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

__all__ = ["ConfigCache", "HeadState", "ConfigCacheCounters"]

logger = logging.getLogger(__name__)

N_DOCUMENTS_KEPT = 32

ViewListener = Callable[[DocumentView], None]


class HeadState(Enum):
    """How the store's head stands to the newest revision known."""

    CURRENT = "current"
    NEWER = "newer"
    REGRESSED = "regressed"


class ConfigCacheCounters(Struct):
    """Numbers of revisions taken and refused."""

    n_taken: int = 0
    n_stale: int = 0
    n_need_full: int = 0
    n_damaged: int = 0
    n_diverged: int = 0
    n_head_regressed: int = 0


class ConfigCache:
    """Holds the newest revision, takes newer ones and passes them on as deltas.

    Parameters
    ----------
    n_documents_kept : int
        Revisions from which deltas can be made.

    Attributes
    ----------
    view : DocumentView or None
        Index over the newest revision; None before the first.
    head_state : HeadState
        How the store's head stood when last seen.
    counters : ConfigCacheCounters
        Revisions taken and refused.
    """

    def __init__(self, *, n_documents_kept: int = N_DOCUMENTS_KEPT):
        self.n_documents_kept = n_documents_kept
        self.view: DocumentView | None = None
        self.head_state = HeadState.CURRENT
        self.counters = ConfigCacheCounters()
        self._documents: dict[Revision, Document] = {}
        self._pushes: dict[Revision, ConfigPush] = {}
        self._listeners: list[ViewListener] = []

    @property
    def revision(self) -> Revision:
        """Newest revision known; 0 before the first."""
        return self.view.revision if self.view else Revision(0)

    @property
    def document(self) -> Document | None:
        """Newest document known."""
        return self.view.document if self.view else None

    def add_listener(self, listener: ViewListener) -> None:
        """Call a listener with the view of every newer revision, and at once with the present."""
        self._listeners.append(listener)
        if self.view is not None:
            listener(self.view)

    def apply_document(self, document: Document, revision: Revision) -> bool:
        """Put a document in force where it is newer; tell whether it was.

        Another document under the revision in force is counted and logged, and never taken.
        """
        if revision < self.revision:
            self.counters.n_stale += 1
            return False
        if revision == self.revision:
            self._check_same(document)
            return False
        self._install(document, revision)
        return True

    def apply_push(self, push: ConfigPush) -> ConfigAck:
        """Take a pushed revision; the reply carries the revision now in force."""
        if push.revision <= self.revision:
            self.counters.n_stale += push.revision < self.revision
            return ConfigAck(self.revision)
        try:
            document = self._decode_push(push)
        except ConfigError as exc:
            logger.warning("damaged configuration push of revision %d: %s", push.revision, exc)
            self.counters.n_damaged += 1
            document = None
        if document is None:
            self.counters.n_need_full += 1
            return ConfigAck(self.revision, need_full=True)
        self._install(document, push.revision)
        return ConfigAck(self.revision)

    def make_push(self, have: Revision) -> ConfigPush:
        """Make the push that brings a peer from a revision to the newest.

        Parameters
        ----------
        have : Revision
            The peer's revision; 0, or one no longer kept here, makes a whole document.
        """
        document = self.document
        if document is None or have >= self.revision:
            return ConfigPush(self.revision, self.revision, b"")
        base = have if have in self._documents else Revision(0)
        if base not in self._pushes:
            payload = (
                make_delta(self._documents[base], document) if base else encode_document(document)
            )
            self._pushes[base] = ConfigPush(self.revision, base, payload)
        return self._pushes[base]

    def note_head(self, head: Revision) -> HeadState:
        """Compare the store's head with the newest revision known.

        A head that is lower means that the store was restored from an older copy: the revision in
        force stays, and the fact is logged and counted.
        """
        if head > self.revision:
            self.head_state = HeadState.NEWER
        elif head == self.revision:
            self.head_state = HeadState.CURRENT
        else:
            self._note_regressed(head)
        return self.head_state

    def _note_regressed(self, head: Revision) -> None:
        if self.head_state is not HeadState.REGRESSED:
            self.counters.n_head_regressed += 1
            logger.error(
                "head_regressed: the store's head is revision %d, in force is %d",
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
                f"revision would go from {self.revision} to {revision}", step="install_config"
            )
        self.view = DocumentView(document, revision)
        self.counters.n_taken += 1
        self._documents[revision] = document
        while len(self._documents) > self.n_documents_kept:
            del self._documents[min(self._documents)]
        self._pushes.clear()
        for listener in self._listeners:
            listener(self.view)

    def _check_same(self, document: Document) -> None:
        if document is self.document or document == self.document:
            return
        self.counters.n_diverged += 1
        logger.error(
            "two documents under revision %d: %s in force, %s offered",
            self.revision,
            compute_document_digest(self.document),
            compute_document_digest(document),
        )
