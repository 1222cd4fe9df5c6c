"""In-memory backend of the operators' API for tests."""

import msgspec

from crocusvalve.admin import (
    Accepted,
    AdminBackend,
    HistoryEntry,
    StatusReport,
    UpstreamStatus,
    UsageEntry,
)
from crocusvalve.base import UpstreamState
from crocusvalve.config import DocumentView, withdraw_version
from crocusvalve.exceptions import ConfigConflictError, PlatformError
from crocusvalve.model import RolloutRow


class MemoryAdminBackend(AdminBackend):
    """In-memory backend whose store can be unavailable or changed during a publication.

    Attributes
    ----------
    documents : list of Document
        Published documents; revision ``n`` is ``documents[n - 1]``.
    entries : list of HistoryEntry
        One per revision.
    is_store_up : bool
        Whether the store is available.
    before_publish : async callable or None
        Called once at the start of the next publication, such as to make a competing change.
    """

    def __init__(self, document):
        self.documents = [document]
        self.entries = [HistoryEntry(1, "delta/first", 1.0, "first")]
        self.is_store_up = True
        self.before_publish = None

    async def get_current_document(self):
        return self.documents[-1], len(self.documents)

    async def publish(self, base, document, author, now):
        if not self.is_store_up:
            raise PlatformError("the store is unavailable", step="publish")
        hook, self.before_publish = self.before_publish, None
        if hook is not None:
            await hook()
        if base != len(self.documents):
            raise ConfigConflictError("raced", revision=len(self.documents))
        self.documents.append(document)
        self.entries.append(HistoryEntry(len(self.documents), author, now))
        return len(self.documents)

    async def history(self, n):
        return self.entries[::-1][:n]

    async def _change(self, document, author, now):
        _, revision = await self.get_current_document()
        if not self.is_store_up:
            return Accepted(revision, by_notice=True)
        return Accepted(await self.publish(revision, document, author, now))

    async def set_domain(self, member, domain, state, author, now):
        document, _ = await self.get_current_document()
        section = document.members[member]
        cfg = msgspec.structs.replace(section.domains[domain], state=state)
        section = msgspec.structs.replace(section, domains=section.domains | {domain: cfg})
        members = document.members | {member: section}
        return await self._change(msgspec.structs.replace(document, members=members), author, now)

    async def withdraw(self, member, version, author, now):
        document, _ = await self.get_current_document()
        return await self._change(withdraw_version(document, member, version), author, now)

    async def rollouts(self):
        return [
            RolloutRow(
                rollout_id=f"{model}-v2",
                model=model,
                version=f"{model}@v2",
                baseline=f"{model}@v1",
                stages=(0.1, 1.0),
            )
            for model in ("delta/assess-small", "sfax/log-small")
        ]

    async def usage(self, member, since, until):
        view = DocumentView(self.documents[-1], 1)
        return [UsageEntry(name, "c", "m@v1", 1, 2, 3, 0.5) for name in view.customers]

    async def status(self, member):
        view = DocumentView(self.documents[-1], 1)
        upstreams = [
            UpstreamStatus(up.upstream_id, up.domain, UpstreamState.WARM, 1, 16, 0, 1, 5.0)
            for up in view.upstreams.values()
        ]
        return StatusReport(
            node_id="entry-1",
            revision=len(self.documents),
            is_store_up=self.is_store_up,
            outbox=0,
            queued=0,
            domains=view.domains,
            upstreams=upstreams,
        )
