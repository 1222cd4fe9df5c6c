"""Randomised runs of real gateway processes, with faults injected from outside."""

from crocusvalve.soak.processes._judge import Acknowledged, ServiceHistory, SoakJudge
from crocusvalve.soak.processes._run import (
    ProcessSoakReport,
    ProcessSoakSettings,
    run_process_soak,
)
from crocusvalve.soak.processes.base import Attempt, CallKind, Promise, SoakBounds, Violation

__all__ = [
    "Acknowledged",
    "Attempt",
    "CallKind",
    "ProcessSoakReport",
    "ProcessSoakSettings",
    "Promise",
    "ServiceHistory",
    "SoakBounds",
    "SoakJudge",
    "Violation",
    "run_process_soak",
]
