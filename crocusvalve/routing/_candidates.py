"""Upstreams that may take a request."""

from collections.abc import Iterable

from crocusvalve.base import UpstreamId, UpstreamState, VersionRef
from crocusvalve.config._view import qualify
from crocusvalve.model import EntryTables, RequestRow, UpstreamRow
from crocusvalve.routing._outliers import drop_ejected

__all__ = ["list_candidates", "list_service_upstreams"]

_CLOSED_STATES = frozenset({UpstreamState.DRAINING, UpstreamState.DOWN})


def list_service_upstreams(tables: EntryTables, req: RequestRow) -> list[UpstreamId]:
    """Return the upstreams of a request's plain service; empty where there is no such service."""
    member, _, name = req.service.partition("/")
    section = tables.view.document.members.get(member)
    cfg = section.services.get(name) if section else None
    return [UpstreamId(qualify(member, ref)) for ref in cfg.upstreams] if cfg else []


def _list_rows(tables: EntryTables, req: RequestRow, version: VersionRef) -> Iterable[UpstreamRow]:
    if not req.service:
        return tables.serving.get(version, ())
    ids = list_service_upstreams(tables, req)
    return [tables.upstreams[ref] for ref in ids if ref in tables.upstreams]


def list_candidates(
    tables: EntryTables, req: RequestRow, version: VersionRef, now: float
) -> list[UpstreamRow]:
    """List the upstreams that may take a request now.

    Parameters
    ----------
    tables : EntryTables
        Tables of the entry.
    req : RequestRow
        The request; its ``avoid`` upstreams are left out.
    version : VersionRef
        Version to run on; ignored where the request goes to a plain service.
    now : float
        Present Unix time in seconds.

    Returns
    -------
    list of UpstreamRow
        Empty where the version is withdrawn or not allowed, or no upstream is open.
    """
    if not req.service:
        if tables.is_version_withdrawn(version):
            return []
        if not tables.view.is_allowed(req.customer_id, version):
            return []
    domains_out = tables.domains_out
    is_domain_out = tables.view.is_domain_out
    avoid = req.avoid
    rows = []
    for row in _list_rows(tables, req, version):
        if row.leaving or row.state in _CLOSED_STATES or row.upstream_id in avoid:
            continue
        if row.domain in domains_out or is_domain_out(row.domain):
            continue
        rows.append(row)
    return drop_ejected(rows, now)
