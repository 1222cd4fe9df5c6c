"""What an operator may ask: every answer is cut down to the operator's own member."""

import trio

from crocusvalve.admin import _messages as msg
from crocusvalve.admin._auth import Operator, authenticate_operator
from crocusvalve.admin.base import AdminBackend
from crocusvalve.base import DomainState, Revision
from crocusvalve.config import (
    Document,
    RolloutStart,
    check_change,
    compute_section_digest,
    diff_documents,
    filter_document,
    format_document,
    merge_section,
    read_document,
    start_rollout,
    withdraw_version,
)
from crocusvalve.exceptions import ConfigConflictError, ConfigError, CrocusvalveError, ErrorCode

__all__ = ["AdminService"]

#: Stands for the author of another member's change.
OTHER_MEMBER_AUTHOR = "(another member)"
MAX_HISTORY_LENGTH = 1000
#: Times that a change is merged again after another member's.
MAX_PUBLISH_ATTEMPTS = 8


class AdminService:
    """Answers one operator at a time over a backend.

    Parameters
    ----------
    backend : AdminBackend
        The entry's configuration and state.
    """

    def __init__(self, backend: AdminBackend):
        self.backend = backend

    async def authenticate(self, authorization: str | None) -> Operator:
        """Return the operator of an ``Authorization`` header."""
        document, _ = await self.backend.get_current_document()
        if not document.members:
            message = "this entry has no configuration yet"
            raise CrocusvalveError(ErrorCode.NOT_READY, message, step="authenticate")
        return authenticate_operator(document, authorization)

    async def get_config(self, operator: Operator) -> msg.ConfigReply:
        """Return what the operator's member may see of the document."""
        document, revision = await self.backend.get_current_document()
        visible = filter_document(document, operator.member)
        text = format_document(visible)
        digest = compute_section_digest(document, operator.member)
        return msg.ConfigReply(revision, operator.member, document.environment, text, digest)

    async def plan_change(self, operator: Operator, change: msg.ConfigChange) -> msg.PlanReply:
        """Check a document and tell what it would change."""
        current, revision = await self.backend.get_current_document()
        proposed = await trio.to_thread.run_sync(prepare_change, operator, current, change)
        return msg.PlanReply(revision, diff_documents(current, proposed))

    async def apply_change(
        self, operator: Operator, change: msg.ConfigChange, now: float
    ) -> msg.PlanReply:
        """Check a document and put it in force.

        A change that another member gets in first is no conflict: the proposal is merged again.
        """
        for _ in range(MAX_PUBLISH_ATTEMPTS):
            current, revision = await self.backend.get_current_document()
            self._check_base(operator, change, current, revision)
            proposed = await trio.to_thread.run_sync(prepare_change, operator, current, change)
            changes = diff_documents(current, proposed)
            if not changes:
                return msg.PlanReply(revision)
            try:
                accepted = await self.backend.publish(revision, proposed, operator.author, now)
            except ConfigConflictError as exc:
                conflict = exc
                continue
            return msg.PlanReply(accepted, changes)
        raise conflict

    async def list_history(self, operator: Operator, n: int) -> msg.HistoryReply:
        """Return the last revisions; authors of other members are not named."""
        prefix = f"{operator.member}/"
        entries = [
            (
                entry
                if entry.author.startswith(prefix)
                else msg.HistoryEntry(entry.revision, OTHER_MEMBER_AUTHOR, entry.at)
            )
            for entry in await self.backend.history(min(n, MAX_HISTORY_LENGTH))
        ]
        return msg.HistoryReply(entries)

    async def set_domain(
        self, operator: Operator, domain: str, state: DomainState, now: float
    ) -> msg.Accepted:
        """Take one of the member's failure domains out or in."""
        document, _ = await self.backend.get_current_document()
        if domain not in document.members[operator.member].domains:
            message = f"there is no failure domain {domain!r}"
            raise self._make_error(operator, ErrorCode.NOT_FOUND, message)
        return await self.backend.set_domain(operator.member, domain, state, operator.author, now)

    async def withdraw(self, operator: Operator, version: str, now: float) -> msg.Accepted:
        """Withdraw one of the member's versions."""
        document, _ = await self.backend.get_current_document()
        withdraw_version(document, operator.member, version)
        local = version.rpartition("/")[2]
        return await self.backend.withdraw(operator.member, local, operator.author, now)

    async def start_rollout(
        self, operator: Operator, start: RolloutStart, now: float
    ) -> msg.Accepted:
        """Start a roll-out of one of the member's versions."""
        for _ in range(MAX_PUBLISH_ATTEMPTS):
            document, base = await self.backend.get_current_document()
            proposed = start_rollout(document, operator.member, start)
            check_change(document, proposed, operator.member)
            try:
                revision = await self.backend.publish(base, proposed, operator.author, now)
            except ConfigConflictError as exc:
                conflict = exc
                continue
            return msg.Accepted(revision)
        raise conflict

    async def list_rollouts(self, operator: Operator) -> msg.RolloutsReply:
        """Return the roll-outs of the member's models."""
        prefix = f"{operator.member}/"
        rows = [row for row in await self.backend.rollouts() if row.model.startswith(prefix)]
        return msg.RolloutsReply([msg.RolloutStatus.from_row(row) for row in rows])

    async def get_usage(self, operator: Operator, since: float, until: float) -> msg.UsageReply:
        """Return the usage of the member's customers."""
        prefix = f"{operator.member}/"
        entries = await self.backend.usage(operator.member, since, until)
        visible = [entry for entry in entries if entry.customer_id.startswith(prefix)]
        return msg.UsageReply(since, until, visible)

    async def get_status(self, operator: Operator) -> msg.StatusReport:
        """Return the state of this entry with the member's own upstreams."""
        prefix = f"{operator.member}/"
        report = await self.backend.status(operator.member)
        return msg.StatusReport(
            node_id=report.node_id,
            revision=report.revision,
            is_store_up=report.is_store_up,
            outbox=report.outbox,
            queued=report.queued,
            domains={name: st for name, st in report.domains.items() if name.startswith(prefix)},
            upstreams=[up for up in report.upstreams if up.upstream_id.startswith(prefix)],
        )

    @staticmethod
    def _check_base(
        operator: Operator, change: msg.ConfigChange, current: Document, revision: Revision
    ) -> None:
        if change.base == revision:
            return
        if change.section_digest == compute_section_digest(current, operator.member):
            return
        message = f"the change is based on revision {change.base}, the newest is {revision}"
        raise ConfigConflictError(message, revision=revision, step="apply", peer=operator.member)

    @staticmethod
    def _make_error(operator: Operator, code: ErrorCode, message: str) -> CrocusvalveError:
        return CrocusvalveError(code, message, step="admin", peer=operator.member)


def prepare_change(operator: Operator, current: Document, change: msg.ConfigChange) -> Document:
    """Merge a proposed document into the one in force and check what the operator wrote.

    Called in a thread of its own: a large document takes longer than tokens may wait.

    Raises
    ------
    ConfigError
        With every fault of the member's section, each naming the change's source.
    CrocusvalveError
        With code ``forbidden`` where the change reaches further.
    """
    proposed = read_document(change.document, source=change.source)
    merged = merge_section(current, proposed, operator.member)
    try:
        check_change(current, merged, operator.member)
    except ConfigError as exc:
        problems = [f"{change.source}: {problem}" for problem in exc.problems]
        raise ConfigError(problems, step=exc.step, peer=exc.peer) from exc
    return merged
