"""The demo command: starts a world, makes the calls, prints the table."""

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
POLL_S = 0.05
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
        Whether to stay up until SIGTERM or SIGINT in place of making the calls.
    port : int
        Port of the callers' API; 0 picks a free one.

    Returns
    -------
    int
        Exit code: 0 where every call was answered and billed once.
    """
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
    demo = _Demo(hold, port)
    trio.run(run_until_signal, demo.run)
    return demo.exit_code


class _Demo:
    """One run of the demo."""

    def __init__(self, hold: bool, port: int):
        self.hold = hold
        self.world = DemoCluster(load_example(), spec=DemoSpec(http_port=port))
        self.exit_code = 0

    async def run(self, *, stop: trio.Event) -> None:
        """Start the world and hold it or make the calls; returns when it has stopped."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.world.run, stop)
            if self.hold:
                _print_access(self.world)
                await stop.wait()
            else:
                self.exit_code = await _make_calls(self.world)
            stop.set()


def _print_access(world: DemoCluster) -> None:
    member, section = next(iter(world.document.members.items()))
    customer = next(iter(section.customers))
    operator = next(iter(section.operators))
    print(f"URL:           {world.url}")
    print(f"caller's key:  {make_customer_key(member, customer)}  ({member}/{customer})")
    print(f"operator's key: {make_operator_key(member, operator)}  ({member}/{operator})")
    print("stop with SIGTERM or SIGINT", flush=True)


async def _make_calls(world: DemoCluster) -> int:
    rows = []
    async with httpx.AsyncClient(base_url=world.url, trust_env=False) as client:
        for call in list_calls(world.document):
            rows.append(await make_call(client, call, lambda: time.monotonic() * 1000.0))
    await _note_bills(world, rows)
    _print_table(rows)
    n_bad = sum(not row.is_good for row in rows)
    print(f"{len(rows) - n_bad} of {len(rows)} calls answered and billed once")
    return 1 if n_bad else 0


async def _note_bills(world: DemoCluster, rows: list[DemoRow]) -> None:
    """Wait until the bills are flushed and look each call's up in the ledger."""
    while len(world.entries[0].outbox):
        await trio.sleep(POLL_S)
    bills: dict[str, list[BillRecord]] = {}
    async for bill in UsageReport(world.platform).list_bills(""):
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
