"""Simulates the entries, upstreams and traffic of a deployment in virtual time."""

import random

from msgspec import Struct, structs

from crocusvalve.base import (
    ClassKind,
    CustomerId,
    DomainState,
    RequestId,
    Revision,
    UpstreamId,
    VersionRef,
)
from crocusvalve.bench._deployments import (
    CUSTOMER_SHARES,
    Deployment,
    Traffic,
    make_document,
    sample_customer,
)
from crocusvalve.bench._entry import BenchEntry, Outcome
from crocusvalve.bench._loop import EventLoop
from crocusvalve.bench._upstream import BenchUpstream
from crocusvalve.config import Document, DocumentView
from crocusvalve.model import RequestRow

__all__ = ["Cluster"]

N_ENTRIES = 2
#: Number of sessions of each customer in each class.
N_SESSIONS = 6
#: Interval of the load reports of an upstream.
REPORT_INTERVAL_S = 1.0
#: Fraction of a prompt that is the same in all requests of a session.
PREFIX_SHARE = 0.6
#: Virtual time at which a run starts, in seconds.
START_S = 1000.0


class TrafficStream(Struct, frozen=True):
    """Requests of one class that arrive as a Poisson process.

    Attributes
    ----------
    traffic : Traffic
        Class, lengths and deadline of the requests.
    rate_per_s : float
        Mean number of requests per second.
    customer : str
        Local name of the customer; if empty, a customer is sampled for each request.
    rng : random.Random
        Source of arrival times, customers, sessions and entries.
    """

    traffic: Traffic
    rate_per_s: float
    customer: str
    rng: random.Random


