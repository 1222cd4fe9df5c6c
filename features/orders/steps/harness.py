"""Test harness of the order flow and guard: models of entries, store, network and agents."""

from collections import Counter

from crocusvalve.base import (
    AttemptId,
    AttemptState,
    BootId,
    ExecutionStatus,
    NodeId,
    RequestId,
    UpstreamId,
)
from crocusvalve.exceptions import ErrorCode, RefusedError
from crocusvalve.orders import (
    AttemptRecord,
    ClaimResult,
    ClaimSettler,
    OrderAnswer,
    OrderFlow,
    OrderGuard,
    OrderSpec,
    OutcomeKind,
    StoredClaim,
)
from crocusvalve.orders import _events as ev
from crocusvalve.rpc import FenceReply, Refused

ORDER_TIMEOUT_S = 20.0
UPSTREAMS = (UpstreamId("delta/p1"), UpstreamId("delta/p2"))


class Store:
    """Claims with versions, in memory; ``late_writes`` are writes that have yet to be applied."""

    def __init__(self):
        self.rows = {}
        self.late_writes = []

    def write(self, claim, version):
        row = self.rows.get(claim.key)
        is_applied = (row.version if row else 0) == version
        if is_applied:
            row = self.rows[claim.key] = StoredClaim(claim, version + 1)
        return ClaimResult(is_applied, row)


class AgentModel:
    """Model of an agent: its guard and the attempts in its process; a restart loses both.

    ``admitted`` and ``running`` hold attempts, ``ends`` the answer or refusal of each ended one.
    While ``is_closed``, its failure domain is withdrawn and new attempts are refused.
    """

    def __init__(self, upstream_id, executed):
        self.upstream_id = upstream_id
        self.executed = executed
        self.n_boots = 0
        self.is_closed = False
        self.restart()

    def restart(self):
        self.n_boots += 1
        self.boot_id = BootId(f"{self.upstream_id}-{self.n_boots}")
        self.guard = OrderGuard(boot_id=self.boot_id, keep_s=30.0)
        self.admitted, self.running, self.ends = [], [], {}

    def handle_run(self, attempt, now):
        try:
            if self.is_closed:
                raise RefusedError(ErrorCode.DOMAIN_OUT, "out")
            self.guard.admit(
                attempt.attempt_id, boot_id=attempt.boot_id, deadline=attempt.deadline, now=now
            )
        except RefusedError as exc:
            ran = self.guard.refuse(attempt.attempt_id, deadline=attempt.deadline, now=now)
            self.ends.setdefault(attempt.attempt_id, self.make_refused(attempt, exc.code.name, ran))
            return
        self.admitted.append(attempt)

    def begin(self, now):
        attempt = self.admitted.pop(0)
        try:
            self.guard.begin(attempt.attempt_id, now)
        except RefusedError as exc:
            self.guard.end(attempt.attempt_id, AttemptState.FAILED, ExecutionStatus.NOT_RUN)
            self.ends[attempt.attempt_id] = self.make_refused(
                attempt, exc.code.name, ExecutionStatus.NOT_RUN
            )
            return
        assert now < attempt.deadline, "an attempt began after its deadline"
        self.executed[attempt.attempt_id] += 1
        self.running.append(attempt)

    def finish(self, is_success):
        attempt = self.running.pop(0)
        if is_success:
            self.guard.end(attempt.attempt_id, AttemptState.DONE, ExecutionStatus.RAN)
            answer = OrderAnswer(
                upstream_id=self.upstream_id, status=200, content_type="", body=b"done"
            )
            self.ends[attempt.attempt_id] = answer
            return
        self.guard.end(attempt.attempt_id, AttemptState.FAILED, ExecutionStatus.UNKNOWN)
        refused = self.make_refused(attempt, "UPSTREAM_FAILED", ExecutionStatus.UNKNOWN)
        self.ends[attempt.attempt_id] = refused

    def make_refused(self, attempt, code, ran):
        return Refused(attempt.attempt_id, code, "", ran, "agent", self.upstream_id)


class Call:
    """One call of a key at an entry; ``is_dead`` after the entry was killed."""

    def __init__(self, flow, command, key):
        self.flow = flow
        self.command = command
        self.key = key
        self.attempts = []
        self.outcome = None
        self.is_dead = False

    @property
    def is_open(self):
        return self.outcome is None and not self.is_dead


