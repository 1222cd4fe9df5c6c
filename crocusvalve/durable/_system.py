"""Scheduling rules for durable requests: claims, lease renewals, alarms and expiry."""

from crocusvalve.base import Command, System
from crocusvalve.durable._records import ClaimRow, ExpireRow, MarkAlarm, RenewRow
from crocusvalve.durable._tables import DurableRow, DurableTables
from crocusvalve.utils import check_range, hash_to_unit

__all__ = ["DurableSystem"]

RENEW_SHARE = 0.33
EXPIRE_GRACE_S = 2.0
CLAIM_SPREAD_S = 1.0


class DurableSystem(System):
    """Decides which commands are due for the open durable requests.

    Parameters
    ----------
    renew_share : float
        Fraction of a lease's TTL after which its holder renews it.
    expire_grace_s : float
        Time after the deadline that the holder has to end a request before other processes end
        it, in seconds.
    claim_spread_s : float
        Interval over which the processes spread their claims of a request with an expired lease,
        in seconds, so that most of them see the first claim before they try.
    """

    def __init__(
        self,
        *,
        renew_share: float = RENEW_SHARE,
        expire_grace_s: float = EXPIRE_GRACE_S,
        claim_spread_s: float = CLAIM_SPREAD_S,
    ):
        check_range("renew_share", renew_share, low=0.01, high=0.9)
        check_range("expire_grace_s", expire_grace_s, low=0.0)
        check_range("claim_spread_s", claim_spread_s, low=0.0)
        self.renew_share = renew_share
        self.expire_grace_s = expire_grace_s
        self.claim_spread_s = claim_spread_s

    def run(self, tables: DurableTables, now: float) -> list[Command]:
        """Return the commands that are due, in order of the requests' deadlines."""
        n_free_slots = tables.max_running - tables.n_running
        commands: list[Command] = []
        for row in sorted(tables.rows.values(), key=_get_deadline):
            if row.has_pending_command or row.is_finishing:
                continue
            command = self._decide(tables, row, now, n_free_slots > 0)
            if command is None:
                continue
            n_free_slots -= isinstance(command, ClaimRow)
            commands.append(command)
        return commands

    def _decide(
        self, tables: DurableTables, row: DurableRow, now: float, has_capacity: bool
    ) -> Command | None:
        if row.is_running:
            return self._decide_running(row, now)
        request_id = row.record.request_id
        if now >= row.record.deadline + self.expire_grace_s + self._compute_spread_s(tables, row):
            return ExpireRow(request_id)
        if not self._is_claimable(tables, row, now):
            return None
        if now >= row.record.deadline:
            return ExpireRow(request_id)
        is_alarm_due = _is_alarm_due(row, now)
        if has_capacity:
            return ClaimRow(request_id, is_alarm_due)
        return MarkAlarm(request_id) if is_alarm_due else None

    def _decide_running(self, row: DurableRow, now: float) -> Command | None:
        request_id = row.record.request_id
        if now >= row.record.deadline:
            return ExpireRow(request_id)
        is_alarm_due = _is_alarm_due(row, now)
        if is_alarm_due or now >= row.renewed_at + row.record.ttl_s * self.renew_share:
            return RenewRow(request_id, is_alarm_due)
        return None

    def _is_claimable(self, tables: DurableTables, row: DurableRow, now: float) -> bool:
        if row.record.holder == tables.holder:
            # This process accepted or claimed it, but the answer from the store was lost.
            return row.record.request_id not in tables.accepting
        if row.unchanged_since is None:
            return False
        lease_s = row.record.ttl_s if row.record.holder else 0.0
        return now - row.unchanged_since >= lease_s + self._compute_spread_s(tables, row)

    def _compute_spread_s(self, tables: DurableTables, row: DurableRow) -> float:
        text = f"{tables.holder}|{row.record.request_id}|{row.record.number}"
        return self.claim_spread_s * hash_to_unit(text)


def _get_deadline(row: DurableRow) -> float:
    return row.record.deadline


def _is_alarm_due(row: DurableRow, now: float) -> bool:
    return not row.record.is_alarmed and now >= row.record.alarm_at
