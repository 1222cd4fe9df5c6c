"""Rules of a service's upgrade: version of a session, check of the new version, next status."""

import math
from enum import Enum

from msgspec import Struct

from crocusvalve.gateway.base import UpgradeOrder, UpgradeState, UpgradeStatus, VersionName
from crocusvalve.utils import hash_to_unit

__all__ = [
    "OutcomeCounts",
    "Verdict",
    "VersionChoice",
    "choose_version",
    "compute_next_status",
    "check_version",
]

#: Share of sessions on the new version in the first half of an upgrade, as a fraction of the
#: operators' bound on exposure (``exposure_share``).
PROBE_SHARE_FACTOR = 0.75
#: Share of sessions on the new version from a fraction of the upgrade's duration on, as pairs
#: (fraction, share). Sessions may move to the new version in the second half only, and the old
#: version must be idle before the end.
SHARE_STEPS = ((0.52, 0.3), (0.60, 0.5), (0.84, 1.0))
#: Fraction of the duration after which an upgrade may be complete.
COMPLETE_FRACTION = 0.93
#: A new version is bad if the probability of at least as many failures as observed, at the old
#: version's failure rate, is below this.
SIGNIFICANCE_LEVEL = 0.004
#: Relative size of the terms of a tail probability that are neglected.
TAIL_PRECISION = 1e-9
#: Lower limit of the old version's assumed failure rate.
MIN_BASE_FAILURE_RATE = 0.03
#: Minimum number of failures for a version to be bad.
MIN_FAILURES = 3


class OutcomeCounts(Struct, array_like=True):
    """Number of answers of a version on one route, and of failures among them."""

    n_answers: int = 0
    n_failures: int = 0

    def add(self, other: "OutcomeCounts") -> None:
        """Add other counts to these."""
        self.n_answers += other.n_answers
        self.n_failures += other.n_failures


class Verdict(Enum):
    """Result of the check of a new version."""

    UNSURE = "unsure"
    BAD = "bad"


class VersionChoice(Struct, frozen=True):
    """Version that a request must run on, or must not run on; None if it does not matter."""

    required: VersionName | None = None
    avoid: VersionName | None = None


def choose_version(
    order: UpgradeOrder | None, status: UpgradeStatus | None, session: str, is_bad: bool
) -> VersionChoice:
    """Choose the version for a session; every gateway chooses the same one.

    Parameters
    ----------
    order, status : UpgradeOrder or None, UpgradeStatus or None
        The upgrade order, and the status of its execution.
    session : str
        Key that all requests of a session share.
    is_bad : bool
        Whether this gateway's check found the new version bad.
    """
    if order is None:
        return VersionChoice()
    if status is None or status.state is UpgradeState.REVERTED:
        return VersionChoice(avoid=order.version)
    if status.state is UpgradeState.COMPLETE:
        # Also if the check failed in the meantime, since the old upstreams leave.
        return VersionChoice(required=order.version)
    if is_bad:
        return VersionChoice(avoid=order.version)
    if hash_to_unit(f"{order.version}|{session}") < status.share:
        return VersionChoice(required=order.version)
    return VersionChoice(avoid=order.version)


def check_version(new: dict[str, OutcomeCounts], old: dict[str, OutcomeCounts]) -> Verdict:
    """Check a new version's failures against the old version's, by route and in total.

    Parameters
    ----------
    new, old : dict
        Outcome counts by route.
    """
    pairs = [(counts, old.get(route, OutcomeCounts())) for route, counts in new.items()]
    pairs.append((_sum_counts(new), _sum_counts(old)))
    return Verdict.BAD if any(_is_worse(*pair) for pair in pairs) else Verdict.UNSURE


def _sum_counts(outcome_counts: dict[str, OutcomeCounts]) -> OutcomeCounts:
    total = OutcomeCounts()
    for counts in outcome_counts.values():
        total.add(counts)
    return total


def _is_worse(new: OutcomeCounts, old: OutcomeCounts) -> bool:
    if new.n_failures < MIN_FAILURES:
        return False
    base_rate = max(MIN_BASE_FAILURE_RATE, 1.5 * (old.n_failures + 0.5) / (old.n_answers + 10.0))
    return (
        _compute_tail_probability(new.n_failures, new.n_answers, min(0.9, base_rate))
        < SIGNIFICANCE_LEVEL
    )


def _compute_tail_probability(n_failures: int, n_answers: int, rate: float) -> float:
    """Return the binomial probability of at least ``n_failures`` among ``n_answers``.

    It is returned as 1 if there are no more failures than expected.
    """
    if n_failures <= n_answers * rate:
        return 1.0
    # Logarithms, since binomial coefficients of some thousand answers exceed a float.
    log_term = (
        math.lgamma(n_answers + 1)
        - math.lgamma(n_failures + 1)
        - math.lgamma(n_answers - n_failures + 1)
        + n_failures * math.log(rate)
        + (n_answers - n_failures) * math.log1p(-rate)
    )
    term = total = math.exp(log_term)
    for k in range(n_failures, n_answers):
        term *= (n_answers - k) / (k + 1) * rate / (1.0 - rate)
        total += term
        if term < TAIL_PRECISION * total:
            break
    return min(1.0, total)


def compute_next_status(
    order: UpgradeOrder,
    status: UpgradeStatus | None,
    *,
    verdict: Verdict,
    exposure_share: float,
    has_upstreams: bool,
    now: float,
) -> UpgradeStatus | None:
    """Return the status to be written next, or None if the current one remains in force.

    Parameters
    ----------
    order, status : UpgradeOrder, UpgradeStatus or None
        The upgrade order, and its current status.
    verdict : Verdict
        Result of the check of the new version.
    exposure_share : float
        Operators' bound on the share of sessions that are exposed to an unproven version.
    has_upstreams : bool
        Whether upstreams of the new version accept requests.
    now : float
        Time of the store in seconds.
    """
    if status is None:
        return UpgradeStatus(
            version=order.version,
            state=UpgradeState.RUNNING,
            share=PROBE_SHARE_FACTOR * exposure_share,
            started_s=now,
        )
    if status.state is not UpgradeState.RUNNING:
        return None
    if verdict is Verdict.BAD:
        return _replace_state(status, UpgradeState.REVERTED, 0.0)
    elapsed_fraction = (now - status.started_s) / max(0.001, order.duration_s)
    if not has_upstreams:
        return None
    if elapsed_fraction >= COMPLETE_FRACTION and status.share >= 1.0:
        return _replace_state(status, UpgradeState.COMPLETE, 1.0)
    share = status.share
    for start_fraction, step_share in SHARE_STEPS:
        if elapsed_fraction >= start_fraction and share < step_share:
            return _replace_state(status, UpgradeState.RUNNING, step_share)
    return None


def _replace_state(status: UpgradeStatus, state: UpgradeState, share: float) -> UpgradeStatus:
    return UpgradeStatus(
        version=status.version,
        state=state,
        share=share,
        started_s=status.started_s,
        revision=status.revision,
    )
