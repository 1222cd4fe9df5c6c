"""Randomised simulations of entry and agent cores in virtual time, with invariants checked."""

from crocusvalve.soak._checks import SoakChecks
from crocusvalve.soak._faults import SoakFaults
from crocusvalve.soak._run import SoakReport, run_soak
from crocusvalve.soak._simulation import SoakSimulation

__all__ = ["SoakChecks", "SoakFaults", "SoakReport", "SoakSimulation", "run_soak"]
