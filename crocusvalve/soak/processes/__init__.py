"""Randomised runs of real gateway processes, with faults injected through signals and proxies."""

from crocusvalve.soak.processes._checker import (
    STORE,
    Acknowledgement,
    GuaranteeChecker,
    ServiceHistory,
)
from crocusvalve.soak.processes._run import (
    ProcessSoakReport,
    ProcessSoakSettings,
    run_process_soak,
)
from crocusvalve.soak.processes.base import Attempt, CallKind, Guarantee, SoakBounds, Violation

__all__ = [
    "Acknowledgement",
    "Attempt",
    "CallKind",
    "ProcessSoakReport",
    "ProcessSoakSettings",
    "STORE",
    "Guarantee",
    "ServiceHistory",
    "SoakBounds",
    "GuaranteeChecker",
    "Violation",
    "run_process_soak",
]
