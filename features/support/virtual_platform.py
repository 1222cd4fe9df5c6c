"""Runs tasks in virtual time and makes clients of an in-memory platform, for several features."""

import random

import trio
import trio.testing
from trio._core import _run as trio_run

from crocusvalve.standin import ALL_CALLS, PlatformFaults
from crocusvalve.store import CallGuard, GuardSettings, ReliableObjects, ReliableTables
from crocusvalve.utils import Clock

#: Number of scheduler seeds to run a task under; each gives a different order of the tasks.
N_SCHEDULES = 5
FAULTS = {
    "none": {},
    "answer lost": {"n_lost_answers": 1},
    "request lost": {"n_lost_requests": 1},
    "all answers lost": {"n_lost_answers": ALL_CALLS},
    "all requests lost": {"n_lost_requests": ALL_CALLS},
    "answer lost, then down": {"n_lost_answers": 1, "is_down_after_lost_answer": True},
    "store slow": {"delay_s": 0.4},
    "store too slow": {"delay_s": 20.0},
    "store down": {"is_down": True},
}


class TrioClock(Clock):
    """Clock that follows the time of the trio run, which is virtual under ``run_virtual``."""

    def now(self):
        return trio.current_time()


def run_virtual(task, seed=0):
    """Run a task in virtual time; ``seed`` determines the order in which tasks are scheduled."""
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)
    return trio.run(task, clock=trio.testing.MockClock(autojump_threshold=0))


def run_schedules(task):
    """Run a task under several orders of scheduling and return the results."""
    return [run_virtual(task, seed) for seed in range(N_SCHEDULES)]


def make_faults(name):
    """Make the faults of the platform with a name from ``FAULTS``."""
    return PlatformFaults(**FAULTS[name])


def make_guard(seed, **settings):
    """Make the guard that limits and retries the calls of one client."""
    settings = GuardSettings(**({"n_failures_to_open": 50} | settings))
    return CallGuard(settings=settings, random_state=random.Random(seed), clock=TrioClock())


def make_client(platform, seed, **settings):
    """Make one client's access to the tables and the objects of the platform."""
    guard = make_guard(seed, **settings)
    return ReliableTables(platform, guard), ReliableObjects(platform, guard)
