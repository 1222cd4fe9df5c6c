"""Handles callers' requests: finds route and customer, and refuses or answers them."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from crocusvalve.base import ExecutionStatus
from crocusvalve.exceptions import CrocusvalveError, ErrorCode, RefusedError
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._upgrade_controller import UpgradeController
from crocusvalve.gateway.base import CallerRequest, Customer, RequestLimits, Route, Service
from crocusvalve.gateway.callers._listener import (
    AnswerAbortedError,
    CallerLeftError,
    Handler,
    Responder,
)
from crocusvalve.gateway.flows._plain_flow import PlainFlow
from crocusvalve.gateway.flows._request import RETURN_MARGIN_S, GatewayRequest, RequestEnd
from crocusvalve.gateway.flows._stopping import ANSWER_SHARES, OpenRequest, StopPlan
from crocusvalve.gateway.flows._stream_flow import StreamFlow
from crocusvalve.gateway.flows._waiting import WaitingRoom
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.gateway.upstreams._attempts import AttemptManager
from crocusvalve.utils import Clock, compute_digest, hash_to_unit

__all__ = ["RequestHandler", "compute_request_digest"]

STEP = "admission"
#: Retry delay in seconds for a caller that has reached a gateway without a configuration.
NOT_READY_RETRY_S = 0.5
#: The same for one that has reached a gateway whose configuration may be out of date; changes are
#: copied from another gateway within about this time.
OUTDATED_RETRY_S = 1.0
#: HTTP statuses that differ from the error code's default. 503 states that the request was not sent
#: to an upstream, which is true of a request refused because it crashes upstreams.
HTTP_STATUSES = {ErrorCode.CRASHES_UPSTREAMS: 503}
DEFAULT_LIMITS = RequestLimits()


class RequestHandler(Handler):
    """Answers requests by forwarding them to upstreams.

    Parameters
    ----------
    upgrades : UpgradeController
        Chooses the version of a service for each session.
    may_lack_configuration : callable
        Returns whether there may be a later configuration than the one in force, at a local time.
    """

    def __init__(
        self,
        *,
        tables: GatewayTables,
        attempt_manager: AttemptManager,
        upgrades: UpgradeController,
        observer: GatewayObserver,
        clock: Clock,
        may_lack_configuration: Callable[[float], bool],
    ):
        self.may_lack_configuration = may_lack_configuration
        self.tables = tables
        self.attempt_manager = attempt_manager
        self.upgrades = upgrades
        self.observer = observer
        self.clock = clock
        waiting_room = WaitingRoom(attempt_manager)
        self.plain = PlainFlow(attempt_manager, waiting_room)
        self.streams = StreamFlow(attempt_manager, waiting_room)
        self.stop_plan: StopPlan | None = None
        self.n_open_requests = 0
        attempt_manager.bans.on_change = self.streams.withdraw_banned

    def get_limits(self) -> RequestLimits:
        """Return the bounds in force on what callers send."""
        return self.tables.config.limits if self.tables.config else DEFAULT_LIMITS

    def is_closing(self) -> bool:
        """Return whether connections are to be closed after the answer in progress."""
        return self.stop_plan is not None

    def begin_stop(self, plan: StopPlan, now: float) -> None:
        """Follow a stop plan from now on."""
        self.stop_plan = plan
        for flow in (self.plain, self.streams):
            flow.limit_deadlines(plan.answers_until, now)

    def end_late_requests(self, now: float) -> None:
        """End the open requests that can't end before the process does."""
        plan = self.stop_plan
        has_peer = self.attempt_manager.peers.has_accepting_peer(now)
        retry_s = plan.compute_retry_s(has_peer, now)
        for flow in (self.plain, self.streams):
            flow.end_requests(
                lambda req: (now >= plan.ends_from or not req.has_run)
                and plan.must_end(self._describe_open(req, now), has_peer, now),
                retry_s,
            )

    def _describe_open(self, req: GatewayRequest, now: float) -> OpenRequest:
        """Return the state of a request that a stop depends on."""
        pace, name, n_tokens = self.attempt_manager.pace, req.service.name, 0
        model = req.model or (req.route.models[0] if req.route.models else "")
        first_s = elapsed_s = plain_s = 0.0
        if req.first_event_at is not None:
            elapsed_s = now - req.first_event_at
        elif req.is_stream and not req.has_run:
            first_s = pace.compute_first_event_s(name, model, 0.0, now)
        elif not req.has_run:
            allowed_s = req.arrived_at + _get_allowed_s(req.caller, req.route) - now
            plain_s = min(self._estimate_plain_s(req.route, now), allowed_s)
        # A caller that resumes a stream has a part of it that isn't known here.
        if not req.caller.last_event_id:
            n_tokens = req.caller.max_output_tokens
        return OpenRequest(
            kind=req.route.kind,
            is_resumable=req.route.is_resumable,
            has_run=req.has_run,
            has_begun=req.first_event_at is not None,
            first_s=first_s,
            elapsed_s=elapsed_s,
            plain_s=plain_s,
            stream_s=pace.compute_stream_s(name, model, n_tokens),
            n_events=req.n_events,
            n_tokens=n_tokens,
            position=hash_to_unit(f"{req.request_id}|{req.digest}"),
        )

    @contextmanager
    def count_open_request(self) -> Iterator[None]:
        """Count a request as open, from its first byte to the end of its answer."""
        self.n_open_requests += 1
        try:
            yield
        finally:
            self.n_open_requests -= 1

    async def handle(self, req: CallerRequest, responder: Responder) -> None:
        """Answer a request."""
        now = self.clock.now()
        try:
            admitted = self._admit(req, now)
        except RefusedError as exc:
            version = self.tables.config.version if self.tables.config else 0
            self.observer.record_early_refusal(_get_request_id(req), exc, version, now)
            await responder.refuse(exc, HTTP_STATUSES.get(exc.code))
        except Exception as exc:
            await self._answer_unexpected(_get_request_id(req), exc, responder)
        else:
            await self._run(admitted, responder)

    async def _run(self, req: GatewayRequest, responder: Responder) -> None:
        end = RequestEnd.CALLER_LEFT
        error: CrocusvalveError | None = None
        reason = ""
        try:
            flow = self.streams if req.is_stream else self.plain
            end = await flow.run(req, responder)
        except RefusedError as exc:
            error = exc
            is_known_not_run = exc.ran is ExecutionStatus.NOT_RUN
            end = RequestEnd.REFUSED if is_known_not_run else RequestEnd.FAILED
            await responder.refuse(exc, HTTP_STATUSES.get(exc.code))
        except AnswerAbortedError as exc:
            end = RequestEnd.ABORTED
            reason = str(exc)
            raise
        except CallerLeftError:
            raise
        except Exception as exc:
            end = RequestEnd.ABORTED if responder.has_started else RequestEnd.FAILED
            reason = f"unexpected {type(exc).__name__}"
            await self._answer_unexpected(req.request_id, exc, responder)
        finally:
            now = self.clock.now()
            self.observer.record_request_end(req, end, responder.status, now, error, reason=reason)

    async def _answer_unexpected(
        self, request_id: str, exc: Exception, responder: Responder
    ) -> None:
        """Answer a request that failed by an unexpected exception; raise it within an answer.

        The answer does not say whether the request has run.
        """
        if responder.has_started:
            raise exc
        self.observer.record_unexpected_error(request_id, exc, self.clock.now())
        message = "the gateway had an unexpected error"
        await responder.refuse(CrocusvalveError(ErrorCode.INTERNAL, message, step="handle"))

    def _admit(self, caller: CallerRequest, now: float) -> GatewayRequest:
        """Find the route, customer and service of a request.

        Raises
        ------
        RefusedError
            If the request can't be forwarded.
        """
        directory = self.tables.directory
        if directory is None or not self.tables.has_upstreams:
            raise self._refuse(
                ErrorCode.NOT_READY, "this gateway has no configuration yet", NOT_READY_RETRY_S
            )
        route = directory.find_route(caller.host, caller.path)
        if route is None:
            raise self._make_unknown_error(ErrorCode.NOT_FOUND, "no route for this path", now)
        customer = directory.find_customer(caller)
        if not directory.is_allowed(route, customer):
            raise self._make_unknown_error(ErrorCode.BAD_KEY, "unknown key", now)
        self._check_stopping(caller, route, now)
        digest = compute_request_digest(caller, customer.name if customer else "")
        ban_reason = self.attempt_manager.bans.find_reason(digest, caller.prefix, now)
        if ban_reason is not None:
            raise RefusedError(ErrorCode.CRASHES_UPSTREAMS, ban_reason, step=STEP)
        return self._make_request(caller, route, customer, digest, now)

    def _make_unknown_error(self, code: ErrorCode, message: str, now: float) -> RefusedError:
        """Return the error for a request that the configuration in force doesn't allow.

        It is final only if no later configuration may allow the request.
        """
        if self.may_lack_configuration(now):
            message = f"{message} in a configuration that may be out of date"
            return self._refuse(ErrorCode.NOT_READY, message, OUTDATED_RETRY_S)
        return RefusedError(code, message, step=STEP)

    def _check_stopping(self, caller: CallerRequest, route: Route, now: float) -> None:
        plan = self.stop_plan
        if plan is None:
            return
        has_accepting_peer = self.attempt_manager.peers.has_accepting_peer(now)
        plain_s = min(self._estimate_plain_s(route, now), _get_allowed_s(caller, route))
        if not plan.is_accepted(route.kind, has_accepting_peer, now, plain_s):
            retry_s = plan.compute_retry_s(has_accepting_peer, now)
            raise self._refuse(ErrorCode.DRAINING, "this gateway is stopping", retry_s)

    def _estimate_plain_s(self, route: Route, now: float) -> float:
        """Return the time that a plain answer is expected to take, by the route's recent ones."""
        share = ANSWER_SHARES.get(route.kind)
        if share is None:
            return 0.0
        return self.attempt_manager.pace.plain_times.compute_quantile_s(route.name, share, now)

    def _make_request(
        self,
        caller: CallerRequest,
        route: Route,
        customer: Customer | None,
        digest: str,
        now: float,
    ) -> GatewayRequest:
        session = self._find_session(caller, customer)
        service = self._choose_service(route, session)
        deadline = now + _get_allowed_s(caller, route) - RETURN_MARGIN_S
        if self.stop_plan is not None:
            deadline = min(deadline, self.stop_plan.answers_until)
        self.attempt_manager.get_budget(service.name).count_request(now)
        self.tables.request_rate.record_request(now)
        return GatewayRequest(
            caller=caller,
            route=route,
            service=service,
            customer=customer,
            versions=self.upgrades.choose_version(service.name, session),
            arrived_at=now,
            deadline=deadline,
            affinity=caller.prefix[-2:][0].part_id if caller.prefix else "",
            digest=digest,
        )

    @staticmethod
    def _find_session(caller: CallerRequest, customer: Customer | None) -> str:
        """Return a session's key: its id, else the prompt's last part, else the attempt id."""
        if caller.session:
            return caller.session
        if caller.prefix:
            return caller.prefix[-1].part_id
        return _get_request_id(caller)

    def _choose_service(self, route: Route, session: str) -> Service:
        targets = route.targets
        services = self.tables.config.services
        if len(targets) == 1:
            name = targets[0].service
        else:
            point = hash_to_unit(f"{route.name}|{session}") * sum(t.weight for t in targets)
            name = targets[-1].service
            for target in targets:
                point -= target.weight
                if point < 0:
                    name = target.service
                    break
        return services.get(name) or Service(name=name)

    @staticmethod
    def _refuse(code: ErrorCode, message: str, retry_after_s: float) -> RefusedError:
        return RefusedError(code, message, step=STEP, retry_after_s=retry_after_s)


def _get_allowed_s(caller: CallerRequest, route: Route) -> float:
    """Return the seconds within which a request must be answered."""
    if caller.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, caller.deadline_s)


def _get_request_id(caller: CallerRequest) -> str:
    return caller.attempt_id.decode("latin-1")


def compute_request_digest(caller: CallerRequest, customer_name: str) -> str:
    """Return the digest by which a repeated request is recognised.

    Requests that differ in method or host don't share a digest, since the answer to one of them
    says nothing about the other.
    """
    head = (caller.method, caller.host.encode(), caller.target, customer_name.encode())
    return compute_digest(b"\n".join(head), b"\n", caller.body)
