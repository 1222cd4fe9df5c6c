"""Checks of a request's placement on an upstream, run right before each send."""

from crocusvalve.base import UpstreamState
from crocusvalve.config._view import get_model_ref
from crocusvalve.exceptions import InvariantError
from crocusvalve.model import EntryTables, RequestRow, UpstreamRow
from crocusvalve.routing._candidates import list_service_upstream_ids

__all__ = ["check_placement"]

#: Name of this processing step in errors and logs.
STEP = "placement"


def check_placement(tables: EntryTables, req: RequestRow, row: UpstreamRow, now: float) -> None:
    """Check the invariants of placing a request on an upstream now.

    Raises
    ------
    InvariantError
        If the version is not allowed for the customer, is withdrawn, is not served by the upstream
        or is not the session's; if the request's plain service doesn't list the upstream; if the
        upstream is leaving, draining, down or not in the document, or its failure domain is out;
        if the request's digest is banned; or if its deadline has passed. A failure domain is out
        if a notice or the document takes it out of service.
    """
    find_target_fault = _find_service_fault if req.service else _find_version_fault
    fault = _find_upstream_fault(tables, row)
    fault = fault or _find_request_fault(tables, req, now)
    fault = fault or find_target_fault(tables, req, row)
    if fault:
        raise InvariantError(f"request {req.request_id}: {fault}", step=STEP, peer=row.upstream_id)


def _find_upstream_fault(tables: EntryTables, row: UpstreamRow) -> str:
    if row.is_leaving:
        return "upstream is leaving"
    if row.state in (UpstreamState.DRAINING, UpstreamState.DOWN):
        return f"upstream is {row.state.value}"
    if row.domain in tables.domains_out or tables.view.is_domain_out(row.domain):
        return f"failure domain {row.domain} is out of service"
    if row.upstream_id not in tables.view.upstreams:
        return "upstream is not in the document"
    return ""


def _find_request_fault(tables: EntryTables, req: RequestRow, now: float) -> str:
    banned = tables.quarantine.get(req.digest)
    if banned is not None and banned.is_banned:
        return "digest is banned"
    if now > req.deadline:
        return "deadline has passed"
    return ""


def _find_service_fault(tables: EntryTables, req: RequestRow, row: UpstreamRow) -> str:
    if row.upstream_id not in list_service_upstream_ids(tables, req):
        return f"upstream does not serve {req.service}"
    return ""


def _find_version_fault(tables: EntryTables, req: RequestRow, row: UpstreamRow) -> str:
    version, pinned = req.version, req.pinned_version
    if not tables.view.is_allowed(req.customer_id, version):
        return f"version {version} is not allowed"
    if tables.is_version_withdrawn(version):
        return f"version {version} is withdrawn"
    if version not in row.serves:
        return f"upstream does not serve {version}"
    if pinned and version != pinned:
        if (
            get_model_ref(version) == get_model_ref(pinned)
            or get_model_ref(version) not in req.steps
        ):
            return f"session is pinned to {pinned}, not {version}"
    return ""
