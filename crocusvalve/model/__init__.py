"""In-memory tables of an entry and the types of their rows."""

from crocusvalve.model._rows import (
    N_CRASHES_TO_BAN,
    AttemptRow,
    CustomerRow,
    EstimateRow,
    QuarantineRow,
    RequestRow,
    RolloutRow,
    UpstreamRow,
)
from crocusvalve.model._tables import EntryTables, filter_loaded_versions

__all__ = [
    "N_CRASHES_TO_BAN",
    "AttemptRow",
    "CustomerRow",
    "EntryTables",
    "EstimateRow",
    "QuarantineRow",
    "RequestRow",
    "RolloutRow",
    "UpstreamRow",
    "filter_loaded_versions",
]
