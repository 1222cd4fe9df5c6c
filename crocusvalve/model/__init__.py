"""Tables of entities and their rows."""

from crocusvalve.model._rows import (
    BANNED_CRASHES,
    AttemptRow,
    CustomerRow,
    EstimateRow,
    QuarantineRow,
    RequestRow,
    RolloutRow,
    UpstreamRow,
)
from crocusvalve.model._tables import EntryTables, keep_loaded

__all__ = [
    "BANNED_CRASHES",
    "AttemptRow",
    "CustomerRow",
    "EntryTables",
    "EstimateRow",
    "QuarantineRow",
    "RequestRow",
    "RolloutRow",
    "UpstreamRow",
    "keep_loaded",
]
