"""Admission: refuses requests before any upstream work, and queues the others."""

from crocusvalve.base import ClassKind, Command
from crocusvalve.entry._finisher import RequestFinisher
from crocusvalve.entry._placement import make_banned_error
from crocusvalve.entry._policies import Policies
from crocusvalve.entry._tables import CoreTables, ProgressRow
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.limits import check_deadline, check_quota, make_customer_row
from crocusvalve.model import CustomerRow, RequestRow

__all__ = ["AdmissionSystem"]

STEP = "admission"
OUTBOX_RETRY_AFTER_S = 5.0
QUEUE_RETRY_AFTER_S = 1.0


class AdmissionSystem:
    """Checks deadline, quarantine, outbox space, quota and queue wait, then queues a request.

    Parameters
    ----------
    policies : Policies
        Retry budget, quarantine and cascades.
    finisher : RequestFinisher
        Refuses the queued request that is dropped in favour of a new one.
    """

    def __init__(self, policies: Policies, finisher: RequestFinisher):
        self.policies = policies
        self.finisher = finisher

    def admit(
        self, tables: CoreTables, req: RequestRow, now: float, can_bill: bool, share: float
    ) -> list[Command]:
        """Admit and queue a request.

        Parameters
        ----------
        tables : CoreTables
            Tables of the entry.
        req : RequestRow
            The request.
        now : float
            Current Unix time in seconds.
        can_bill : bool
            Whether the outbox has space for its bill.
        share : float
            Fraction of each customer's quota that this entry grants, in (0, 1].

        Returns
        -------
        list of Command
            Refusal of the queued request that was dropped in favour of this one, if any.

        Raises
        ------
        RefusedError
            If the request is refused; its execution status is always ``NOT_RUN``.
        """
        if now >= req.deadline:
            raise RefusedError(ErrorCode.DEADLINE_PASSED, "the deadline has passed", step=STEP)
        self._check_quarantine(tables, req)
        if not can_bill:
            message = (
                "the outbox of bills for the platform's store is full; no new requests are accepted"
            )
            raise RefusedError(
                ErrorCode.OVERLOADED, message, step=STEP, retry_after_s=OUTBOX_RETRY_AFTER_S
            )
        self.policies.plan_cascade(tables, req, now)
        row = self._get_customer(tables, req, now)
        if req.kind is not ClassKind.DURABLE:
            # The quota of a durable request was charged when it was accepted.
            self._acquire_quota(tables, req, row, now, share)
        self._refuse_early(tables, req, now)
        return self._queue(tables, req, row, now)

    @staticmethod
    def _refuse_early(tables: CoreTables, req: RequestRow, now: float) -> None:
        weight = tables.view.customers[req.customer_id].cfg.weight
        retry_after_s = check_deadline(tables.queue, req, 0.0, now, weight=weight)
        if retry_after_s is not None:
            message = "the expected wait in the queue exceeds the request's deadline"
            raise RefusedError(
                ErrorCode.OVERLOADED, message, step=STEP, retry_after_s=retry_after_s
            )

    def check_durable(self, tables: CoreTables, req: RequestRow, now: float, share: float) -> None:
        """Check the quarantine of a durable request and charge its quota before it is stored.

        Raises
        ------
        RefusedError
            If the request is refused; its execution status is always ``NOT_RUN``.
        """
        self._check_quarantine(tables, req)
        self._acquire_quota(tables, req, self._get_customer(tables, req, now), now, share)

    def _check_quarantine(self, tables: CoreTables, req: RequestRow) -> None:
        if self.policies.get_quarantine(tables).is_banned(req.digest):
            raise make_banned_error(STEP)

    @staticmethod
    def _get_customer(tables: CoreTables, req: RequestRow, now: float) -> CustomerRow:
        view = tables.view.customers.get(req.customer_id)
        if view is None:
            message = "the customer is no longer in the configuration document"
            raise RefusedError(ErrorCode.FORBIDDEN, message, step=STEP)
        row = tables.customers.get(req.customer_id)
        if row is None:
            row = make_customer_row(req.customer_id, view.cfg, now)
            tables.customers[req.customer_id] = row
        return row

    @staticmethod
    def _acquire_quota(
        tables: CoreTables, req: RequestRow, row: CustomerRow, now: float, share: float
    ) -> None:
        cfg = tables.view.customers[req.customer_id].cfg
        retry_after_s = check_quota(row, cfg, now, share=share)
        if retry_after_s is not None:
            message = "the customer's quota is used up"
            raise RefusedError(
                ErrorCode.RATE_LIMITED, message, step=STEP, retry_after_s=retry_after_s
            )

    def _queue(self, tables: CoreTables, req: RequestRow, row: CustomerRow, now: float) -> None:
        cfg = tables.view.customers[req.customer_id].cfg
        class_cfg = tables.view.get_class_config(req.member, req.class_name)
        max_queue = class_cfg.max_queue if class_cfg else 1
        dropped = tables.queue.push(req, weight=cfg.weight, max_queue=max_queue)
        row.in_flight += 1
        tables.requests[req.request_id] = req
        tables.progress[req.request_id] = ProgressRow(
            request_id=req.request_id,
            is_buffered=not req.is_stream or len(req.steps) > 1,
            last_had_candidates_at=now,
        )
        tables.add_timer(tables.deadlines, req.deadline, req.request_id)
        self.policies.credit_retry_budget(tables, req, now)
        return self._refuse_dropped(tables, dropped) if dropped is not None else []

    def _refuse_dropped(self, tables: CoreTables, req: RequestRow) -> list[Command]:
        message = "the queue is full and this customer is over its fair share"
        error = RefusedError(
            ErrorCode.OVERLOADED, message, step=STEP, retry_after_s=QUEUE_RETRY_AFTER_S
        )
        return self.finisher.refuse(tables, req, error)
