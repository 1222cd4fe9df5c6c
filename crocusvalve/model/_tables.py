"""The in-memory tables of an entry."""

from crocusvalve.base import (
    AttemptId,
    CustomerId,
    RequestId,
    UpstreamId,
    VersionRef,
)
from crocusvalve.config import DocumentView
from crocusvalve.model._rows import (
    AttemptRow,
    CustomerRow,
    EstimateRow,
    QuarantineRow,
    RequestRow,
    RolloutRow,
    UpstreamRow,
)

__all__ = ["EntryTables", "filter_loaded_versions"]


def filter_loaded_versions(
    serves: tuple[VersionRef, ...], loaded: tuple[VersionRef, ...] | None
) -> tuple[VersionRef, ...]:
    """Return the declared versions that are loaded, or all if ``loaded`` is None (unknown)."""
    if loaded is None:
        return serves
    return tuple(version for version in serves if version in loaded)


class EntryTables:
    """All rows of one entry.

    Systems read and write the rows; the runtime (the I/O layer) only adds the rows of new events.

    Attributes
    ----------
    view : DocumentView
        Configuration of the revision in force.
    requests, attempts : dict
        Requests and attempts that have not ended.
    attempt_ids_by_request : dict
        Ids of the attempts of each request.
    upstreams : dict
        Upstreams of the revision in force.
    subset_by_version : dict
        Upstreams of the entry's subset, by the version that they serve; see ``index_upstreams``.
    quarantine : dict
        Request digests that crashed upstreams.
    estimates : dict
        Quality estimates by ``(version, customer, class)``.
    rollouts : dict
        Roll-outs in progress, by model.
    domains_out, withdrawn_versions : set
        Failure domains taken out, and versions withdrawn, by a notice that no revision confirms
        yet.
    """

    def __init__(self, view: DocumentView):
        self.view = view
        self.requests: dict[RequestId, RequestRow] = {}
        self.attempts: dict[AttemptId, AttemptRow] = {}
        self.attempt_ids_by_request: dict[RequestId, list[AttemptId]] = {}
        self.upstreams: dict[UpstreamId, UpstreamRow] = {}
        self.subset_by_version: dict[VersionRef, list[UpstreamRow]] = {}
        self.customers: dict[CustomerId, CustomerRow] = {}
        self.quarantine: dict[str, QuarantineRow] = {}
        self.estimates: dict[tuple[VersionRef, CustomerId, str], EstimateRow] = {}
        self.rollouts: dict[str, RolloutRow] = {}
        self.domains_out: set[str] = set()
        self.withdrawn_versions: set[VersionRef] = set()
        self.apply_view(view)

    def apply_view(self, view: DocumentView) -> None:
        """Apply a revision and update the upstreams' rows; an older revision is ignored."""
        if view.revision < self.view.revision:
            return
        self.view = view
        for upstream_id in list(self.upstreams):
            if upstream_id not in view.upstreams:
                del self.upstreams[upstream_id]
        for upstream_id, up in view.upstreams.items():
            row = self.upstreams.get(upstream_id)
            if row is None:
                self.upstreams[upstream_id] = UpstreamRow(
                    upstream_id=upstream_id,
                    domain=up.domain,
                    region=up.region,
                    agent=up.cfg.agent,
                    kind=up.cfg.kind,
                    serves=up.serves,
                    reported_limit=up.cfg.cold_limit,
                )
                continue
            row.domain, row.region, row.agent = up.domain, up.region, up.cfg.agent
            row.kind, row.serves = up.cfg.kind, filter_loaded_versions(up.serves, row.loaded)
        self.index_upstreams()

    def index_upstreams(self) -> None:
        """Rebuild ``subset_by_version``; called when the subset or a row's versions change."""
        self.subset_by_version = {}
        for row in self.upstreams.values():
            if not row.in_subset:
                continue
            for version in row.serves:
                self.subset_by_version.setdefault(version, []).append(row)

    def is_version_withdrawn(self, version: VersionRef) -> bool:
        """Return whether a version is closed to new work, by the document or by a notice."""
        return version in self.withdrawn_versions or self.view.is_withdrawn(version)

    def is_upstream_open(self, row: UpstreamRow) -> bool:
        """Return whether the operators and the platform allow new work on an upstream."""
        if row.is_leaving or row.domain in self.domains_out:
            return False
        return not self.view.is_domain_out(row.domain)
