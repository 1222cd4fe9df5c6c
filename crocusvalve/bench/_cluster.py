"""Entries and upstreams of a deployment in virtual time, with their traffic."""

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
N_SESSIONS = 6
REPORT_S = 1.0
#: Share of a prompt that the requests of a session have in common.
PREFIX_SHARE = 0.6
START_S = 1000.0


class TrafficStream(Struct, frozen=True):
    """Requests of one class, of one customer or of all."""

    traffic: Traffic
    rate_per_s: float
    customer: str
    rng: random.Random


class Cluster:
    """A deployment under traffic.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    router : str
        Name of the routing policy.
    seed : int
        Seed of traffic and policies.
    report_lag_s : float
        Age of a load report when an entry takes it.
    has_quotas : bool
        Whether customers' requests under way are bounded.
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
            self.loop.call_after(REPORT_S * index / len(self.upstreams), self._report, upstream)
        for traffic in deployment.traffic:
            rng = random.Random(f"{seed}/{traffic.class_name}")
            self._plan_arrival(TrafficStream(traffic, traffic.rate_per_s, "", rng))

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
        """Take a failure domain out or in, in force after a random delay everywhere."""
        self.document = set_domain_state(self.document, self.deployment, domain, state)
        self.view = DocumentView(self.document, Revision(self.view.revision + 1))
        for entry in self.entries:
            self.loop.call_after(self.rng.uniform(*delays_s), entry.apply_view, self.view)
        for upstream in self.upstreams.values():
            self.loop.call_after(self.rng.uniform(*delays_s), _set_document, upstream, self.view)

    def scale_customer_traffic(self, customer: str, factor: float, start_s: float) -> None:
        """Multiply the traffic of one customer from a time on; all other traffic stays as it is."""
        share = CUSTOMER_SHARES[int(customer[1:])]
        for traffic in self.deployment.traffic:
            rng = random.Random(f"{self.seed}/{traffic.class_name}/{customer}")
            rate_per_s = traffic.rate_per_s * share * (factor - 1.0)
            stream = TrafficStream(traffic, rate_per_s, customer, rng)
            self.loop.call_at(START_S + start_s, self._plan_arrival, stream)

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

    def _report(self, upstream: BenchUpstream) -> None:
        self.loop.call_after(REPORT_S, self._report, upstream)
        report = upstream.report()
        if report is not None:
            for entry in self.entries:
                self.loop.call_after(self.report_lag_s, entry.merge_load_report, report)

    def _plan_arrival(self, stream: TrafficStream) -> None:
        self.loop.call_after(stream.rng.expovariate(stream.rate_per_s), self._arrive, stream)

    def _arrive(self, stream: TrafficStream) -> None:
        self._plan_arrival(stream)
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
        n_rest = traffic.n_prompt - n_prefix
        rest = " ".join(f"{self.n_requests}x{index}" for index in range(n_rest))
        return f"{prefix} {rest}"


def _set_document(upstream: BenchUpstream, view: DocumentView) -> None:
    upstream.document = view


def set_domain_state(
    document: Document, deployment: Deployment, domain: str, state: DomainState
) -> Document:
    """Return a document in which a failure domain has another state."""
    section = document.members[deployment.member]
    cfg = structs.replace(section.domains[domain], state=state)
    section = structs.replace(section, domains=section.domains | {domain: cfg})
    return structs.replace(document, members=document.members | {deployment.member: section})
