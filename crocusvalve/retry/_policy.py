"""Retry policy: the next action after a refused or failed attempt."""

import random
from enum import Enum

from msgspec import Struct

from crocusvalve.base import ClassKind, ExecutionStatus
from crocusvalve.exceptions import ErrorCode
from crocusvalve.model import RequestRow
from crocusvalve.retry._backoff import compute_backoff_s
from crocusvalve.retry._budget import RetryBudget
from crocusvalve.rpc import Refused

__all__ = ["NON_RETRYABLE_CODES", "RetryAction", "RetryDecision", "RetryPolicy"]

#: Errors that an attempt on another upstream or at a later time can't resolve.
NON_RETRYABLE_CODES = frozenset(
    {
        ErrorCode.BAD_REQUEST,
        ErrorCode.BAD_JSON,
        ErrorCode.BAD_HEADER,
        ErrorCode.BAD_DEADLINE,
        ErrorCode.UNKNOWN_MODEL,
        ErrorCode.MODEL_NOT_ALLOWED,
        ErrorCode.FORBIDDEN,
        ErrorCode.CRASHES_UPSTREAMS,
        ErrorCode.DEADLINE_PASSED,
        ErrorCode.BODY_TOO_LARGE,
    }
)
#: Refusals that cost the upstream no work; the retry isn't charged to the retry budget.
REDIRECT_CODES = frozenset(
    {
        ErrorCode.UPSTREAM_FULL,
        ErrorCode.UPSTREAM_DOWN,
        ErrorCode.DRAINING,
        ErrorCode.DOMAIN_OUT,
        ErrorCode.STALE_BOOT,
        ErrorCode.STALE_REVISION,
        ErrorCode.VERSION_WITHDRAWN,
        ErrorCode.NOT_READY,
        ErrorCode.FENCED,
    }
)
#: Errors of a resume that mean that the agent no longer holds the frames in its buffer.
BUFFER_LOST_CODES = frozenset(
    {
        ErrorCode.STALE_BOOT,
        ErrorCode.FENCED,
        ErrorCode.UNKNOWN_REQUEST,
        ErrorCode.NOT_FOUND,
        ErrorCode.ANSWER_DAMAGED,
    }
)
#: Refusals after which a retry waits at least for the ``retry_after_s`` of the refusal.
OVERLOAD_CODES = frozenset({ErrorCode.OVERLOADED, ErrorCode.RATE_LIMITED})
#: Largest number of redirects of a request; durable requests have no such bound.
MAX_REDIRECTS = 32
#: Bound on a request's redirects and resumes together at which its stream is no longer resumed.
MAX_RESUMES = 8
#: Shortest time that an attempt needs, in seconds; no attempt starts closer to the deadline.
MIN_ATTEMPT_S = 0.02
#: First and longest backoff ceiling of redirects, in seconds.
REDIRECT_BASE_S = 0.005
REDIRECT_MAX_S = 0.5
#: First and longest backoff ceiling of retries and resumes, in seconds.
RETRY_BASE_S = 0.05
RETRY_MAX_S = 2.0
#: First and longest backoff ceiling of retries of durable requests, in seconds.
DURABLE_BASE_S = 1.0
DURABLE_MAX_S = 60.0


class RetryAction(Enum):
    """Action after an attempt of a request ended without an answer.

    RETRY starts a new attempt, RESUME continues an interrupted stream, REFUSE ends the request with
    an error, and OUTCOME_UNKNOWN ends it with the error that it may have run.
    """

    RETRY = "retry"
    RESUME = "resume"
    REFUSE = "refuse"
    OUTCOME_UNKNOWN = "outcome_unknown"


class RetryDecision(Struct, frozen=True, kw_only=True):
    """Decision of the retry policy about a request.

    Attributes
    ----------
    action : RetryAction
        RESUME asks the same agent for the frames from the next sequence number on.
    not_before : float
        Earliest Unix time of the next attempt in seconds, for RETRY and RESUME.
    code : ErrorCode
        Error code for the caller, for REFUSE and OUTCOME_UNKNOWN.
    ran : ExecutionStatus
        Whether the request ran, for REFUSE and OUTCOME_UNKNOWN.
    is_redirect : bool
        Whether the retry isn't charged to the budget, as the attempt had cost no work.
    must_choose_version : bool
        Whether the version is withdrawn and another has to be chosen.
    retry_after_s : float or None
        Time in seconds after which the caller may retry, if known.
    """

    action: RetryAction
    not_before: float = 0.0
    code: ErrorCode = ErrorCode.UPSTREAM_FAILED
    ran: ExecutionStatus = ExecutionStatus.NOT_RUN
    is_redirect: bool = False
    must_choose_version: bool = False
    retry_after_s: float | None = None


