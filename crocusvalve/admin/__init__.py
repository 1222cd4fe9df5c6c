"""HTTP API for operators and its client."""

from crocusvalve.admin._client import AdminClient, UnreachableError
from crocusvalve.admin._messages import (
    Accepted,
    AdminError,
    ConfigChange,
    ConfigReply,
    HistoryEntry,
    HistoryReply,
    PlanReply,
    RolloutsReply,
    RolloutStatus,
    StatusReport,
    UpstreamStatus,
    UsageEntry,
    UsageReply,
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
    "HistoryReply",
    "PlanReply",
    "RolloutStatus",
    "RolloutsReply",
    "StatusReport",
    "UnreachableError",
    "UpstreamStatus",
    "UsageEntry",
    "UsageReply",
    "make_admin_blueprint",
]
