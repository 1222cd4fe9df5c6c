"""Tables of entities and their rows."""

from crocusvalve.model._rows import (
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
