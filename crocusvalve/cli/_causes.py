"""Causes for which requests weren't answered within their goal, from the lines at their ends."""

import re
from collections import Counter
from collections.abc import Iterable
from datetime import datetime
from enum import Enum
from pathlib import Path

from msgspec import Struct, field

from crocusvalve.cli._explain import TimelineEntry

__all__ = ["CauseRow", "LateCause", "find_cause", "list_causes", "plot_causes"]

ANSWERED = "request ended: answered"
ENDED_PREFIX = "request ended: "
#: Note of an attempt whose answer was given up for a larger model's.
SMALLER_PATTERN = re.compile(r":confidence \d+ after ([\d.]+) s$")
#: Seconds of one bar of the plot.
PLOT_STEP_S = 2


class LateCause(Enum):
    """What took most of the time to a late answer's first event."""

    WAITED = "waited for an upstream"
    SMALLER_MODEL = "a smaller model was asked first"
    ATTEMPTS = "attempts lost, silent or rejected"
    READING = "reading expected to take so long"
    QUEUE = "queue at the upstream longer than expected"


class CauseRow(Struct, kw_only=True):
    """Requests of one route that weren't answered in time for the same cause.

    Attributes
    ----------
    cause : str
        ``LateCause`` of a late answer; else how the request ended, with an error's code.
    late_ms : int or None
        Mean time beyond the goal of late answers, in milliseconds; None for other ends.
    """

    route: str
    cause: str
    n_requests: int = 0
    late_ms: int | None = None
    times: list[str] = field(default_factory=list)


def find_cause(line: TimelineEntry) -> tuple[str, int | None] | None:
    """Return why a request wasn't answered in time, and by how many milliseconds it was late.

    None for an answer within its goal, for a line without a goal, and for other lines.
    """
    fields = line.fields
    goal_ms = fields.get("goal_ms")
    if goal_ms is None or not line.message.startswith(ENDED_PREFIX):
        return None
    if line.message != ANSWERED:
        return f"{line.message.removeprefix(ENDED_PREFIX)} {fields.get('code', '')}".strip(), None
    first_ms = fields.get("first_event_ms")
    first_ms = fields["elapsed_ms"] if first_ms is None else first_ms
    if first_ms <= goal_ms:
        return None
    parts = _split_time(fields, first_ms)
    return max(parts, key=parts.__getitem__).value, first_ms - goal_ms


def _split_time(fields: dict, first_ms: int) -> dict[LateCause, float]:
    """Return the parts of the time to the first event in milliseconds, which add up to it."""
    waited_ms = fields.get("waited_ms", 0)
    smaller_ms = sum(
        1000 * float(found[1])
        for note in fields.get("notes", ())
        if (found := SMALLER_PATTERN.search(note))
    )
    sent_ms = fields.get("sent_ms") or 0
    upstream_ms = max(0, first_ms - sent_ms)
    expected_ms = min(upstream_ms, fields.get("expected_ms") or 0)
    return {
        LateCause.WAITED: waited_ms,
        LateCause.SMALLER_MODEL: smaller_ms,
        LateCause.ATTEMPTS: max(0, sent_ms - waited_ms - smaller_ms),
        LateCause.READING: expected_ms,
        LateCause.QUEUE: upstream_ms - expected_ms,
    }


def list_causes(lines: Iterable[TimelineEntry]) -> list[CauseRow]:
    """Return the causes by route, the one with the most requests first.

    The numbers add up to the requests that weren't answered in time.
    """
    rows: dict[tuple[str, str], CauseRow] = {}
    total_ms: Counter[tuple[str, str]] = Counter()
    for line in lines:
        found = find_cause(line)
        if found is None:
            continue
        cause, late_ms = found
        key = line.class_name, cause
        row = rows.setdefault(key, CauseRow(route=line.class_name, cause=cause))
        row.n_requests += 1
        row.times.append(line.time)
        if late_ms is not None:
            total_ms[key] += late_ms
            row.late_ms = round(total_ms[key] / row.n_requests)
    return sorted(rows.values(), key=lambda row: (-row.n_requests, row.route, row.cause))


def plot_causes(rows: Iterable[CauseRow], path: Path) -> None:
    """Write a plot of the causes over time: requests by the second at which they ended."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    ends: dict[str, list[float]] = {}
    for row in rows:
        times = [datetime.fromisoformat(time).timestamp() for time in row.times]
        ends.setdefault(row.cause, []).extend(times)
    if not ends:
        return
    start = min(min(times) for times in ends.values())
    n_bars = 1 + int((max(max(times) for times in ends.values()) - start) // PLOT_STEP_S)
    figure, axes = pyplot.subplots(figsize=(10, 4))
    axes.hist(
        [[time - start for time in times] for times in ends.values()],
        bins=[PLOT_STEP_S * n for n in range(n_bars + 1)],
        stacked=True,
        label=list(ends),
    )
    axes.set_xlabel("seconds since the first of them")
    axes.set_ylabel(f"requests not answered in time, by {PLOT_STEP_S} s")
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
