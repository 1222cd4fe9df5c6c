"""Timeline of one request, reconstructed from the logs of gateways and entries."""

import re
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from pathlib import Path

import msgspec
from msgspec import Struct, field, structs

from crocusvalve.cli._options import JsonFlag
from crocusvalve.cli._output import print_result
from crocusvalve.exceptions import CrocusvalveError, ErrorCode

__all__ = ["TimelineEntry", "explain", "read_log", "read_timeline"]

STEP = "explain"
#: Events up to this long before a request's end may explain its outcome; requests take up to 30 s.
WINDOW = timedelta(seconds=60)
#: An upstream's name in a log line: it consists of letters, digits and a dash or slash.
NAME_PATTERN = re.compile(r"(?=[\w/-]*\d)(?=\w*[/-])[a-zA-Z][\w/-]+")


class TimelineEntry(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A log line in the timeline of a request.

    ``n_others`` is the number of other processes that logged the same message and fields.
    """

    time: str
    file: str
    level: str = ""
    message: str
    request_id: str = ""
    class_name: str = field(default="", name="class")
    step: str = ""
    peer: str = ""
    fields: dict = {}
    n_others: int = 0


def explain(request_id: str, *files: str, json: JsonFlag = False) -> None:
    """Print the timeline of a request from logs, in order of time.

    Examples
    --------
    crocusvalve explain 9f9bc7df040f74cc gateway-1.log gateway-2.log

    Parameters
    ----------
    request_id
        Id of the request, as in the caller's response and in the logs.
    files
        Log files of any number of processes; lines that aren't log lines are skipped.
    """
    timeline = read_timeline(request_id, [Path(name) for name in files])
    print_result(timeline, [format_line(line) for line in timeline], as_json=json)


def read_timeline(request_id: str, paths: Iterable[Path]) -> list[TimelineEntry]:
    """Return the log lines of a request and those that may explain its outcome.

    The latter are, within the minute before the request's last line:

    - lines about the upstreams that the request's lines name, each once however many processes
      logged it;
    - lines that name no upstream, from the gateways that handled the request: about the gateway
      itself, the store, the configuration and the failure domains.

    Raises
    ------
    CrocusvalveError
        ``BAD_REQUEST`` if a file can't be read, ``UNKNOWN_REQUEST`` if no line is about the
        request.
    """
    lines = [line for path in paths for line in read_log(path)]
    request_lines = [line for line in lines if line.request_id == request_id]
    if not request_lines:
        message = f"the logs contain no line about request {request_id}"
        raise CrocusvalveError(ErrorCode.UNKNOWN_REQUEST, message, step=STEP)
    names = {name for line in request_lines for name in _list_upstream_names(line)}
    files = {line.file for line in request_lines}
    ends_at = max(line.time for line in request_lines)
    since = (datetime.fromisoformat(ends_at) - WINDOW).isoformat(timespec="milliseconds")
    context_lines = []
    for line in lines:
        if line.request_id or not since <= line.time <= ends_at:
            continue
        named = set(_find_upstream_names(line.message))
        if names & named or (line.file in files and not named):
            context_lines.append(line)
    return sorted(
        request_lines + _merge_equal_lines(context_lines, files), key=lambda line: line.time
    )


def _merge_equal_lines(lines: list[TimelineEntry], files: set[str]) -> list[TimelineEntry]:
    """Return all lines of ``files``, and once each line that only other files contain."""
    selected = [line for line in lines if line.file in files]
    other_lines: dict[str, list[TimelineEntry]] = {}
    for line in lines:
        if line.file not in files:
            other_lines.setdefault(_make_line_key(line), []).append(line)
    selected_keys = {_make_line_key(line) for line in selected}
    distinct = selected + [
        equal[0] for key, equal in other_lines.items() if key not in selected_keys
    ]
    merged = []
    for line in distinct:
        writers = {other.file for other in other_lines.get(_make_line_key(line), ())} - {line.file}
        merged.append(structs.replace(line, n_others=len(writers)))
    return merged


def _make_line_key(line: TimelineEntry) -> str:
    return f"{line.message} {line.fields}"


def format_line(line: TimelineEntry) -> str:
    """Return a timeline entry as one line of text."""
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if value != "")
    file = f"{line.file} and {line.n_others} others" if line.n_others else line.file
    parts = [line.time, file, line.message, line.step, line.peer, fields]
    return "  ".join(part for part in parts if part)


def read_log(path: Path) -> Iterator[TimelineEntry]:
    """Return the log lines of a file; other lines are skipped.

    Raises
    ------
    CrocusvalveError
        ``BAD_REQUEST`` if the file can't be read.
    """
    try:
        text = path.read_text(encoding="utf-8", errors="replace")
    except OSError as exc:
        message = f"{path.name} can't be read: {exc.strerror}"
        raise CrocusvalveError(ErrorCode.BAD_REQUEST, message, step=STEP) from exc
    for line in text.splitlines():
        start = line.find("{")
        if start < 0:
            continue
        try:
            entry = msgspec.json.decode(line[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(entry, dict) and "time" in entry and "message" in entry:
            prefix = line[:start].split()
            file = prefix[-1] if prefix else path.name
            known = {
                key: entry[key] for key in TimelineEntry.__struct_encode_fields__ if key in entry
            }
            yield msgspec.convert(known | {"file": file}, TimelineEntry)


def _list_upstream_names(line: TimelineEntry) -> Iterator[str]:
    for value in (line.fields.get("upstream"), *line.fields.get("notes", ())):
        yield from _find_upstream_names(str(value))


def _find_upstream_names(text: str) -> list[str]:
    return NAME_PATTERN.findall(text)
