"""Handles callers' requests: route, customer, refusal, and the way of the answer."""

from crocusvalve.base import Ran
from crocusvalve.exceptions import CrocusvalveError, ErrorCode, RefusedError
from crocusvalve.gateway._attempts import AttemptDesk
from crocusvalve.gateway._listener import AnswerAbortedError, Handler, Responder
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._plain_flow import PlainFlow
from crocusvalve.gateway._request import RETURN_S, GatewayRequest, RequestEnd
from crocusvalve.gateway._stopping import StopPlan
from crocusvalve.gateway._stream_flow import StreamFlow
from crocusvalve.gateway._tables import GatewayTables
from crocusvalve.gateway._upgrade_controller import UpgradeController
from crocusvalve.gateway.base import CallerRequest, Customer, RequestLimits, Route, Service
from crocusvalve.utils import Clock, compute_digest, hash_to_unit

__all__ = ["Relay"]

STEP = "admission"
#: When a caller may come back that met a gateway without configuration.
NOT_READY_RETRY_S = 0.5
#: A request that crashes upstreams is not sent, which this status promises.
STATUSES = {ErrorCode.CRASHES_UPSTREAMS: 503}
DEFAULT_LIMITS = RequestLimits()


class Relay(Handler):
    """Answers requests by passing them on to upstreams.

    Parameters
    ----------
    upgrades : UpgradeController
        Chooses versions of services.
    """

    def __init__(
        self,
        *,
        tables: GatewayTables,
        desk: AttemptDesk,
        upgrades: UpgradeController,
        observer: GatewayObserver,
        clock: Clock,
    ):
        self.tables = tables
        self.desk = desk
        self.upgrades = upgrades
        self.observer = observer
        self.clock = clock
        self.plain = PlainFlow(desk)
        self.streams = StreamFlow(desk)
        self.stop_plan: StopPlan | None = None
        self.n_open = 0

    def get_limits(self) -> RequestLimits:
        """Return the bounds in force on what callers send."""
        return self.tables.config.limits if self.tables.config else DEFAULT_LIMITS

    def is_closing(self) -> bool:
        """Tell whether connections are to end after the answer under way."""
        return self.stop_plan is not None

    async def handle(self, req: CallerRequest, responder: Responder) -> None:
        """Answer a request."""
        self.n_open += 1
        try:
            await self._handle(req, responder)
        finally:
            self.n_open -= 1

    async def _handle(self, caller: CallerRequest, responder: Responder) -> None:
        now = self.clock.now()
        try:
            req = self._admit(caller, now)
        except RefusedError as exc:
            version = self.tables.config.version if self.tables.config else 0
            request_id = caller.attempt_id.decode("latin-1")
            self.observer.record_early_refusal(request_id, exc, version, now)
            await responder.refuse(exc, STATUSES.get(exc.code))
            return
        end = RequestEnd.LEFT
        error: CrocusvalveError | None = None
        reason = ""
        try:
            flow = self.streams if req.is_stream else self.plain
            end = await flow.run(req, responder)
        except RefusedError as exc:
            error = exc
            is_safe_to_return = exc.ran is Ran.NOT_RUN
            end = RequestEnd.REFUSED if is_safe_to_return else RequestEnd.FAILED
            await responder.refuse(exc)
        except AnswerAbortedError as exc:
            end = RequestEnd.CUT
            reason = str(exc)
            raise
        finally:
            now = self.clock.now()
            self.observer.record_request_end(req, end, responder.status, now, error, reason=reason)

    def _admit(self, caller: CallerRequest, now: float) -> GatewayRequest:
        """Find out what a request asks for.

        Raises
        ------
        RefusedError
            Where it can't be passed on.
        """
        directory = self.tables.directory
        if directory is None or not self.tables.has_upstreams:
            raise self._refuse(ErrorCode.NOT_READY, "no configuration yet", NOT_READY_RETRY_S)
        route = directory.find_route(caller.host, caller.path)
        if route is None:
            raise RefusedError(ErrorCode.NOT_FOUND, "no route for this path", step=STEP)
        customer = directory.find_customer(caller)
        if not directory.is_allowed(route, customer):
            raise RefusedError(ErrorCode.BAD_KEY, "unknown key", step=STEP)
        self._check_stopping(route, now)
        digest = compute_digest(
            caller.target, (customer.name if customer else "").encode(), caller.body
        )
        if self.desk.crashes.is_banned(digest):
            raise RefusedError(
                ErrorCode.CRASHES_UPSTREAMS, "the request crashes upstreams", step=STEP
            )
        return self._make_request(caller, route, customer, digest, now)

    def _check_stopping(self, route: Route, now: float) -> None:
        plan = self.stop_plan
        if plan is None:
            return
        has_others = self.desk.peers.has_accepting_peer(now)
        if not plan.is_accepted(route.kind, has_others, now):
            retry_s = plan.compute_retry_s(has_others, now)
            raise self._refuse(ErrorCode.DRAINING, "this gateway stops", retry_s)

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
        allowed_s = route.timeout_s
        if caller.deadline_s is not None:
            allowed_s = min(allowed_s, caller.deadline_s)
        deadline = now + allowed_s - RETURN_S
        if self.stop_plan is not None:
            deadline = min(deadline, self.stop_plan.ends_at)
        self.desk.get_budget(service.name).note_request(now)
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
        """Return what requests of a session share: its id, else the last part of the prompt."""
        if caller.session:
            return caller.session
        if caller.prefix:
            return caller.prefix[-1].part_id
        return caller.attempt_id.decode("latin-1")

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
