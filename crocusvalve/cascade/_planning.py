"""Plans the steps of a request from the tables of an entry."""

from collections.abc import Callable, Sequence

from crocusvalve.base import ModelRef, VersionRef
from crocusvalve.cascade._estimator import QualityEstimator
from crocusvalve.cascade.base import TARGET_SHARE, CascadePolicy, QualityEstimate
from crocusvalve.model import EntryTables, RequestRow
from crocusvalve.utils import hash_to_unit

__all__ = ["EXPLORE_SHARE", "compute_expected_price", "estimate_steps", "plan_steps"]

#: Share of requests that start one step lower than planned, so that it is rated.
EXPLORE_SHARE = 0.01
EXPECTED_PROMPT_TOKENS = 300
EXPECTED_COMPLETION_TOKENS = 200


def compute_expected_price(
    tables: EntryTables,
    version: VersionRef,
    n_prompt: int = EXPECTED_PROMPT_TOKENS,
    n_completion: int = EXPECTED_COMPLETION_TOKENS,
) -> float:
    """Return the expected cost of an answer of a version, in currency units."""
    cfg = tables.view.versions[version]
    return (n_prompt * cfg.prompt_price + n_completion * cfg.completion_price) / 1000.0


def estimate_steps(
    estimator: QualityEstimator,
    tables: EntryTables,
    req: RequestRow,
    steps: Sequence[ModelRef],
    version_of: Callable[[ModelRef], VersionRef],
    now: float,
) -> dict[ModelRef, QualityEstimate]:
    """Estimate each step by the version that would serve it."""
    estimates = {}
    for step in steps:
        version = version_of(step)
        estimates[step] = estimator.estimate(
            tables,
            version,
            req.customer_id,
            req.class_name,
            now,
            price=compute_expected_price(tables, version),
        )
    return estimates


def plan_steps(
    policy: CascadePolicy,
    estimator: QualityEstimator,
    tables: EntryTables,
    req: RequestRow,
    steps: Sequence[ModelRef],
    version_of: Callable[[ModelRef], VersionRef],
    now: float,
    *,
    target: float = TARGET_SHARE,
) -> tuple[ModelRef, ...]:
    """Plan the steps of a request.

    A stream, and any request while ratings are not live, can't be escalated. While they are live, a
    small share of requests starts one step lower, chosen by the request's id, so that cheap models
    are still rated.

    Parameters
    ----------
    policy : CascadePolicy
        The policy.
    estimator : QualityEstimator
        Source of the estimates.
    tables : EntryTables
        Tables of the entry.
    req : RequestRow
        The request.
    steps : sequence of ModelRef
        Models that the request may use, cheapest first.
    version_of : callable
        Version of a model that would serve the request.
    now : float
        Present Unix time in seconds.
    target : float
        Share of requests whose answer must reach the customer's quality target.

    Returns
    -------
    tuple of ModelRef
        Steps to try, in order.
    """
    estimates = estimate_steps(estimator, tables, req, steps, version_of, now)
    can_escalate = not req.is_stream and estimator.trust.is_live(now)
    planned = policy.plan(steps, estimates, target, can_escalate=can_escalate)
    start = len(steps) - len(planned)
    is_explorer = policy.explores and hash_to_unit(req.request_id) < EXPLORE_SHARE
    if start > 0 and is_explorer and estimator.trust.is_live(now):
        return tuple(steps[start - 1 :])
    return planned
