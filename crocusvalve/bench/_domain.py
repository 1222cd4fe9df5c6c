"""Experiment ``domain``: success and latency around the outage of a failure domain.

Operators take the domain out of service, its VMs are lost, and operators put it back in service.
"""

from crocusvalve.base import ClassKind, DomainId, DomainState, ExecutionStatus
from crocusvalve.bench._cluster import START_S, Cluster
from crocusvalve.bench._deployments import DEPLOYMENTS
from crocusvalve.bench._report import BenchTable, Progress, compute_percentile

__all__ = ["run_domain", "run_domain_case"]

#: Routing policy, and whether the operators' revision is published to entries and agents.
VARIANTS = {
    "expected_wait, told": ("expected_wait", True),
    "expected_wait, not told": ("expected_wait", False),
    "least_in_flight, not told": ("least_in_flight", False),
    "random, not told": ("random", False),
}
#: Bounds of each phase by arrival of the requests, in seconds since the start.
PHASES = {"before": (30.0, 60.0), "out": (60.0, 120.0), "back": (120.0, 180.0)}
#: Time at which operators take the domain out of service, in seconds since the start.
OUT_AT_S = 60.0
#: Delay between the operators' command and the loss of the domain's VMs.
VM_LOSS_DELAY_S = 12.0
#: Time at which operators put the domain back in service, in seconds since the start.
BACK_AT_S = 120.0
END_S = 200.0
#: Bounds of the time that an entry or agent takes to apply a revision.
APPLY_DELAYS_S = (0.05, 1.0)
#: Time after the operators' command past which the domain must receive no new attempts.
PLACEMENT_BOUND_S = 2.0


def run_domain_case(size: str, variant: str, seed: int, *, end_s: float = END_S) -> Cluster:
    """Run one variant until ``end_s`` seconds after its start."""
    router, is_published = VARIANTS[variant]
    deployment = DEPLOYMENTS[size]
    domain = deployment.domains[0]
    cluster = Cluster(deployment, router=router, seed=seed, has_quotas=False)
    loop = cluster.loop
    if is_published:
        loop.call_at(
            START_S + OUT_AT_S,
            cluster.publish_domain_state,
            domain,
            DomainState.OUT,
            APPLY_DELAYS_S,
        )
        loop.call_at(
            START_S + BACK_AT_S,
            cluster.publish_domain_state,
            domain,
            DomainState.IN,
            APPLY_DELAYS_S,
        )
    for upstream in cluster.list_upstreams(domain):
        loop.call_at(START_S + OUT_AT_S + VM_LOSS_DELAY_S, upstream.simulate_vm_loss)
        loop.call_at(START_S + BACK_AT_S, upstream.simulate_vm_return)
    cluster.run_until(end_s)
    return cluster


def count_late_placements(cluster: Cluster) -> int:
    """Count the attempts sent to the domain after ``PLACEMENT_BOUND_S`` and before its return."""
    ref = DomainId(f"{cluster.deployment.member}/{cluster.deployment.domains[0]}")
    first, last = START_S + OUT_AT_S + PLACEMENT_BOUND_S, START_S + BACK_AT_S
    return sum(
        domain == ref and first < placed_at < last
        for entry in cluster.entries
        for placed_at, domain in entry.placements
    )


def run_domain(seed: int, sizes: tuple[str, ...]) -> list[BenchTable]:
    """Compare success and latency by class before, during and after the outage of a domain."""
    table = BenchTable(
        name="domain",
        seed=seed,
        columns=(
            "size",
            "class",
            "phase",
            "variant",
            "success",
            "p50 s",
            "p99 s",
            "refused",
            "unknown outcome",
            "late placements",
        ),
        plot_y="p99 s",
        plot_group=("size", "class", "phase", "variant"),
    )
    progress = Progress(len(sizes) * len(VARIANTS))
    for size in sizes:
        for variant in VARIANTS:
            cluster = run_domain_case(size, variant, seed)
            _add_rows(table, size, variant, cluster)
            progress.advance(f"domain {size} {variant}")
    phases = list(PHASES)
    table.rows.sort(key=lambda row: (sizes.index(row[0]), row[1], phases.index(row[2])))
    return [table]


def _add_rows(table: BenchTable, size: str, variant: str, cluster: Cluster) -> None:
    n_late = count_late_placements(cluster)
    delay_s = 2 * cluster.deployment.client_delay_s
    for traffic in cluster.deployment.traffic:
        for phase, (first, last) in PHASES.items():
            outcomes = [
                item
                for item in cluster.outcomes
                if item.class_name == traffic.class_name
                and START_S + first <= item.arrived_at < START_S + last
            ]
            answered = [item.latency_s + delay_s for item in outcomes if not item.code]
            is_order = traffic.kind is ClassKind.ORDER
            n_unknown = (
                sum(item.ran is ExecutionStatus.UNKNOWN for item in outcomes) if is_order else 0
            )
            figures = (
                len(answered) / max(1, len(outcomes)),
                compute_percentile(answered, 0.5),
                compute_percentile(answered, 0.99),
                len(outcomes) - len(answered) - n_unknown,
                n_unknown,
                n_late,
            )
            table.rows.append((size, traffic.class_name, phase, variant, *figures))