class OrderHarness:
    """All processes and the network between them; counts the executions of each attempt."""

    def __init__(self):
        self.now = 1000.0
        self.store = Store()
        self.executed = Counter()
        self.agents = {name: AgentModel(name, self.executed) for name in UPSTREAMS}
        self.calls = []
        self.network = []
        self.faults = Counter()
        self.n_attempts = 0
        self.unwritten_claims = []

    def start_call(self, key, entry, body="b"):
        spec = OrderSpec(
            customer_id="delta/coop",
            key=key,
            body_digest=body,
            request_id=RequestId(f"r{len(self.calls)}"),
            entry_id=NodeId(entry),
            deadline=self.now + ORDER_TIMEOUT_S,
        )
        flow = OrderFlow(spec)
        call = Call(flow, flow.start(self.now), key)
        self.calls.append(call)
        return call

    def handle_event(self, call, event):
        call.command = call.flow.handle(event, self.now)
        if isinstance(call.command, ev.Reply):
            call.outcome = call.command.outcome
            if call.command.unwritten_claim is not None:
                self.unwritten_claims.append(call.command.unwritten_claim)

    def make_attempt(self, call, avoid):
        names = [name for name in UPSTREAMS if name not in avoid]
        if not names:
            return None
        self.n_attempts += 1
        agent = self.agents[names[0]]
        deadline = call.flow.spec.deadline
        attempt = AttemptRecord(
            AttemptId(f"a{self.n_attempts}"), agent.upstream_id, "", agent.boot_id, deadline
        )
        call.attempts.append(attempt.attempt_id)
        return attempt

    def step(self, call, fault):
        """Execute the call's command under a fault.

        ``ok``: none; ``copied``: a copy of the message stays in the network; ``lost``: the message
        is lost before it has an effect; ``lost_after``: its response is lost; ``late``: the caller
        sees a failure and the message takes effect later.
        """
        if fault != "ok":
            self.faults[f"{type(call.command).__name__}:{fault}"] += 1
        match call.command:
            case ev.PlaceAttempt(avoid):
                self.handle_event(call, ev.AttemptPlaced(self.make_attempt(call, avoid)))
            case ev.FindClaim() if fault in ("ok", "copied"):
                self.handle_event(call, ev.ClaimFound(self.store.rows.get(call.key)))
            case ev.FindClaim():
                self.handle_event(call, ev.StoreFailed())
            case ev.InsertClaim(claim):
                self._write(call, claim, 0, fault)
            case ev.UpdateClaim(claim, version):
                self._write(call, claim, version, fault)
            case ev.SendAttempt(attempt):
                self._send(call, attempt, fault)
            case ev.FenceAttempt(attempt):
                self._fence(call, attempt, fault)
            case ev.ResumeAttempt(attempt):
                self._read_answer(call, attempt, fault)

    def _write(self, call, claim, version, fault):
        if fault in ("ok", "copied"):
            self.handle_event(call, ev.ClaimWritten(self.store.write(claim, version)))
            return
        if fault == "lost_after":
            self.store.write(claim, version)
        elif fault == "late":
            self.store.late_writes.append((claim, version))
        self.handle_event(call, ev.StoreFailed())

    def _send(self, call, attempt, fault):
        if fault == "lost":
            self.handle_event(call, ev.AttemptNotSent())
            return
        self.network.append(attempt)
        if fault in ("ok", "copied"):
            self.deliver(len(self.network) - 1, is_copied=fault == "copied")
        call.command = ev.ResumeAttempt(attempt)
        if fault not in ("ok", "copied"):
            self.handle_event(call, ev.AttemptInterrupted())

    def _fence(self, call, attempt, fault):
        if fault == "lost":
            self.handle_event(call, ev.FenceFailed())
            return
        agent = self.agents[attempt.upstream_id]
        ran = agent.guard.fence(
            attempt.attempt_id, boot_id=attempt.boot_id, deadline=attempt.deadline, now=self.now
        )
        if fault in ("ok", "copied"):
            reply = FenceReply(attempt.attempt_id, ran, agent.boot_id)
            self.handle_event(call, ev.FenceAnswered(reply))
        else:
            self.handle_event(call, ev.FenceFailed())

    def _read_answer(self, call, attempt, fault):
        """Read the end of an attempt from its agent; without effect while the attempt continues."""
        agent = self.agents[attempt.upstream_id]
        if fault not in ("ok", "copied") or (agent.boot_id != attempt.boot_id):
            self.handle_event(call, ev.AttemptInterrupted())
            return
        end = agent.ends.get(attempt.attempt_id)
        if isinstance(end, OrderAnswer):
            self.handle_event(call, ev.AnswerArrived(end))
        elif end is not None:
            self.handle_event(call, ev.AttemptRefused(end))
        elif self.now >= call.flow.spec.deadline:
            self.handle_event(call, ev.DeadlinePassed())

    def deliver(self, index, *, is_copied=False):
        """Deliver a message to its agent; with ``is_copied`` it also stays in the network."""
        attempt = self.network[index] if is_copied else self.network.pop(index)
        self.agents[attempt.upstream_id].handle_run(attempt, self.now)

    def settle(self):
        """Write the oldest claim that is still to be written, as ``ClaimSettler`` does."""
        claim = self.unwritten_claims.pop(0)
        stored = self.store.rows.get(claim.key)
        if stored is not None:
            if ClaimSettler._may_replace(stored, claim):
                self.store.write(claim, stored.version)

    def finish_all(self):
        """Deliver and begin everything that is pending, so that a false "not run" is detected."""
        while self.network:
            self.deliver(0)
        for agent in self.agents.values():
            while agent.admitted:
                agent.begin(self.now)

    def check(self):
        """Check that each key ran at most once and that every reported outcome is true."""
        by_key = Counter()
        for call in self.calls:
            n = sum(self.executed[attempt] for attempt in call.attempts)
            by_key[call.key] += n
            if call.outcome is not None:
                self._check_outcome(call, n)
        assert all(n <= 1 for n in by_key.values()), f"ran more than once: {by_key}"

    def _check_outcome(self, call, n):
        kind = call.outcome.kind
        if kind is OutcomeKind.NOT_RUN:
            assert n == 0, f"reported as not run, but ran: {call.attempts}"
        if kind is OutcomeKind.ANSWERED:
            n_key = sum(
                self.executed[attempt]
                for other in self.calls
                if other.key == call.key
                for attempt in other.attempts
            )
            assert n_key == 1, f"answered, but ran {n_key} times"
