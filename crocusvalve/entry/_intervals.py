"""Intervals of an entry's periodic work, longer where there is more of it.

Each keeps its work a second bounded whatever the size of the deployment, so that control stays
within its share of a node.
"""

__all__ = [
    "compute_rollout_counts_interval_s",
    "compute_vm_list_interval_s",
    "compute_report_interval_s",
    "compute_silence_timeout_s",
]

MIN_REPORT_INTERVAL_S = 0.5
MAX_REPORT_INTERVAL_S = 5.0
#: Reports that an entry asks for a second, at most, until the longest interval is reached.
REPORTS_PER_S = 25.0
#: Intervals without a report after which an agent counts as silent.
N_MISSED_REPORTS = 4.0
MIN_SILENCE_TIMEOUT_S = 2.5
MIN_COUNTS_INTERVAL_S = 1.0
#: Rows of counts that all entries together write a second.
COUNT_ROWS_PER_S = 50.0
MIN_LIST_INTERVAL_S = 5.0
#: VMs of the list that an entry reads a second.
LISTED_VMS_PER_S = 40.0


def compute_report_interval_s(n_upstreams: int) -> float:
    """Return the interval between two load reports of one agent, in seconds."""
    return min(MAX_REPORT_INTERVAL_S, max(MIN_REPORT_INTERVAL_S, n_upstreams / REPORTS_PER_S))


def compute_silence_timeout_s(report_interval_s: float) -> float:
    """Return the silence after which an agent's streams are broken off, in seconds."""
    return max(MIN_SILENCE_TIMEOUT_S, N_MISSED_REPORTS * report_interval_s)


def compute_rollout_counts_interval_s(n_entries: int) -> float:
    """Return the interval between two writes of an entry's counts of roll-outs, in seconds."""
    return max(MIN_COUNTS_INTERVAL_S, n_entries / COUNT_ROWS_PER_S)


def compute_vm_list_interval_s(n_vms: int) -> float:
    """Return the interval between two reads of the list of VMs, in seconds."""
    return max(MIN_LIST_INTERVAL_S, n_vms / LISTED_VMS_PER_S)
