"""The policies of an entry, chosen by the document's names."""

import random

from crocusvalve.base import ModelRef, VersionRef
from crocusvalve.config._view import model_of
from crocusvalve.entry._tables import CoreTables
from crocusvalve.model import RequestRow
from crocusvalve.retry import Quarantine, RetryBudget, RetryPolicy
from crocusvalve.routing import Router, make_router

__all__ = ["Policies"]


class Policies:
    """Routers by member, retries, quarantine, cascades and choice of version.

    Parameters
    ----------
    random_state : random.Random
        Source of randomness.
    domain, region : str
        Where the entry stands.
    """

    def __init__(self, *, random_state: random.Random, domain: str = "", region: str = ""):
        self.random_state = random_state
        self.domain = domain
        self.region = region
        self.budget = RetryBudget()
        self.retry = RetryPolicy(budget=self.budget, random_state=random_state)
        self._routers: dict[str, Router] = {}
        self._quarantine: Quarantine | None = None

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

    def note_request(self, tables: CoreTables, req: RequestRow, now: float) -> None:
        """Credit the member's retry budget with a request."""
        ratio = tables.view.document.members[req.member].policy.retry_budget
        self.budget.note_request(req.member, now, ratio=ratio)

    def choose_version(self, tables: CoreTables, req: RequestRow, model: ModelRef) -> VersionRef:
        """Choose the version of a model for a request; a session's pin goes first."""
        if req.pinned_version and model_of(req.pinned_version) == model:
            return req.pinned_version
        return VersionRef(f"{model}@{tables.view.models[model].current}")

    def should_escalate(self, tables: CoreTables, req: RequestRow, score: float | None) -> bool:
        """Tell whether a cascade goes on to its next model after a rating."""
        return score is None or score < req.quality_target

    def note_rating(
        self,
        tables: CoreTables,
        customer_id: str,
        class_name: str,
        version: VersionRef,
        score: float,
        now: float,
    ) -> None:
        """Learn from the rating of an answer."""

    def note_outcome(self, tables: CoreTables, version: VersionRef, is_good: bool) -> None:
        """Count an attempt that ended whole, or failed after it had begun."""

    def should_sample(self, tables: CoreTables, version: VersionRef) -> bool:
        """Tell whether a delivered answer is to be rated, to learn from."""
        return False
