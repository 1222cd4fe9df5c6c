"""Rules of a service's upgrade: version of a session, check of the new version, next status."""

import math
from enum import Enum

from msgspec import Struct

from crocusvalve.gateway.base import UpgradeOrder, UpgradeState, UpgradeStatus, VersionName
from crocusvalve.gateway.decisions._session_pins import compute_session_point

__all__ = [
    "OutcomeCounts",
    "Verdict",
    "VersionChoice",
    "choose_version",
    "update_choice",
    "compute_next_status",
    "check_version",
    "is_first_half",
]

#: Share of sessions on the new version in the first half of an upgrade, as a fraction of the
#: operators' bound on exposure (``exposure_share``).
PROBE_SHARE_FACTOR = 0.75
#: Share of sessions on the new version from a fraction of the upgrade's duration on, as pairs
#: (fraction, share). Sessions may move to the new version in the second half only, and the old
#: version must be idle before the end.
SHARE_STEPS = ((0.52, 0.3), (0.65, 0.5), (0.84, 1.0))
#: Fraction of the duration after which an upgrade may be complete.
COMPLETE_FRACTION = 0.93
#: A new version is bad if the probability of at least as many failures, or slow answers, as
#: observed, at the old version's rate, is below this.
SIGNIFICANCE_LEVEL = 0.004
#: With a probability below this a new version is suspect: its share doesn't grow meanwhile, and it
#: is not completed.
SUSPICION_LEVEL = 0.05
#: Relative size of the terms of a tail probability that are neglected.
TAIL_PRECISION = 1e-9
#: Lower limits of the old version's assumed rates of failures and of slow answers.
MIN_BASE_FAILURE_RATE = 0.03
MIN_BASE_SLOW_RATE = 0.1
#: Minimum number of failures for a version to be bad, and to be suspect.
MIN_FAILURES = 3
MIN_SUSPICIOUS_FAILURES = 2


class OutcomeCounts(Struct, array_like=True):
    """Number of answers of a version on one route, and of failures and slow ones among them.

    Failures count as slow as well. ``n_pauses`` and ``n_slow_pauses`` are those of the answers
    whose time between events was measured, which is counted apart from the time to the first event.
    """

    n_answers: int = 0
    n_failures: int = 0
    n_slow: int = 0
    n_pauses: int = 0
    n_slow_pauses: int = 0

    def add(self, other: "OutcomeCounts") -> None:
        """Add other counts to these."""
        self.n_answers += other.n_answers
        self.n_failures += other.n_failures
        self.n_slow += other.n_slow
        self.n_pauses += other.n_pauses
        self.n_slow_pauses += other.n_slow_pauses


class Verdict(Enum):
    """Result of the check of a new version."""

    UNSURE = "unsure"
    SUSPECT = "suspect"
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
    if compute_session_point(order.version, session) < status.share:
        return VersionChoice(required=order.version)
    return VersionChoice(avoid=order.version)


def update_choice(
    choice: VersionChoice, order: UpgradeOrder | None, status: UpgradeStatus | None
) -> VersionChoice:
    """Return the choice for a further attempt of a request, which follows the end of an upgrade.

    The upstreams of the other version leave when an upgrade ends.
    """
    if order is None or status is None or status.state is UpgradeState.RUNNING:
        return choice
    return choose_version(order, status, "", is_bad=False)


def is_first_half(status: UpgradeStatus | None, exposure_share: float) -> bool:
    """Return whether an upgrade is in its first half, in which no session may change its version.

    Parameters
    ----------
    exposure_share : float
        Operators' bound on the share of sessions that are exposed to an unproven version.
    """
    return (
        status is not None
        and status.state is UpgradeState.RUNNING
        and status.share <= PROBE_SHARE_FACTOR * exposure_share
    )


def check_version(new: dict[str, OutcomeCounts], old: dict[str, OutcomeCounts]) -> Verdict:
    """Check a new version's failures and slow answers against the old version's.

    They are compared by route and in total, and the times between events apart from all others:
    times to the first event vary much more, and would hide them.

    Parameters
    ----------
    new, old : dict
        Outcome counts by route.
    """
    pairs = [(counts, old.get(route, OutcomeCounts())) for route, counts in new.items()]
    total_new, total_old = _sum_counts(new), _sum_counts(old)
    pairs.append((total_new, total_old))
    verdicts = [_check_counts(*pair) for pair in pairs]
    return _choose_worst(*verdicts, _check_pauses(total_new, total_old))


def _sum_counts(outcome_counts: dict[str, OutcomeCounts]) -> OutcomeCounts:
    total = OutcomeCounts()
    for counts in outcome_counts.values():
        total.add(counts)
    return total


def _check_counts(new: OutcomeCounts, old: OutcomeCounts) -> Verdict:
    n_new, n_old = new.n_answers, old.n_answers
    by_failures = _check_rate(new.n_failures, n_new, old.n_failures, n_old, MIN_BASE_FAILURE_RATE)
    by_slowness = _check_rate(new.n_slow, n_new, old.n_slow, n_old, MIN_BASE_SLOW_RATE)
    return _choose_worst(by_failures, by_slowness)


def _check_pauses(new: OutcomeCounts, old: OutcomeCounts) -> Verdict:
    return _check_rate(
        new.n_slow_pauses, new.n_pauses, old.n_slow_pauses, old.n_pauses, MIN_BASE_SLOW_RATE
    )


def _choose_worst(*verdicts: Verdict) -> Verdict:
    return max(verdicts, key=list(Verdict).index)


def _check_rate(n_bad: int, n_answers: int, n_old_bad: int, n_old: int, min_rate: float) -> Verdict:
    if n_bad < MIN_SUSPICIOUS_FAILURES:
        return Verdict.UNSURE
    base_rate = min(0.9, max(min_rate, 1.5 * (n_old_bad + 0.5) / (n_old + 10.0)))
    probability = _compute_tail_probability(n_bad, n_answers, base_rate)
    if probability < SIGNIFICANCE_LEVEL and n_bad >= MIN_FAILURES:
        return Verdict.BAD
    return Verdict.SUSPECT if probability < SUSPICION_LEVEL else Verdict.UNSURE


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
    if verdict is Verdict.SUSPECT:
        # Too late to clear it up by more answers: the last step would expose all sessions.
        is_over = elapsed_fraction >= SHARE_STEPS[-1][0]
        return _replace_state(status, UpgradeState.REVERTED, 0.0) if is_over else None
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
