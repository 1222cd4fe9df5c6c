"""Runs a randomised simulation and reports its outcome."""

import logging
import traceback

from msgspec import Struct

from crocusvalve.exceptions import CrocusvalveError
from crocusvalve.soak._faults import SoakFaults
from crocusvalve.soak._simulation import SoakSimulation

__all__ = ["SoakReport", "run_soak"]

logger = logging.getLogger(__name__)


class SoakReport(Struct, frozen=True, kw_only=True):
    """Counts and outcome of a run; ``failure`` is empty if every invariant held."""

    seed: int
    n_steps: int
    n_requests: int
    n_answers: int
    n_executions: int
    n_refused: dict[str, int]
    n_faults: dict[str, int]
    failure: str = ""


def run_soak(seed: int, steps: int, *, faults: SoakFaults | None = None) -> SoakReport:
    """Run a simulation for a number of steps, then let open requests end and check the bills.

    Parameters
    ----------
    seed : int
        Seed of the run; the same seed gives the same run.
    steps : int
        Events to run before requests and faults stop.
    faults : SoakFaults or None
        Probabilities and rates of faults; None means the defaults of ``SoakFaults``.

    Returns
    -------
    SoakReport
    """
    simulation = SoakSimulation(seed, faults=faults)
    n_done = 0
    failure = ""
    try:
        while n_done < steps:
            n_done += 1
            simulation.step()
        simulation.close()
    except (CrocusvalveError, AssertionError, LookupError, TypeError, ValueError) as exc:
        failure = f"step {n_done}: {exc!r}\n{traceback.format_exc(limit=-6)}"
        logger.error("seed %d: %s", seed, failure)
    return SoakReport(
        seed=seed,
        n_steps=n_done,
        n_requests=simulation.n_requests,
        n_answers=simulation.checks.n_answers,
        n_executions=simulation.checks.n_executions,
        n_refused=dict(simulation.checks.n_refused),
        n_faults=dict(simulation.faults.counts),
        failure=failure,
    )
