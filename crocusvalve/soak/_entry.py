"""An entry's core in virtual time."""

import random
from collections.abc import Callable

from crocusvalve.base import AttemptId, Command, NodeId, RequestId
from crocusvalve.billing import BillOutbox
from crocusvalve.config import DocumentView
from crocusvalve.entry import CoreTables, EntryCore, Policies
from crocusvalve.entry._commands import (
    CancelAttempt,
    Deliver,
    Finish,
    RateAnswer,
    Refuse,
    ReportInvariantError,
    ResumeAttempt,
    SampleAnswer,
    ShareQuarantine,
    StartAttempt,
)
from crocusvalve.entry._runtime import make_bill
from crocusvalve.exceptions import RefusedError
from crocusvalve.model import RequestRow
from crocusvalve.rpc import RunEvent
from crocusvalve.soak._checks import SoakChecks
from crocusvalve.soak._network import SoakNetwork
from crocusvalve.soak._scheduler import Scheduler

__all__ = ["SoakEntry"]

#: Time from a request for a rating to its answer.
RATING_DELAY_S = 0.05


class SoakEntry:
    """One run of an entry, from its start until it is killed.

    Parameters
    ----------
    node_id : NodeId
        Id of this run of the entry.
    view : DocumentView
        Configuration at the start.
    network : SoakNetwork
        Network to the agents.
    scheduler : Scheduler
        Virtual clock and queue of calls.
    random_state : random.Random
        Source of randomness.
    checks : SoakChecks
        Invariants, informed of what callers receive.
    share_quarantine : callable
        Sends a crash count of a digest to all entries.

    Attributes
    ----------
    outbox : BillOutbox
        Bills that the store has not confirmed.
    submitted : dict
        All requests of this run, by id.
    """

    def __init__(
        self,
        node_id: NodeId,
        view: DocumentView,
        *,
        network: SoakNetwork,
        scheduler: Scheduler,
        random_state: random.Random,
        checks: SoakChecks,
        share_quarantine: Callable[[ShareQuarantine], None],
    ):
        self.network = network
        self.scheduler = scheduler
        self.random_state = random_state
        self.checks = checks
        self.tables = CoreTables(view)
        policies = Policies(random_state=random_state, node_id=node_id)
        self.core = EntryCore(tables=self.tables, policies=policies, node_id=node_id)
        self.outbox = BillOutbox()
        self.submitted: dict[RequestId, RequestRow] = {}
        self.is_killed = False
        self._command_handlers = {
            StartAttempt: lambda cmd: network.start(cmd.address, cmd.run, self.on_event),
            ResumeAttempt: self._resume,
            CancelAttempt: lambda cmd: network.cancel(cmd.address, cmd.attempt_id),
            Deliver: lambda cmd: checks.record_answer_part(cmd.request_id, cmd.data),
            Finish: self._finish,
            Refuse: self._refuse,
            RateAnswer: self._rate_answer,
            SampleAnswer: lambda cmd: None,
            ShareQuarantine: share_quarantine,
            ReportInvariantError: self._raise_invariant_error,
        }

    def submit(self, req: RequestRow) -> None:
        """Submit a caller's request to the core."""
        self.submitted[req.request_id] = req
        try:
            commands = self.core.submit(req, self.scheduler.now)
        except RefusedError as exc:
            self.checks.record_refusal(req.request_id, exc)
            return
        self.dispatch(commands)

    def abandon(self, request_id: RequestId) -> None:
        """Abandon a request whose caller leaves, unless it has ended already."""
        if not self.is_killed and request_id in self.tables.requests:
            self.checks.mark_abandoned(request_id)
            self.dispatch(self.core.abandon(request_id, self.scheduler.now))

    def on_event(self, attempt_id: AttemptId, event: RunEvent) -> None:
        """Pass an event of an attempt to the core."""
        if not self.is_killed:
            self.dispatch(self.core.handle_event(attempt_id, event, self.scheduler.now))

    def tick(self) -> None:
        """Run the core's timers that are due."""
        self.dispatch(self.core.tick(self.scheduler.now))

    def kill(self) -> list[RequestId]:
        """Stop permanently; return the open requests, whose callers lose their connection."""
        self.is_killed = True
        return list(self.tables.requests)

    def dispatch(self, commands: list[Command]) -> None:
        """Execute commands of the core in order."""
        for command in commands:
            self._command_handlers[type(command)](command)

    def _resume(self, cmd: ResumeAttempt) -> None:
        delay_s = max(0.0, cmd.not_before - self.scheduler.now)
        self.network.resume(cmd.address, cmd.attempt_id, cmd.from_seq, delay_s, self.on_event)

    def _finish(self, cmd: Finish) -> None:
        self.checks.record_answer(cmd.summary)
        req = self.submitted[cmd.request_id]
        self.outbox.add(make_bill(req, cmd.summary, self.scheduler.now))

    def _refuse(self, cmd: Refuse) -> None:
        self.checks.record_refusal(cmd.request_id, cmd.error)

    def _rate_answer(self, cmd: RateAnswer) -> None:
        score = self.random_state.choice((None, 0.2, 0.7, 0.9))
        self.scheduler.add(RATING_DELAY_S, lambda: self._handle_rating(cmd.request_id, score))

    def _handle_rating(self, request_id: RequestId, score: float | None) -> None:
        if not self.is_killed:
            self.dispatch(self.core.handle_rating(request_id, score, self.scheduler.now))

    @staticmethod
    def _raise_invariant_error(cmd: ReportInvariantError) -> None:
        raise cmd.error
