"""Decides whether an attempt may start; a refused attempt is guaranteed not to have run."""

from crocusvalve.agent._tables import AgentTables, RunRow
from crocusvalve.base import (
    AttemptId,
    ClassKind,
    ExecutionStatus,
    UpstreamKind,
    UpstreamState,
    VersionRef,
)
from crocusvalve.exceptions import ErrorCode, InvariantError, RefusedError
from crocusvalve.rpc import Refused, RunRequest

__all__ = ["AdmissionSystem", "make_refused"]

STEP = "agent_admission"
RETRY_AFTER_S = 1.0


def make_refused(
    attempt_id: AttemptId,
    exc: RefusedError,
    *,
    peer: str,
    ran: ExecutionStatus | None = None,
    crashed: bool = False,
) -> Refused:
    """Convert an error to the event that ends an attempt; ``ran`` overrides the error's status."""
    return Refused(
        attempt_id=attempt_id,
        code=exc.code.name,
        message=exc.message,
        ran=exc.ran if ran is None else ran,
        step=exc.step or STEP,
        peer=exc.peer or peer,
        retry_after_s=exc.retry_after_s,
        crashed=crashed,
    )


class AdmissionSystem:
    """Checks an attempt against the agent's tables; raises ``RefusedError`` if a check fails."""

    def admit(self, tables: AgentTables, req: RunRequest, now: float) -> RunRow:
        """Check an attempt, register it with the guard and count it against the limit."""
        self._check_boot(req)
        self.check(tables, req)
        self._check_limit(tables)
        self._check_named_limit(tables, now)
        tables.guard.admit(req.attempt_id, boot_id=req.boot_id, deadline=req.deadline, now=now)
        generation = tables.limiter.generation
        if not tables.limiter.try_start():
            raise InvariantError("the limit decreased between its check and its use", step=STEP)
        tables.named_limit.record_send(now)
        row = RunRow(req=req, admitted_at=now, generation=generation)
        tables.runs[req.attempt_id] = row
        return row

    def refuse(
        self, tables: AgentTables, req: RunRequest, exc: RefusedError, now: float
    ) -> Refused:
        """Make a refusal binding, so that no later copy of the attempt can start."""
        ran = tables.guard.refuse(req.attempt_id, deadline=req.deadline, now=now)
        return make_refused(req.attempt_id, exc, peer=tables.upstream_id, ran=ran)

    def check(self, tables: AgentTables, req: RunRequest) -> None:
        """Run the checks whose outcome may change until the attempt is sent to the upstream.

        The guard checks the deadline, the boot and the fences.
        """
        self._check_target(tables, req)
        self._check_availability(tables)
        self._check_request(tables, req)
        self._check_customer(tables, req)

    @staticmethod
    def is_behind(tables: AgentTables, req: RunRequest) -> bool:
        """Return whether the entry has a newer revision than the agent."""
        return tables.view is None or tables.view.revision < req.revision

    @staticmethod
    def _check_boot(req: RunRequest) -> None:
        if req.kind is ClassKind.ORDER and not req.boot_id:
            message = "an order must name the boot ID of the agent"
            raise RefusedError(ErrorCode.STALE_BOOT, message, step=STEP)

    def _check_limit(self, tables: AgentTables) -> None:
        limiter = tables.limiter
        if limiter.in_flight >= limiter.limit:
            message = f"{limiter.in_flight} requests are in progress, the limit is {limiter.limit}"
            raise RefusedError(
                ErrorCode.UPSTREAM_FULL,
                message,
                step=STEP,
                retry_after_s=limiter.compute_retry_after_s(),
            )

    @staticmethod
    def _check_named_limit(tables: AgentTables, now: float) -> None:
        wait_s = tables.named_limit.compute_wait_s(now)
        if wait_s > 0.0:
            message = f"the upstream takes {tables.named_limit.rate_per_s:g} requests a second"
            raise RefusedError(ErrorCode.UPSTREAM_FULL, message, step=STEP, retry_after_s=wait_s)

    def _check_target(self, tables: AgentTables, req: RunRequest) -> None:
        if req.upstream_id != tables.upstream_id:
            message = f"this agent serves only {tables.upstream_id}"
            raise RefusedError(ErrorCode.NO_UPSTREAM, message, step=STEP)
        upstream = tables.view.upstreams.get(tables.upstream_id) if tables.view else None
        if upstream is not None and upstream.cfg.kind is not req.upstream_kind:
            message = f"{tables.upstream_id} is of kind {upstream.cfg.kind.value}"
            raise RefusedError(ErrorCode.NO_UPSTREAM, message, step=STEP)

    def _check_availability(self, tables: AgentTables) -> None:
        state = tables.state
        if state is UpstreamState.DRAINING:
            message = "the upstream is draining"
            raise RefusedError(ErrorCode.DRAINING, message, step=STEP, retry_after_s=RETRY_AFTER_S)
        if state is UpstreamState.DOWN:
            message = "the upstream does not answer"
            raise RefusedError(
                ErrorCode.UPSTREAM_DOWN, message, step=STEP, retry_after_s=RETRY_AFTER_S
            )
        view = tables.view
        is_out = view is not None and view.is_domain_out(tables.domain)
        if is_out or tables.notices.is_domain_out(tables.domain):
            message = f"failure domain {tables.domain} is out of service"
            raise RefusedError(ErrorCode.DOMAIN_OUT, message, step=STEP)

    def _check_request(self, tables: AgentTables, req: RunRequest) -> None:
        if tables.notices.is_quarantined(req.digest):
            message = "requests with this digest crash upstreams"
            raise RefusedError(ErrorCode.CRASHES_UPSTREAMS, message, step=STEP)
        if req.version and tables.notices.is_withdrawn(req.version):
            message = f"{req.version} was withdrawn"
            raise RefusedError(ErrorCode.VERSION_WITHDRAWN, message, step=STEP)

    def _check_customer(self, tables: AgentTables, req: RunRequest) -> None:
        view = tables.view
        if view is None:
            raise self._make_stale_error("the agent has no revision yet")
        is_behind = self.is_behind(tables, req)
        if req.customer_id not in view.customers:
            if is_behind:
                raise self._make_stale_error("the agent does not know the customer yet")
            message = f"customer {req.customer_id} is unknown"
            raise RefusedError(ErrorCode.FORBIDDEN, message, step=STEP)
        if req.upstream_kind is UpstreamKind.PLAIN:
            self._check_service(tables, req)
        else:
            self._check_version(tables, req, is_behind)

    def _check_service(self, tables: AgentTables, req: RunRequest) -> None:
        customer = tables.view.customers[req.customer_id]
        if tables.upstream_id.partition("/")[0] != customer.member:
            message = "a plain service is available only to customers of its own member"
            raise RefusedError(ErrorCode.MODEL_NOT_ALLOWED, message, step=STEP)

    def _check_version(self, tables: AgentTables, req: RunRequest, is_behind: bool) -> None:
        view = tables.view
        version = VersionRef(req.version)
        if is_behind and version not in view.versions:
            raise self._make_stale_error("the agent does not know the version yet")
        if view.is_withdrawn(version):
            message = f"{version} is withdrawn in revision {view.revision}"
            raise RefusedError(ErrorCode.VERSION_WITHDRAWN, message, step=STEP)
        if not view.is_allowed(req.customer_id, version):
            if is_behind:
                raise self._make_stale_error(
                    "the agent's older revision does not allow the version"
                )
            message = f"{version} is not allowed in revision {view.revision}"
            raise RefusedError(ErrorCode.MODEL_NOT_ALLOWED, message, step=STEP)
        upstream = view.upstreams.get(tables.upstream_id)
        if upstream is not None and version not in upstream.serves and not is_behind:
            message = f"{tables.upstream_id} does not serve {version}"
            raise RefusedError(ErrorCode.NO_UPSTREAM, message, step=STEP)
        if tables.loaded is not None and version not in tables.loaded:
            message = f"{tables.upstream_id} has not loaded {version}"
            raise RefusedError(ErrorCode.NOT_READY, message, step=STEP, retry_after_s=RETRY_AFTER_S)

    @staticmethod
    def _make_stale_error(message: str) -> RefusedError:
        return RefusedError(
            ErrorCode.STALE_REVISION,
            message,
            step=STEP,
            ran=ExecutionStatus.NOT_RUN,
            retry_after_s=RETRY_AFTER_S,
        )
