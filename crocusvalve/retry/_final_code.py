"""Code under which a request is given up."""

from crocusvalve.base import ExecutionStatus
from crocusvalve.exceptions import ErrorCode

__all__ = ["choose_final_code"]

#: Statuses that promise that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def choose_final_code(code: ErrorCode, ran: ExecutionStatus) -> ErrorCode:
    """Return a code whose status is true of a request.

    Parameters
    ----------
    code : ErrorCode
        What went wrong last.
    ran : Ran
        Whether the request ran in any of its attempts.
    """
    if ran is not ExecutionStatus.NOT_RUN and code.http_status in NOT_RUN_STATUSES:
        return ErrorCode.UPSTREAM_FAILED
    return code