class RetryPolicy:
    """Decides by kind of request what follows a refused or failed attempt.

    Parameters
    ----------
    budget : RetryBudget
        Budget shared by retries and hedges.
    random_state : random.Random
        Source of randomness for the jitter of the backoff.
    """

    def __init__(self, *, budget: RetryBudget, random_state: random.Random):
        self.budget = budget
        self.random_state = random_state

    def decide(self, req: RequestRow, refused: Refused, now: float) -> RetryDecision:
        """Decide what follows a refused or failed attempt.

        Parameters
        ----------
        req : RequestRow
            The request. Its ``n_attempts`` includes the attempt that failed; a resume doesn't count
            as an attempt. ``n_redirects`` is incremented by a redirect and by a resume.
        refused : Refused
            Refusal or failure that ended the attempt.
        now : float
            Current Unix time in seconds.

        Returns
        -------
        RetryDecision
            The next action.
        """
        code = _parse_code(refused.code)
        if code in NON_RETRYABLE_CODES:
            return self._refuse(code, refused)
        if not _is_repeatable(req) and refused.ran is not ExecutionStatus.NOT_RUN:
            return _refuse_unrepeatable(refused)
        if code is ErrorCode.VERSION_WITHDRAWN and req.pinned_version:
            return self._refuse(code, refused)
        if req.n_frames_out:
            return self._resume(req, code, refused, now)
        if refused.ran is ExecutionStatus.NOT_RUN and code in REDIRECT_CODES:
            return self._redirect(req, code, refused, now)
        return self._retry(req, code, refused, now)

    def _resume(
        self, req: RequestRow, code: ErrorCode, refused: Refused, now: float
    ) -> RetryDecision:
        delay_s = self._sample_backoff_s(req.n_redirects + 1, RETRY_BASE_S, RETRY_MAX_S)
        # Restarting would repeat frames that the caller already has, so the request ends if the
        # agent's buffer of frames is lost.
        has_buffer = not refused.crashed and code not in BUFFER_LOST_CODES
        has_time = _has_time(req, now + delay_s)
        if not has_buffer or not has_time or req.n_redirects >= MAX_RESUMES:
            return RetryDecision(action=RetryAction.REFUSE, code=code, ran=ExecutionStatus.RAN)
        req.n_redirects += 1
        return RetryDecision(action=RetryAction.RESUME, not_before=now + delay_s)

    def _redirect(
        self, req: RequestRow, code: ErrorCode, refused: Refused, now: float
    ) -> RetryDecision:
        delay_s = self._sample_backoff_s(req.n_redirects + 1, REDIRECT_BASE_S, REDIRECT_MAX_S)
        # An accepted durable request isn't given up before its deadline for lack of a free slot.
        is_bounded = req.kind is not ClassKind.DURABLE
        is_over = is_bounded and req.n_redirects >= MAX_REDIRECTS
        if is_over or not _has_time(req, now + delay_s):
            return self._refuse(code, refused)
        req.n_redirects += 1
        return RetryDecision(
            action=RetryAction.RETRY,
            not_before=now + delay_s,
            is_redirect=True,
            must_choose_version=code is ErrorCode.VERSION_WITHDRAWN,
        )

    def _retry(
        self, req: RequestRow, code: ErrorCode, refused: Refused, now: float
    ) -> RetryDecision:
        if req.kind is ClassKind.DURABLE:
            return self._retry_durable(req, code, refused, now)
        n_failed = req.n_attempts - req.n_redirects
        delay_s = self._sample_backoff_s(n_failed, RETRY_BASE_S, RETRY_MAX_S)
        if code in OVERLOAD_CODES:
            delay_s = max(delay_s, refused.retry_after_s or 0.0)
        if n_failed >= req.max_attempts or not _has_time(req, now + delay_s):
            return self._refuse(code, refused)
        if not self.budget.try_acquire(req.member, now):
            return self._refuse(code, refused)
        return RetryDecision(action=RetryAction.RETRY, not_before=now + delay_s)

    def _retry_durable(
        self, req: RequestRow, code: ErrorCode, refused: Refused, now: float
    ) -> RetryDecision:
        n_failed = req.n_attempts - req.n_redirects
        delay_s = self._sample_backoff_s(n_failed, DURABLE_BASE_S, DURABLE_MAX_S)
        # An accepted durable request isn't given up for lack of budget, but waits for the longest
        # delay.
        if not self.budget.try_acquire(req.member, now):
            delay_s = DURABLE_MAX_S
        if not _has_time(req, now + delay_s):
            return self._refuse(code, refused)
        return RetryDecision(action=RetryAction.RETRY, not_before=now + delay_s)

    def _sample_backoff_s(self, n_attempts: int, base_s: float, max_s: float) -> float:
        return compute_backoff_s(
            n_attempts, base_s=base_s, max_s=max_s, random_state=self.random_state
        )

    def _refuse(self, code: ErrorCode, refused: Refused) -> RetryDecision:
        return RetryDecision(
            action=RetryAction.REFUSE,
            code=code,
            ran=refused.ran,
            retry_after_s=refused.retry_after_s,
        )


def _parse_code(name: str) -> ErrorCode:
    return ErrorCode.__members__.get(name, ErrorCode.UPSTREAM_FAILED)


def _has_time(req: RequestRow, start_at: float) -> bool:
    return start_at + MIN_ATTEMPT_S <= req.deadline


def _is_repeatable(req: RequestRow) -> bool:
    return req.is_repeatable and req.kind is not ClassKind.ORDER


def _refuse_unrepeatable(refused: Refused) -> RetryDecision:
    if refused.ran is ExecutionStatus.RAN:
        return RetryDecision(
            action=RetryAction.REFUSE, code=_parse_code(refused.code), ran=ExecutionStatus.RAN
        )
    return RetryDecision(
        action=RetryAction.OUTCOME_UNKNOWN,
        code=ErrorCode.OUTCOME_UNKNOWN,
        ran=ExecutionStatus.UNKNOWN,
    )
