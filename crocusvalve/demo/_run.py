"""Implementation of ``crocusvalve demo``: starts a cluster, makes calls and prints a table."""

import logging
import sys
import time

import httpx
import trio
from rich.console import Console
from rich.table import Table

from crocusvalve.billing import UsageReport
from crocusvalve.demo._calls import DemoRow, list_calls, make_call
from crocusvalve.demo._cluster import DemoCluster, DemoSpec, load_example
from crocusvalve.demo._keys import make_customer_key, make_operator_key
from crocusvalve.rpc import BillRecord
from crocusvalve.utils import run_until_signal

__all__ = ["run_demo"]

TABLE_WIDTH = 190
POLL_INTERVAL_S = 0.05
COLUMNS = (
    "request",
    "customer",
    "class",
    "model",
    "version",
    "upstream",
    "attempts",
    "latency ms",
    "cost",
    "billed",
)


def run_demo(hold: bool = False, port: int = 0) -> int:
    """Run the demo.

    Parameters
    ----------
    hold : bool
        Whether to keep serving until SIGTERM or SIGINT instead of making the calls.
    port : int
        Port of the callers' API; 0 picks a free port.

    Returns
    -------
    int
        Exit code: 0 if every call was answered and billed exactly once, else 1.
    """
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
    demo = _Demo(hold, port)
    trio.run(run_until_signal, demo.run)
    return demo.exit_code


class _Demo:
    """One run of the demo and its exit code."""

    def __init__(self, hold: bool, port: int):
        self.hold = hold
        self.cluster = DemoCluster(load_example(), spec=DemoSpec(http_port=port))
        self.exit_code = 0

    async def run(self, *, stop: trio.Event) -> None:
        """Start the cluster, make the calls or wait for ``stop``, then shut the cluster down."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.cluster.run, stop)
            if self.hold:
                _print_access(self.cluster)
                await stop.wait()
            else:
                self.exit_code = await _make_calls(self.cluster)
            stop.set()


def _print_access(cluster: DemoCluster) -> None:
    member, section = next(iter(cluster.document.members.items()))
    customer = next(iter(section.customers))
    operator = next(iter(section.operators))
    print(f"URL:           {cluster.url}")
    print(f"caller's key:  {make_customer_key(member, customer)}  ({member}/{customer})")
    print(f"operator's key: {make_operator_key(member, operator)}  ({member}/{operator})")
    print("stop with SIGTERM or SIGINT", flush=True)


async def _make_calls(cluster: DemoCluster) -> int:
    rows = []
    async with httpx.AsyncClient(base_url=cluster.url, trust_env=False) as client:
        for call in list_calls(cluster.document):
            rows.append(await make_call(client, call, lambda: time.monotonic() * 1000.0))
    await _add_bills(cluster, rows)
    _print_table(rows)
    n_bad = sum(not row.is_good for row in rows)
    print(f"{len(rows) - n_bad} of {len(rows)} calls answered and billed once")
    return 1 if n_bad else 0


async def _add_bills(cluster: DemoCluster, rows: list[DemoRow]) -> None:
    """Wait until the bills are flushed, then add the billing data of each call to its row."""
    while len(cluster.entries[0].outbox):
        await trio.sleep(POLL_INTERVAL_S)
    bills: dict[str, list[BillRecord]] = {}
    async for bill in UsageReport(cluster.platform).list_bills(""):
        bills.setdefault(bill.request_id, []).append(bill)
    for row in rows:
        found = bills.get(row.request, [])
        row.billed = len(found) == 1
        if found:
            row.cost = found[0].cost
            row.upstream = row.upstream or found[0].upstream_id
            row.attempts = row.attempts or str(found[0].n_attempts)


def _print_table(rows: list[DemoRow]) -> None:
    table = Table(*COLUMNS)
    for row in rows:
        table.add_row(
            row.request,
            row.customer,
            row.class_name,
            row.model,
            row.version,
            row.upstream,
            row.attempts,
            f"{row.latency_ms:.1f}",
            f"{row.cost:.6f}",
            "once" if row.billed else "NO",
        )
    Console(width=TABLE_WIDTH).print(table)
