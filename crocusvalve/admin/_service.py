"""Requests of operators; every answer is restricted to the operator's own member."""

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

#: Replaces the author of another member's change in the history.
OTHER_MEMBER_AUTHOR = "(another member)"
MAX_HISTORY_LENGTH = 1000
#: Attempts to publish a change when changes by other members are accepted first.
MAX_PUBLISH_ATTEMPTS = 8


class AdminService:
    """Handles the requests of operators by means of a backend.

    Parameters
    ----------
    backend : AdminBackend
        Access to the entry's configuration and state.
    """

    def __init__(self, backend: AdminBackend):
        self.backend = backend

    async def authenticate(self, authorization: str | None) -> Operator:
        """Return the operator whose key an ``Authorization`` header contains."""
        document, _ = await self.backend.get_current_document()
        if not document.members:
            message = "this entry has no configuration yet"
            raise CrocusvalveError(ErrorCode.NOT_READY, message, step="authenticate")
        return authenticate_operator(document, authorization)

    async def get_config(self, operator: Operator) -> msg.ConfigReply:
        """Return the part of the document that the operator's member may see."""
        document, revision = await self.backend.get_current_document()
        visible = filter_document(document, operator.member)
        text = format_document(visible)
        digest = compute_section_digest(document, operator.member)
        return msg.ConfigReply(revision, operator.member, document.environment, text, digest)

    async def plan_change(self, operator: Operator, change: msg.ConfigChange) -> msg.PlanReply:
        """Validate a document and return the changes that it would make."""
        current, revision = await self.backend.get_current_document()
        proposed = await trio.to_thread.run_sync(prepare_change, operator, current, change)
        return msg.PlanReply(revision, diff_documents(current, proposed))

    async def apply_change(
        self, operator: Operator, change: msg.ConfigChange, now: float
    ) -> msg.PlanReply:
        """Validate a document and put it in force.

        If another member's change is accepted first, the proposed section is merged into the newer
        revision and published again, up to ``MAX_PUBLISH_ATTEMPTS`` times.

        Raises
        ------
        ConfigConflictError
            The member's own section was changed since the base revision, or every attempt to
            publish found a newer revision.
        """
        for _ in range(MAX_PUBLISH_ATTEMPTS):
            current, revision = await self.backend.get_current_document()
            self._check_base_revision(operator, change, current, revision)
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
        """Return the last revisions; changes by other members show no author and no note."""
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
        """Take a failure domain of the member out of service or back into service."""
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
        """Return the usage by the member's customers in ``[since, until)``, in Unix seconds."""
        prefix = f"{operator.member}/"
        entries = await self.backend.usage(operator.member, since, until)
        visible = [entry for entry in entries if entry.customer_id.startswith(prefix)]
        return msg.UsageReply(since, until, visible)

    async def get_status(self, operator: Operator) -> msg.StatusReport:
        """Return the status of this entry with the member's own upstreams and failure domains."""
        prefix = f"{operator.member}/"
        report = await self.backend.status(operator.member)
        return msg.StatusReport(
            node_id=report.node_id,
            revision=report.revision,
            is_store_up=report.is_store_up,
            outbox=report.outbox,
            queued=report.queued,
            domains={
                name: state for name, state in report.domains.items() if name.startswith(prefix)
            },
            upstreams=[
                upstream for upstream in report.upstreams if upstream.upstream_id.startswith(prefix)
            ],
        )

    @staticmethod
    def _check_base_revision(
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
    """Merge a proposed document into the one in force and validate the member's section.

    Called in a worker thread: a large document takes so long that it would delay the tokens of
    streams on the event loop.

    Raises
    ------
    ConfigError
        With every problem of the member's section, each with the source of the change.
    CrocusvalveError
        With code ``forbidden`` if the change touches anything outside the member's section.
    """
    proposed = read_document(change.document, source=change.source)
    merged = merge_section(current, proposed, operator.member)
    try:
        check_change(current, merged, operator.member)
    except ConfigError as exc:
        problems = [f"{change.source}: {problem}" for problem in exc.problems]
        raise ConfigError(problems, step=exc.step, peer=exc.peer) from exc
    return merged