class Cluster:
    """Simulates a deployment under traffic.

    Parameters
    ----------
    deployment : Deployment
        Domains, engines and traffic to simulate.
    router : str
        Name of the routing policy.
    seed : int
        Seed of the traffic, the policies and the engines.
    report_lag_s : float
        Seconds between the sending of a load report and its arrival at the entries.
    has_quotas : bool
        Whether each customer's requests in flight are limited; see ``compute_quota``.
    """

    def __init__(
        self,
        deployment: Deployment,
        *,
        router: str = "expected_wait",
        seed: int = 0,
        report_lag_s: float = 0.3,
        has_quotas: bool = True,
    ):
        self.deployment = deployment
        self.seed = seed
        self.loop = EventLoop(START_S)
        self.rng = random.Random(seed)
        self.report_lag_s = report_lag_s
        self.document = make_document(deployment, has_quotas=has_quotas)
        self.view = DocumentView(self.document, Revision(1))
        self.upstreams = self._make_upstreams(seed)
        self.entries = [self._make_entry(index, router, seed) for index in range(N_ENTRIES)]
        self.n_requests = 0
        self._prefixes: dict[str, str] = {}
        for index, upstream in enumerate(self.upstreams.values()):
            self.loop.call_after(
                REPORT_INTERVAL_S * index / len(self.upstreams), self._send_load_report, upstream
            )
        for traffic in deployment.traffic:
            rng = random.Random(f"{seed}/{traffic.class_name}")
            self._schedule_arrival(TrafficStream(traffic, traffic.rate_per_s, "", rng))

    @property
    def outcomes(self) -> list[Outcome]:
        """Outcomes of all requests that have ended."""
        return [outcome for entry in self.entries for outcome in entry.outcomes]

    def run_until(self, end_s: float) -> None:
        """Run to a time, in seconds since the start."""
        self.loop.run_until(START_S + end_s)

    def publish_domain_state(
        self, domain: str, state: DomainState, delays_s: tuple[float, float]
    ) -> None:
        """Set a failure domain's state; each entry and agent applies it after a random delay.

        ``delays_s`` holds the bounds of the delay in seconds.
        """
        self.document = set_domain_state(self.document, self.deployment, domain, state)
        self.view = DocumentView(self.document, Revision(self.view.revision + 1))
        for entry in self.entries:
            self.loop.call_after(self.rng.uniform(*delays_s), entry.apply_view, self.view)
        for upstream in self.upstreams.values():
            self.loop.call_after(self.rng.uniform(*delays_s), _set_document, upstream, self.view)

    def scale_customer_traffic(self, customer: str, factor: float, start_s: float) -> None:
        """Multiply the traffic of one customer, from ``start_s`` seconds after the start.

        All other traffic is unchanged, down to its arrival times.
        """
        share = CUSTOMER_SHARES[int(customer[1:])]
        for traffic in self.deployment.traffic:
            rng = random.Random(f"{self.seed}/{traffic.class_name}/{customer}")
            rate_per_s = traffic.rate_per_s * share * (factor - 1.0)
            stream = TrafficStream(traffic, rate_per_s, customer, rng)
            self.loop.call_at(START_S + start_s, self._schedule_arrival, stream)

    def list_upstreams(self, domain: str) -> list[BenchUpstream]:
        """Return the upstreams of a failure domain."""
        ref = f"{self.deployment.member}/{domain}"
        return [upstream for upstream in self.upstreams.values() if upstream.view.domain == ref]

    def _make_upstreams(self, seed: int) -> dict[UpstreamId, BenchUpstream]:
        specs = {group.model: group.spec for group in self.deployment.engines}
        upstreams = {}
        for index, (upstream_id, view) in enumerate(self.view.upstreams.items()):
            model = upstream_id.partition("/")[2].rpartition("-")[0]
            upstreams[upstream_id] = BenchUpstream(
                self.loop, view, self.view, spec=specs[model], random_state=seed * 100 + index
            )
        return upstreams

    def _make_entry(self, index: int, router: str, seed: int) -> BenchEntry:
        domain = self.deployment.domains[index % len(self.deployment.domains)]
        return BenchEntry(
            self.loop,
            self.view,
            self.upstreams,
            node_id=f"e{index}",
            domain=f"{self.deployment.member}/{domain}",
            region=self.deployment.region,
            router=router,
            random_state=seed * 100 + 50 + index,
            quota_share=1.0 / N_ENTRIES,
        )

    def _send_load_report(self, upstream: BenchUpstream) -> None:
        self.loop.call_after(REPORT_INTERVAL_S, self._send_load_report, upstream)
        report = upstream.make_load_report()
        if report is not None:
            for entry in self.entries:
                self.loop.call_after(self.report_lag_s, entry.merge_load_report, report)

    def _schedule_arrival(self, stream: TrafficStream) -> None:
        self.loop.call_after(stream.rng.expovariate(stream.rate_per_s), self._send_request, stream)

    def _send_request(self, stream: TrafficStream) -> None:
        self._schedule_arrival(stream)
        self.n_requests += 1
        traffic, rng = stream.traffic, stream.rng
        name = stream.customer or sample_customer(rng)
        session = f"{name}/{traffic.class_name}/{rng.randrange(N_SESSIONS)}"
        now, member = self.loop.now, self.deployment.member
        req = RequestRow(
            request_id=RequestId(f"r{self.n_requests}"),
            customer_id=CustomerId(f"{member}/{name}"),
            member=member,
            class_name=traffic.class_name,
            kind=traffic.kind,
            priority=traffic.priority,
            arrived_at=now,
            deadline=now + traffic.deadline_s,
            body=b"",
            digest=f"d{self.n_requests}",
            prefix_digest=session,
            version=VersionRef(f"{member}/{traffic.model}@v1"),
            is_repeatable=traffic.kind is not ClassKind.ORDER,
        )
        entry = rng.choice(self.entries)
        entry.admit(req, self._make_prompt(session, traffic), traffic.n_out)

    def _make_prompt(self, session: str, traffic: Traffic) -> str:
        n_prefix = int(PREFIX_SHARE * traffic.n_prompt)
        prefix = self._prefixes.get(session)
        if prefix is None:
            prefix = " ".join(f"{session}{index}" for index in range(n_prefix))
            self._prefixes[session] = prefix
        n_suffix = traffic.n_prompt - n_prefix
        suffix = " ".join(f"{self.n_requests}x{index}" for index in range(n_suffix))
        return f"{prefix} {suffix}"


def _set_document(upstream: BenchUpstream, view: DocumentView) -> None:
    upstream.document = view


def set_domain_state(
    document: Document, deployment: Deployment, domain: str, state: DomainState
) -> Document:
    """Return a copy of a document with the given state of a failure domain."""
    section = document.members[deployment.member]
    cfg = structs.replace(section.domains[domain], state=state)
    section = structs.replace(section, domains=section.domains | {domain: cfg})
    return structs.replace(document, members=document.members | {deployment.member: section})
