"""Summary of how requests ended, from the logs of gateways: where callers lost service, and why."""

import re
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

from msgspec import Struct, field

from crocusvalve.cli._causes import CauseRow, list_causes, plot_causes
from crocusvalve.cli._explain import TimelineEntry, read_log
from crocusvalve.cli._options import JsonFlag
from crocusvalve.cli._output import print_result

__all__ = ["RouteSummary", "summarize", "summarize_lines"]

END_MESSAGE = "request ended: "
REFUSED_MESSAGE = "request refused: "
#: Route of requests that were refused before their route was known.
NO_ROUTE = "-"
#: Numbers and names of upstreams and models differ from note to note.
NUMBER_PATTERN = re.compile(r"\d+(\.\d+)?")
NAME_PATTERN = re.compile(r"^[^\s:]+:")
MAX_NOTES = 6


class RouteSummary(Struct, kw_only=True):
    """Requests of one route in a set of logs.

    Attributes
    ----------
    ends : dict of str to int
        Number of requests by how they ended; refusals and failures with their code.
    events : dict of str to int
        Number of requests by what happened to their attempts, the most frequent first.
    causes : list of CauseRow
        Requests that weren't answered in time, by cause.
    first_event_ms : list of int
        Median and 90th percentile of the time to the first event, or to a plain answer.
    n_attempts : int
        Attempts of all requests.
    """

    route: str
    n_requests: int = 0
    ends: dict[str, int] = field(default_factory=dict)
    events: dict[str, int] = field(default_factory=dict)
    causes: list[CauseRow] = field(default_factory=list)
    first_event_ms: list[int] = field(default_factory=list)
    n_attempts: int = 0


def summarize(
    *files: str, since: str = "", until: str = "", plot: str = "", json: JsonFlag = False
) -> None:
    """Print how requests ended, and why not in time, by route, from the logs of gateways.

    Gateways limit their log lines, so the counts may be lower than those of the metrics.

    Examples
    --------
    crocusvalve summarize gateway-1.log gateway-2.log --since 2026-05-25T04:12

    Parameters
    ----------
    files
        Log files; lines that aren't log lines are skipped.
    since, until
        First time, and the time before which lines are considered, as in the logs; empty for all.
    plot
        File for a plot of the causes over time; empty for none.
    """
    lines = [
        line
        for name in files
        for line in read_log(Path(name))
        if line.time >= since and (not until or line.time < until)
    ]
    rows = summarize_lines(lines)
    if plot:
        plot_causes([cause for row in rows for cause in row.causes], Path(plot))
    print_result(rows, [text for row in rows for text in format_route(row)], as_json=json)


def summarize_lines(lines: Iterable[TimelineEntry]) -> list[RouteSummary]:
    """Return the summary of each route, the one with the most requests first."""
    rows: dict[str, RouteSummary] = {}
    ends: dict[str, Counter[str]] = {}
    events: dict[str, Counter[str]] = {}
    times: dict[str, list[int]] = {}
    lines = list(lines)
    for line in lines:
        end = find_end(line)
        if end is None:
            continue
        route = line.class_name or NO_ROUTE
        row = rows.setdefault(route, RouteSummary(route=route))
        row.n_requests += 1
        row.n_attempts += line.fields.get("attempts", 0)
        ends.setdefault(route, Counter())[end] += 1
        events.setdefault(route, Counter()).update(list_events(line))
        first_ms = find_first_event_ms(line)
        if first_ms is not None:
            times.setdefault(route, []).append(first_ms)
    for cause in list_causes(lines):
        rows[cause.route or NO_ROUTE].causes.append(cause)
    for route, row in rows.items():
        row.ends = dict(ends[route].most_common())
        row.events = dict(events[route].most_common(MAX_NOTES))
        row.first_event_ms = compute_percentiles(times.get(route, []))
    return sorted(rows.values(), key=lambda row: (-row.n_requests, row.route))


def find_end(line: TimelineEntry) -> str | None:
    """Return how a request ended, with an error's code; None if the line isn't about an end."""
    if line.message.startswith(REFUSED_MESSAGE):
        return f"refused {line.fields.get('code', '')}"
    if not line.message.startswith(END_MESSAGE):
        return None
    end = line.message.removeprefix(END_MESSAGE)
    code = line.fields.get("code", "")
    return f"{end} {code}" if code else end


def list_events(line: TimelineEntry) -> set[str]:
    """Return what happened to the attempts of a request, without numbers and names."""
    notes = (NAME_PATTERN.sub("", str(note)) for note in line.fields.get("notes", ()))
    events = {NUMBER_PATTERN.sub("N", note) for note in notes}
    if line.fields.get("waited_ms"):
        events.add("waited for an upstream")
    return events


def find_first_event_ms(line: TimelineEntry) -> int | None:
    """Return the time to the first event, or that to the complete plain answer."""
    if line.message != END_MESSAGE + "answered":
        return None
    first_ms = line.fields.get("first_event_ms")
    return line.fields.get("elapsed_ms") if first_ms is None else first_ms


def compute_percentiles(values: list[int]) -> list[int]:
    """Return the median and the 90th percentile; empty without values."""
    ordered = sorted(values)
    return [ordered[int(share * (len(ordered) - 1))] for share in (0.5, 0.9)] if ordered else []


def format_route(row: RouteSummary) -> list[str]:
    """Return the lines of text for a route."""
    p50_ms, p90_ms = row.first_event_ms or (None, None)
    lines = [
        f"route {row.route}: {row.n_requests} requests, {row.n_attempts} attempts, "
        f"first event {p50_ms} ms (median), {p90_ms} ms (90 in 100)"
    ]
    lines += [f"  {count:6}  {end}" for end, count in row.ends.items()]
    lines += [f"  {count:6}  of these: {event}" for event, count in row.events.items()]
    for cause in row.causes:
        late = "" if cause.late_ms is None else f", late by {cause.late_ms} ms (mean)"
        lines.append(f"  {cause.n_requests:6}  not in time: {cause.cause}{late}")
    return lines
