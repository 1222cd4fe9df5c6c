"""The controller: tasks run by the one entry that holds the controller's lease."""

import logging
from abc import ABC, abstractmethod
from collections.abc import Sequence

import trio
from msgspec import Struct

from crocusvalve.control._lease import LeaseManager
from crocusvalve.exceptions import CrocusvalveError, InvariantError, PlatformError
from crocusvalve.utils import Clock

__all__ = ["Controller", "ControllerCounters", "ControllerTask"]

logger = logging.getLogger(__name__)

TASK_INTERVAL_S = 1.0


class ControllerTask(ABC):
    """Task of the controller, such as roll-outs; idempotent and resumable from its stored rows."""

    #: Name of the task in logs.
    name = "task"

    @abstractmethod
    async def run_once(self, lease: LeaseManager, now: float) -> None:
        """Carry out the work that is due.

        Parameters
        ----------
        lease : LeaseManager
            The controller's lease. Call its ``is_held`` with the current time before each effect,
            and send its ``number`` with each order.
        now : float
            Current Unix time in seconds.
        """


class ControllerCounters(Struct):
    """Numbers of task runs and of failures, by kind."""

    n_runs: int = 0
    n_task_errors: int = 0
    n_lease_errors: int = 0
    n_invariant_errors: int = 0


class Controller:
    """Acquires and renews the lease, and runs the tasks while it is held.

    Parameters
    ----------
    lease : LeaseManager
        Lease that only one controller holds at a time.
    tasks : sequence of ControllerTask
        Tasks, in the order in which they run.
    clock : Clock
        Source of the current time.
    interval_s : float
        Delay between runs of the tasks, in seconds.
    """

    def __init__(
        self,
        lease: LeaseManager,
        tasks: Sequence[ControllerTask],
        *,
        clock: Clock,
        interval_s: float = TASK_INTERVAL_S,
    ):
        self.lease = lease
        self.tasks = list(tasks)
        self.clock = clock
        self.interval_s = interval_s
        self.counters = ControllerCounters()
        self._task_scope = trio.CancelScope()

    async def run(self) -> None:
        """Maintain the lease and run the tasks until cancelled; then release the lease."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._maintain_lease)
                nursery.start_soon(self._run_tasks)
        finally:
            with trio.move_on_after(1.0, shield=True):
                await self._release()

    async def maintain_lease_once(self) -> None:
        """Acquire or renew the lease once."""
        try:
            await self.lease.acquire(self.clock.now())
        except PlatformError as exc:
            self.counters.n_lease_errors += 1
            logger.info("controller lease was not acquired or renewed: %s", exc)
        self._update_task_deadline()

    async def run_tasks_once(self) -> None:
        """Run each task once while the lease is held; a task is cancelled when the lease lapses."""
        for task in self.tasks:
            now = self.clock.now()
            if not self.lease.is_held(now):
                return
            with trio.CancelScope() as self._task_scope:
                self._update_task_deadline()
                await self._run_task(task, now)

    def _update_task_deadline(self) -> None:
        """Set the deadline of the running task to the instant at which the lease lapses.

        Called after each renewal, which moves that instant.
        """
        left_s = self.lease.held_until_ - self.clock.now()
        self._task_scope.deadline = trio.current_time() + left_s

    async def _maintain_lease(self) -> None:
        while True:
            await self.maintain_lease_once()
            await trio.sleep(self.lease.ttl_s / 4)

    async def _run_tasks(self) -> None:
        while True:
            await self.run_tasks_once()
            await trio.sleep(self.interval_s)

    async def _run_task(self, task: ControllerTask, now: float) -> None:
        self.counters.n_runs += 1
        try:
            await task.run_once(self.lease, now)
        except InvariantError as exc:
            self.counters.n_invariant_errors += 1
            logger.error("controller task %s broke an invariant: %s", task.name, exc)
        except CrocusvalveError as exc:
            self.counters.n_task_errors += 1
            logger.warning("controller task %s failed: %s", task.name, exc)

    async def _release(self) -> None:
        try:
            await self.lease.release()
        except PlatformError as exc:
            logger.info("controller lease was not released: %s", exc)
