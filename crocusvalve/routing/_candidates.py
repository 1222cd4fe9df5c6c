"""Selection of the upstreams that may run a request."""

from collections.abc import Iterable

from crocusvalve.base import AttemptState, UpstreamId, UpstreamState, VersionRef
from crocusvalve.config._view import qualify
from crocusvalve.model import EntryTables, RequestRow, UpstreamRow
from crocusvalve.routing._outliers import drop_ejected

__all__ = ["list_candidates", "list_service_upstream_ids"]

_RUNNING_STATES = frozenset({AttemptState.STARTING, AttemptState.RUNNING})
_CLOSED_STATES = frozenset({UpstreamState.DRAINING, UpstreamState.DOWN})


def list_service_upstream_ids(tables: EntryTables, req: RequestRow) -> list[UpstreamId]:
    """Return the upstream ids of a request's plain service; empty if the service is unknown."""
    member, _, name = req.service.partition("/")
    section = tables.view.document.members.get(member)
    cfg = section.services.get(name) if section else None
    return [UpstreamId(qualify(member, ref)) for ref in cfg.upstreams] if cfg else []


def _list_target_upstreams(
    tables: EntryTables, req: RequestRow, version: VersionRef
) -> Iterable[UpstreamRow]:
    if not req.service:
        return tables.subset_by_version.get(version, ())
    ids = list_service_upstream_ids(tables, req)
    return [tables.upstreams[ref] for ref in ids if ref in tables.upstreams]


def list_candidates(
    tables: EntryTables, req: RequestRow, version: VersionRef, now: float
) -> list[UpstreamRow]:
    """List the upstreams that may run a request now.

    Parameters
    ----------
    tables : EntryTables
        Tables of the entry.
    req : RequestRow
        The request. Upstreams in its ``avoid`` set are excluded if others are open; upstreams that
        already run an attempt of it are always excluded.
    version : VersionRef
        Version to run; ignored if the request goes to a plain service.
    now : float
        Current Unix time in seconds.

    Returns
    -------
    list of UpstreamRow
        Without ejected upstreams, of which at most half are excluded. Empty if the version is
        withdrawn or not allowed for the customer, or if no upstream is open.
    """
    if not req.service:
        if tables.is_version_withdrawn(version):
            return []
        if not tables.view.is_allowed(req.customer_id, version):
            return []
    rows = [row for row in _list_target_upstreams(tables, req, version) if _is_open(tables, row)]
    running = _list_running(tables, req)
    if running:
        rows = [row for row in rows if row.upstream_id not in running]
    if req.avoid:
        rows = [row for row in rows if row.upstream_id not in req.avoid] or rows
    return drop_ejected(rows, now)


def _is_open(tables: EntryTables, row: UpstreamRow) -> bool:
    return row.state not in _CLOSED_STATES and tables.is_upstream_open(row)


def _list_running(tables: EntryTables, req: RequestRow) -> set[UpstreamId]:
    attempts = [
        tables.attempts.get(ref) for ref in tables.attempt_ids_by_request.get(req.request_id, ())
    ]
    return {row.upstream_id for row in attempts if row and row.state in _RUNNING_STATES}
