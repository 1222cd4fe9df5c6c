"""Operators' HTTP API and its client."""

from crocusvalve.admin._client import AdminClient, UnreachableError
from crocusvalve.admin._messages import (
    Accepted,
    AdminError,
    ConfigChange,
    ConfigReply,
    HistoryEntry,
    PlanReply,
    StatusReport,
    UpstreamStatus,
    UsageEntry,
)
from crocusvalve.admin._routes import make_admin_blueprint
from crocusvalve.admin.base import AdminBackend

__all__ = [
    "Accepted",
    "AdminBackend",
    "AdminClient",
    "AdminError",
    "ConfigChange",
    "ConfigReply",
    "HistoryEntry",
    "PlanReply",
    "StatusReport",
    "UnreachableError",
    "UpstreamStatus",
    "UsageEntry",
    "make_admin_blueprint",
]
