"""Agent side of at-most-once orders: the state of each attempt, within one boot of the agent."""

from collections import OrderedDict

from msgspec import Struct

from crocusvalve.base import AttemptId, AttemptState, BootId, ExecutionStatus
from crocusvalve.exceptions import ErrorCode, InvariantError, RefusedError
from crocusvalve.utils import check_range

__all__ = ["GuardRow", "OrderGuard"]

KEEP_S = 300.0
STEP = "guard"
ENDED_STATES = (AttemptState.DONE, AttemptState.FAILED, AttemptState.CANCELLED, AttemptState.FENCED)


class GuardRow(Struct):
    """State of an attempt; ``deadline`` is in Unix seconds."""

    attempt_id: AttemptId
    state: AttemptState
    ran: ExecutionStatus
    deadline: float


class OrderGuard:
    """Allows each attempt to start at most once in one boot (process instance) of an agent.

    An attempt is admitted, then begun right before the call to the upstream, then ended. A fence
    prevents an attempt that was not begun from ever beginning. A row is removed only when the
    deadline check refuses every later copy of the attempt; a fence that arrives after that is
    answered as unknown.

    Parameters
    ----------
    boot_id : BootId
        This boot of the agent.
    keep_s : float
        Time in seconds for which the row of an attempt is retained after its deadline. A later
        fence of an attempt without a row is answered as unknown.
    max_rows : int
        Number of rows at which new attempts are refused and new fences are answered as unknown.
        Rows that have not expired are never removed to make room.
    """

    def __init__(
        self,
        *,
        boot_id: BootId,
        keep_s: float = KEEP_S,
        max_rows: int = 200_000,
    ):
        check_range("keep_s", keep_s, low=0.0)
        check_range("max_rows", max_rows, low=1)
        self.boot_id = boot_id
        self.keep_s = keep_s
        self.max_rows = max_rows
        self._rows: OrderedDict[AttemptId, GuardRow] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, attempt_id: AttemptId) -> GuardRow | None:
        """Return the row of an attempt, or None if there is none."""
        return self._rows.get(attempt_id)

    def admit(self, attempt_id: AttemptId, *, boot_id: BootId, deadline: float, now: float) -> None:
        """Admit a new attempt.

        Raises
        ------
        RefusedError
            As ``NOT_RUN`` if the attempt is meant for another boot, its deadline has passed, it
            is fenced, or the guard is full. A copy of an attempt that was begun is refused with
            the execution status known of that attempt.
        """
        if boot_id and boot_id != self.boot_id:
            raise RefusedError(ErrorCode.STALE_BOOT, "the agent was restarted", step=STEP)
        self._check_deadline(deadline, now)
        row = self._rows.get(attempt_id)
        if row is not None:
            self._refuse_copy(row)
        self._check_capacity(now)
        self._rows[attempt_id] = GuardRow(
            attempt_id, AttemptState.STARTING, ExecutionStatus.NOT_RUN, deadline
        )

    def begin(self, attempt_id: AttemptId, now: float) -> None:
        """Mark an attempt as running; the caller must call the upstream next, without any wait.

        Raises
        ------
        RefusedError
            As ``NOT_RUN`` if the attempt was fenced or cancelled, or its deadline has passed.
        """
        row = self._rows.get(attempt_id)
        if row is None:
            # The row was fenced and then removed, which happens only after the deadline.
            raise RefusedError(ErrorCode.FENCED, "the attempt has expired", step=STEP)
        if row.state in (AttemptState.FENCED, AttemptState.CANCELLED):
            raise RefusedError(ErrorCode.FENCED, "the attempt was fenced", step=STEP)
        if row.state is not AttemptState.STARTING:
            raise InvariantError(f"attempt {attempt_id} was begun twice", step=STEP)
        self._check_deadline(row.deadline, now)
        row.state = AttemptState.RUNNING
        row.ran = ExecutionStatus.UNKNOWN

    def end(self, attempt_id: AttemptId, state: AttemptState, ran: ExecutionStatus) -> None:
        """Record how an attempt ended and whether it ran."""
        row = self._rows.get(attempt_id)
        if row is None:
            return
        if row.state in ENDED_STATES:
            if row.state is state or row.state is AttemptState.FENCED:
                return
            raise InvariantError(f"attempt {attempt_id} ended twice", step=STEP)
        if ran is ExecutionStatus.NOT_RUN and row.ran is ExecutionStatus.RAN:
            raise InvariantError(f"attempt {attempt_id} ran but is reported as not run", step=STEP)
        row.state, row.ran = state, ran

    def fence(
        self, attempt_id: AttemptId, *, boot_id: BootId, deadline: float, now: float
    ) -> ExecutionStatus:
        """Prevent an attempt that was not begun from ever beginning.

        Returns
        -------
        ExecutionStatus
            ``NOT_RUN`` is binding: the attempt has not run and never will. With ``RAN`` or
            ``UNKNOWN`` it was begun. ``UNKNOWN`` is also returned if another boot may have begun
            it, if its row may have been removed, or if the guard is full.
        """
        if boot_id != self.boot_id:
            return ExecutionStatus.UNKNOWN
        row = self._rows.get(attempt_id)
        if row is None:
            return self._fence_unseen(attempt_id, deadline, now)
        if row.state is AttemptState.STARTING:
            row.state = AttemptState.FENCED
        return row.ran

    def refuse(self, attempt_id: AttemptId, *, deadline: float, now: float) -> ExecutionStatus:
        """Record that an attempt was refused, so that no later copy of it starts.

        Returns
        -------
        ExecutionStatus
            ``NOT_RUN`` is binding, as for ``fence``.
        """
        row = self._rows.get(attempt_id)
        if row is not None:
            return self.fence(attempt_id, boot_id=self.boot_id, deadline=deadline, now=now)
        return self._fence_unseen(attempt_id, deadline, now)

    def expire(self, now: float) -> None:
        """Remove the rows of ended attempts ``keep_s`` after their deadline.

        The deadline check refuses every later copy of them.
        """
        stale = [
            row.attempt_id
            for row in self._rows.values()
            if row.state in ENDED_STATES and row.deadline + self.keep_s < now
        ]
        for attempt_id in stale:
            del self._rows[attempt_id]

    def _fence_unseen(self, attempt_id: AttemptId, deadline: float, now: float) -> ExecutionStatus:
        if now >= deadline + self.keep_s:
            return ExecutionStatus.UNKNOWN
        if len(self._rows) >= self.max_rows:
            self.expire(now)
        if len(self._rows) >= self.max_rows:
            return ExecutionStatus.UNKNOWN
        self._rows[attempt_id] = GuardRow(
            attempt_id, AttemptState.FENCED, ExecutionStatus.NOT_RUN, deadline
        )
        return ExecutionStatus.NOT_RUN

    def _check_capacity(self, now: float) -> None:
        if len(self._rows) >= self.max_rows:
            self.expire(now)
        if len(self._rows) >= self.max_rows:
            message = "the agent holds the state of too many attempts"
            raise RefusedError(ErrorCode.UPSTREAM_FULL, message, step=STEP, retry_after_s=1.0)

    @staticmethod
    def _check_deadline(deadline: float, now: float) -> None:
        if now >= deadline:
            raise RefusedError(ErrorCode.DEADLINE_PASSED, "the deadline has passed", step=STEP)

    @staticmethod
    def _refuse_copy(row: GuardRow) -> None:
        if row.state in (AttemptState.FENCED, AttemptState.CANCELLED):
            raise RefusedError(ErrorCode.FENCED, "the attempt was fenced", step=STEP, ran=row.ran)
        message = "the attempt was started before"
        raise RefusedError(ErrorCode.IN_PROGRESS, message, step=STEP, ran=row.ran)
