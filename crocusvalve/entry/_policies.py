"""The policies of an entry, chosen by the document's names."""

import random
from collections.abc import Sequence

from crocusvalve.base import BootId, ModelRef, NodeId, VersionRef
from crocusvalve.cascade import (
    CascadePolicy,
    EscalationFacts,
    QualityEstimator,
    estimate_steps,
    make_cascade_policy,
    plan_steps,
)
from crocusvalve.config._view import model_of
from crocusvalve.entry._tables import CoreTables
from crocusvalve.exceptions import RefusedError
from crocusvalve.model import RequestRow, RolloutRow
from crocusvalve.retry import HedgePolicy, Quarantine, RetryBudget, RetryPolicy
from crocusvalve.rollout import RolloutLedger, choose_version
from crocusvalve.routing import Router, make_router
from crocusvalve.utils import hash_to_unit

__all__ = ["Policies"]

DEFAULT_CASCADE_POLICY = "quality"
#: Shares of delivered answers that are rated, to learn from.
NEW_VERSION_SAMPLE = 1.0
BASELINE_SAMPLE = 0.25
OTHER_SAMPLE = 0.02


class Policies:
    """Routers by member, retries, quarantine, cascades, roll-outs and choice of version.

    Parameters
    ----------
    random_state : random.Random
        Source of randomness.
    domain, region : str
        Where the entry stands.
    node_id, boot_id : str
        This run of the entry, under which it counts answers of roll-outs.
    """

    def __init__(
        self,
        *,
        random_state: random.Random,
        domain: str = "",
        region: str = "",
        node_id: str = "",
        boot_id: str = "",
    ):
        self.random_state = random_state
        self.domain = domain
        self.region = region
        self.budget = RetryBudget()
        self.retry = RetryPolicy(budget=self.budget, random_state=random_state)
        self.estimator = QualityEstimator()
        self.ledger = RolloutLedger(node_id=NodeId(node_id), boot_id=BootId(boot_id))
        self._routers: dict[str, Router] = {}
        self._cascades: dict[str, CascadePolicy] = {}
        self._quarantine: Quarantine | None = None
        self._hedges: HedgePolicy | None = None

    def get_router(self, tables: CoreTables, member: str) -> Router:
        """Return the router that a member's policy names."""
        name = tables.view.document.members[member].policy.routing
        if name not in self._routers:
            self._routers[name] = make_router(
                name, random_state=self.random_state, domain=self.domain, region=self.region
            )
        return self._routers[name]

    def get_quarantine(self, tables: CoreTables) -> Quarantine:
        """Return the quarantine over the entry's table."""
        if self._quarantine is None or self._quarantine.rows is not tables.quarantine:
            self._quarantine = Quarantine(tables.quarantine)
        return self._quarantine

    def get_hedges(self, tables: CoreTables) -> HedgePolicy:
        """Return the policy of hedges over the entry's quarantine."""
        quarantine = self.get_quarantine(tables)
        if self._hedges is None or self._hedges.quarantine is not quarantine:
            self._hedges = HedgePolicy(budget=self.budget, quarantine=quarantine)
        return self._hedges

    def note_request(self, tables: CoreTables, req: RequestRow, now: float) -> None:
        """Credit the member's retry budget with a request."""
        ratio = tables.view.document.members[req.member].policy.retry_budget
        self.budget.note_request(req.member, now, ratio=ratio)

    def choose_version(self, tables: CoreTables, req: RequestRow, model: ModelRef) -> VersionRef:
        """Choose the version of a model for a request; a session's pin goes first.

        Raises
        ------
        RefusedError
            The model is unknown, not allowed, or has no version that takes new work.
        """
        if req.pinned_version and model_of(req.pinned_version) == model:
            return req.pinned_version
        contact = req.session_id or req.request_id
        return choose_version(tables, req.customer_id, model, contact)

    def _get_cascade(self, tables: CoreTables, req: RequestRow) -> CascadePolicy:
        cfg = tables.view.document.members[req.member].cascades.get(req.cascade)
        name = cfg.policy if cfg else DEFAULT_CASCADE_POLICY
        if name not in self._cascades:
            self._cascades[name] = make_cascade_policy(name)
        return self._cascades[name]

    def _find_versions(
        self, tables: CoreTables, req: RequestRow, steps: Sequence[ModelRef]
    ) -> dict[ModelRef, VersionRef]:
        """Return the version of each step that takes new work."""
        versions = {}
        for model in steps:
            try:
                versions[model] = self.choose_version(tables, req, model)
            except RefusedError:
                continue
        return versions

    def plan(self, tables: CoreTables, req: RequestRow, now: float) -> None:
        """Choose the steps of a request's cascade among those that take new work."""
        if req.service or len(req.steps) < 2:
            return
        versions = self._find_versions(tables, req, req.steps)
        if not versions:
            # The placement refuses the request and names the cause.
            return
        req.steps = plan_steps(
            self._get_cascade(tables, req),
            self.estimator,
            tables,
            req,
            tuple(versions),
            versions.__getitem__,
            now,
        )

    def should_escalate(
        self,
        tables: CoreTables,
        req: RequestRow,
        answered: VersionRef,
        score: float | None,
        now: float,
    ) -> bool:
        """Tell whether a cascade goes on to its next model after a rating."""
        steps = req.steps[req.step : req.step + 2]
        versions = self._find_versions(tables, req, steps[1:])
        if not versions:
            return False
        versions[steps[0]] = answered
        estimates = estimate_steps(self.estimator, tables, req, steps, versions.__getitem__, now)
        elapsed_s = now - req.arrived_at
        facts = EscalationFacts(
            score=score if self.estimator.trust.is_truthful() else None,
            quality_target=req.quality_target,
            estimate=estimates[steps[0]],
            deadline=req.deadline,
            next_s=elapsed_s,
            next_price=estimates[steps[1]].price,
        )
        return self._get_cascade(tables, req).should_escalate(facts, now)

    def note_rating(
        self, tables: CoreTables, req: RequestRow, version: VersionRef, score: float, now: float
    ) -> None:
        """Learn from the rating of an answer."""
        self.estimator.note_rating(tables, version, req.customer_id, req.class_name, score, now)
        rollout = self._find_rollout(tables, version)
        if rollout is not None:
            is_good = score >= req.quality_target
            is_new = version == rollout.version
            self.ledger.count_answer(rollout.rollout_id, is_new=is_new, is_good=is_good)

    def note_outcome(
        self, tables: CoreTables, req: RequestRow, version: VersionRef, now: float, *, is_good: bool
    ) -> None:
        """Count an attempt that ended whole, or failed after it had begun."""
        rollout = self._find_rollout(tables, version)
        if rollout is not None and version == rollout.version:
            self.ledger.count_contact(rollout.rollout_id)
        if is_good or req.service:
            return
        self.estimator.note_error(tables, version, req.customer_id, req.class_name, now)
        if rollout is not None:
            is_new = version == rollout.version
            self.ledger.count_answer(rollout.rollout_id, is_new=is_new, is_good=False)

    @staticmethod
    def _find_rollout(tables: CoreTables, version: VersionRef) -> RolloutRow | None:
        row = tables.rollouts.get(model_of(version))
        if row is None or version not in (row.version, row.baseline):
            return None
        return row

    def should_sample(self, tables: CoreTables, req: RequestRow, version: VersionRef) -> bool:
        """Tell whether a delivered answer is to be rated, to learn from."""
        if req.service:
            return False
        rollout = self._find_rollout(tables, version)
        if rollout is None:
            share = OTHER_SAMPLE
        else:
            share = NEW_VERSION_SAMPLE if version == rollout.version else BASELINE_SAMPLE
        return hash_to_unit(f"sample|{req.request_id}") < share
