"""Experiment ``latency``: latency by class under cold upstreams, late reports and heavy load."""

import random

from crocusvalve.base import CustomerId
from crocusvalve.bench._cluster import START_S, Cluster
from crocusvalve.bench._deployments import DEPLOYMENTS
from crocusvalve.bench._entry import Outcome
from crocusvalve.bench._report import BenchTable, Progress, compute_percentile

__all__ = ["run_latency"]

ROUTERS = ("expected_wait", "least_in_flight", "random")
#: Disruptions: none; one cold upstream of each model, after the warm-up; late load reports, in the
#: whole run; more traffic of one customer after the warm-up, with and without quotas.
CASES = ("steady", "cold", "lag", "heavy", "heavy, no quota")
WARM_UP_S = 30.0
END_S = 120.0
#: Delay of the load reports in the case ``lag``.
REPORT_LAG_S = 3.0
#: Factor by which the heavy customer's traffic is multiplied.
HEAVY_FACTOR = 5.0
HEAVY_CUSTOMER = "c0"


def run_case(size: str, case: str, router: str, seed: int) -> Cluster:
    """Run one case to its end."""
    deployment = DEPLOYMENTS[size]
    lag_s = REPORT_LAG_S if case == "lag" else 0.3
    has_quotas = "no quota" not in case
    cluster = Cluster(
        deployment, router=router, seed=seed, report_lag_s=lag_s, has_quotas=has_quotas
    )
    if case.startswith("heavy"):
        cluster.scale_customer_traffic(HEAVY_CUSTOMER, HEAVY_FACTOR, WARM_UP_S)
    if case == "cold":
        rng = random.Random(seed)
        for group in deployment.engines:
            index = rng.randrange(group.n_engines)
            ref = f"{deployment.member}/{group.model}-{index}"
            cluster.loop.call_at(START_S + WARM_UP_S, cluster.upstreams[ref].reset_to_cold)
    cluster.run_until(END_S)
    return cluster


def list_measured(cluster: Cluster) -> list[Outcome]:
    """Return the outcomes of requests after the warm-up, except those of the heavy customer."""
    heavy = CustomerId(f"{cluster.deployment.member}/{HEAVY_CUSTOMER}")
    return [
        outcome
        for outcome in cluster.outcomes
        if outcome.arrived_at >= START_S + WARM_UP_S and outcome.customer_id != heavy
    ]


def run_latency(seed: int, sizes: tuple[str, ...]) -> list[BenchTable]:
    """Compare routing policies by the latency of all customers but the heavy one."""
    table = BenchTable(
        name="latency",
        seed=seed,
        columns=(
            "size",
            "case",
            "class",
            "router",
            "p50 s",
            "p95 s",
            "p99 s",
            "p99 / steady",
            "answered",
        ),
        plot_y="p99 s",
        plot_group=("size", "case", "class", "router"),
    )
    steady: dict[tuple, float] = {}
    progress = Progress(len(sizes) * len(CASES) * len(ROUTERS))
    for size in sizes:
        for case in CASES:
            for router in ROUTERS:
                cluster = run_case(size, case, router, seed)
                for traffic in DEPLOYMENTS[size].traffic:
                    key = (size, traffic.class_name, router)
                    cells = _summarise(cluster, traffic.class_name)
                    steady.setdefault(key, cells[2])
                    cells = (*cells[:3], cells[2] / steady[key], cells[3])
                    table.rows.append((size, case, traffic.class_name, router, *cells))
                progress.advance(f"latency {size} {case} {router}")
    table.rows.sort(key=lambda row: (sizes.index(row[0]), CASES.index(row[1]), row[2]))
    return [table]


def _summarise(cluster: Cluster, class_name: str) -> tuple:
    delay_s = 2 * cluster.deployment.client_delay_s
    outcomes = [item for item in list_measured(cluster) if item.class_name == class_name]
    answered = [item.latency_s + delay_s for item in outcomes if not item.code]
    percentiles = (compute_percentile(answered, share) for share in (0.5, 0.95, 0.99))
    return (*percentiles, f"{len(answered)}/{len(outcomes)}")
