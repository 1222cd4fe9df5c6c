"""The policies of an entry, selected by their names in the configuration document."""

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
from crocusvalve.config._view import get_model_ref
from crocusvalve.entry._tables import CoreTables
from crocusvalve.exceptions import RefusedError
from crocusvalve.model import RequestRow, RolloutRow
from crocusvalve.retry import HedgePolicy, Quarantine, RetryBudget, RetryPolicy
from crocusvalve.rollout import RolloutLedger, choose_version
from crocusvalve.routing import Router, make_router
from crocusvalve.utils import hash_to_unit

__all__ = ["Policies"]

DEFAULT_CASCADE_POLICY = "quality"
#: Fractions of delivered answers that are rated to update the quality estimates: answers by the new
#: version of a roll-out, by its baseline, and by any other version.
NEW_VERSION_SAMPLE_SHARE = 1.0
BASELINE_SAMPLE_SHARE = 0.25
OTHER_SAMPLE_SHARE = 0.02


class Policies:
    """Routers of members, retries, quarantine, cascades, roll-outs and the choice of versions.

    Parameters
    ----------
    random_state : random.Random
        Source of randomness.
    domain, region : str
        Failure domain and region of the entry.
    node_id, boot_id : str
        Node ID and boot ID of this entry process, under which it counts the answers of roll-outs.
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
        """Return the router that a member's configuration selects."""
        name = tables.view.document.members[member].policy.routing
        if name not in self._routers:
            self._routers[name] = make_router(
                name, random_state=self.random_state, domain=self.domain, region=self.region
            )
        return self._routers[name]

    def get_quarantine(self, tables: CoreTables) -> Quarantine:
        """Return the quarantine that is stored in the entry's table."""
        if self._quarantine is None or self._quarantine.rows is not tables.quarantine:
            self._quarantine = Quarantine(tables.quarantine)
        return self._quarantine

    def get_hedge_policy(self, tables: CoreTables) -> HedgePolicy:
        """Return the hedge policy, which uses the entry's quarantine."""
        quarantine = self.get_quarantine(tables)
        if self._hedges is None or self._hedges.quarantine is not quarantine:
            self._hedges = HedgePolicy(budget=self.budget, quarantine=quarantine)
        return self._hedges

    def credit_retry_budget(self, tables: CoreTables, req: RequestRow, now: float) -> None:
        """Credit the retry budget of the request's member for one request."""
        ratio = tables.view.document.members[req.member].policy.retry_budget
        self.budget.count_request(req.member, now, ratio=ratio)

    def choose_version(self, tables: CoreTables, req: RequestRow, model: ModelRef) -> VersionRef:
        """Choose the version of a model for a request; a pinned version takes precedence.

        Raises
        ------
        RefusedError
            If the model is unknown, not allowed, or has no version that accepts new requests.
        """
        if req.pinned_version and get_model_ref(req.pinned_version) == model:
            return req.pinned_version
        # A contact, the unit of roll-out, is a session or a request outside a session.
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
        """Return the version of each step that accepts new requests."""
        versions = {}
        for model in steps:
            try:
                versions[model] = self.choose_version(tables, req, model)
            except RefusedError:
                continue
        return versions

    def plan_cascade(self, tables: CoreTables, req: RequestRow, now: float) -> None:
        """Choose the steps of a request's cascade among those that accept new requests."""
        if req.service or len(req.steps) < 2:
            return
        versions = self._find_versions(tables, req, req.steps)
        if not versions:
            # Placement refuses the request and reports the cause.
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
        """Return whether a cascade continues with its next model after a rating.

        ``score`` is None if the answer could not be rated.
        """
        steps = req.steps[req.step : req.step + 2]
        versions = self._find_versions(tables, req, steps[1:])
        if not versions:
            return False
        versions[steps[0]] = answered
        estimates = estimate_steps(self.estimator, tables, req, steps, versions.__getitem__, now)
        elapsed_s = now - req.arrived_at
        facts = EscalationFacts(
            score=score if self.estimator.trust.is_trusted() else None,
            quality_target=req.quality_target,
            estimate=estimates[steps[0]],
            deadline=req.deadline,
            next_step_s=elapsed_s,
            next_step_price=estimates[steps[1]].price,
        )
        return self._get_cascade(tables, req).should_escalate(facts, now)

    def learn_from_rating(
        self, tables: CoreTables, req: RequestRow, version: VersionRef, score: float, now: float
    ) -> None:
        """Update the quality estimates and the roll-out counts from the rating of an answer."""
        self.estimator.record_rating(tables, version, req.customer_id, req.class_name, score, now)
        rollout = self._find_rollout(tables, version)
        if rollout is not None:
            is_good = score >= req.quality_target
            is_new = version == rollout.version
            self.ledger.count_answer(rollout.rollout_id, is_new=is_new, is_good=is_good)

    def record_outcome(
        self, tables: CoreTables, req: RequestRow, version: VersionRef, now: float, *, is_good: bool
    ) -> None:
        """Record an attempt that completed, or that failed after it may have started to run."""
        rollout = self._find_rollout(tables, version)
        if rollout is not None and version == rollout.version:
            self.ledger.count_contact(rollout.rollout_id)
        if is_good or req.service:
            return
        self.estimator.record_error(tables, version, req.customer_id, req.class_name, now)
        if rollout is not None:
            is_new = version == rollout.version
            self.ledger.count_answer(rollout.rollout_id, is_new=is_new, is_good=False)

    @staticmethod
    def _find_rollout(tables: CoreTables, version: VersionRef) -> RolloutRow | None:
        row = tables.rollouts.get(get_model_ref(version))
        if row is None or version not in (row.version, row.baseline):
            return None
        return row

    def should_sample(self, tables: CoreTables, req: RequestRow, version: VersionRef) -> bool:
        """Return whether to rate a delivered answer to update the quality estimates."""
        if req.service:
            return False
        rollout = self._find_rollout(tables, version)
        if rollout is None:
            share = OTHER_SAMPLE_SHARE
        else:
            share = (
                NEW_VERSION_SAMPLE_SHARE if version == rollout.version else BASELINE_SAMPLE_SHARE
            )
        return hash_to_unit(f"sample|{req.request_id}") < share
