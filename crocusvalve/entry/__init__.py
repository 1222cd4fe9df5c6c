"""Entry process: accepts callers' requests and runs them on agents."""

from crocusvalve.entry._core import CoreLimits, EntryCore
from crocusvalve.entry._policies import Policies
from crocusvalve.entry._process import EntryPorts, run_entry
from crocusvalve.entry._service import Entry
from crocusvalve.entry._tables import CoreTables

__all__ = [
    "CoreLimits",
    "CoreTables",
    "Entry",
    "EntryCore",
    "EntryPorts",
    "Policies",
    "run_entry",
]
