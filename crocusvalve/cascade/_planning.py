"""Planning of a request's cascade steps from the tables of an entry."""

from collections.abc import Callable, Sequence

from crocusvalve.base import ModelRef, VersionRef
from crocusvalve.cascade._estimator import QualityEstimator
from crocusvalve.cascade.base import TARGET_SHARE, CascadePolicy, QualityEstimate
from crocusvalve.model import EntryTables, RequestRow
from crocusvalve.utils import hash_to_unit

__all__ = ["EXPLORE_SHARE", "compute_expected_price", "estimate_steps", "plan_steps"]

#: Share of requests that start one step lower than planned, so that this step's answers are rated.
EXPLORE_SHARE = 0.01
#: Prompt tokens of a typical request, to compare prices.
EXPECTED_PROMPT_TOKENS = 300
#: Completion tokens of a typical answer, to compare prices.
EXPECTED_COMPLETION_TOKENS = 200


def compute_expected_price(
    tables: EntryTables,
    version: VersionRef,
    n_prompt: int = EXPECTED_PROMPT_TOKENS,
    n_completion: int = EXPECTED_COMPLETION_TOKENS,
) -> float:
    """Return the expected cost of a version's answer in currency units.

    ``n_prompt`` and ``n_completion`` are the expected numbers of tokens; prices are per 1000.
    """
    cfg = tables.view.versions[version]
    return (n_prompt * cfg.prompt_price + n_completion * cfg.completion_price) / 1000.0


def estimate_steps(
    estimator: QualityEstimator,
    tables: EntryTables,
    req: RequestRow,
    steps: Sequence[ModelRef],
    get_version: Callable[[ModelRef], VersionRef],
    now: float,
) -> dict[ModelRef, QualityEstimate]:
    """Estimate the quality of each step's model by the version that would serve the request."""
    estimates = {}
    for step in steps:
        version = get_version(step)
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
    get_version: Callable[[ModelRef], VersionRef],
    now: float,
    *,
    target: float = TARGET_SHARE,
) -> tuple[ModelRef, ...]:
    """Plan the steps of a request.

    A stream can't be escalated, nor can any request while ratings are not live. While they are
    live, a share of ``EXPLORE_SHARE`` of the requests, chosen by request id, starts one step lower
    than planned, so that cheap models are still rated.

    Parameters
    ----------
    policy : CascadePolicy
        Policy that chooses the steps.
    estimator : QualityEstimator
        Source of the quality estimates.
    tables : EntryTables
        Tables of the entry.
    req : RequestRow
        The request.
    steps : sequence of ModelRef
        Models that the request may use, cheapest first.
    get_version : callable
        Returns the version of a model that would serve the request.
    now : float
        Current Unix time in seconds.
    target : float
        Share of requests whose answer must reach the customer's quality target.

    Returns
    -------
    tuple of ModelRef
        Steps to try, in order.
    """
    estimates = estimate_steps(estimator, tables, req, steps, get_version, now)
    can_escalate = not req.is_stream and estimator.trust.is_live(now)
    planned = policy.plan(steps, estimates, target, can_escalate=can_escalate)
    start = len(steps) - len(planned)
    is_explorer = policy.explores and hash_to_unit(req.request_id) < EXPLORE_SHARE
    if start > 0 and is_explorer and estimator.trust.is_live(now):
        return tuple(steps[start - 1 :])
    return planned
