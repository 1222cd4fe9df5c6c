"""Story of one request from the logs of gateways and entries."""

import re
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from pathlib import Path

import msgspec
from msgspec import Struct, structs

from crocusvalve.cli._options import JsonFlag
from crocusvalve.cli._output import print_result
from crocusvalve.exceptions import CrocusvalveError, ErrorCode

__all__ = ["StoryLine", "explain", "read_story"]

STEP = "explain"
#: What happened this long before a request's end may tell its cause; requests last up to 30 s.
WINDOW = timedelta(seconds=60)
#: An upstream's name in the notes of a request: it has letters, digits and a dash or slash.
NAME_PATTERN = re.compile(r"(?=[\w/-]*\d)(?=\w*[/-])[a-zA-Z][\w/-]+")


class StoryLine(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A line of a log that belongs to a request's story.

    ``n_others`` is the number of other processes that wrote the same.
    """

    time: str
    file: str
    level: str = ""
    message: str
    request_id: str = ""
    step: str = ""
    peer: str = ""
    fields: dict = {}
    n_others: int = 0


def explain(request_id: str, *files: str, json: JsonFlag = False) -> None:
    """Print the story of a request from logs, in order of time.

    Examples
    --------
    crocusvalve explain 9f9bc7df040f74cc gateway-1.log gateway-2.log

    Parameters
    ----------
    request_id
        Id of the request, as the caller and the logs have it.
    files
        Logs of any number of processes; lines that are no log lines are passed over.
    """
    story = read_story(request_id, [Path(name) for name in files])
    print_result(story, [format_line(line) for line in story], as_json=json)


def read_story(request_id: str, paths: Iterable[Path]) -> list[StoryLine]:
    """Return the lines about a request and those that may tell its cause.

    These are, within a minute before its end, those about the upstreams that it names, each once
    however many processes wrote it, and those of its own gateways about themselves, the store, the
    configuration and the failure domains.

    Raises
    ------
    CrocusvalveError
        ``BAD_REQUEST`` where a file can't be read, ``UNKNOWN_REQUEST`` where no line tells of the
        request.
    """
    lines = [line for path in paths for line in _read_lines(path)]
    own = [line for line in lines if line.request_id == request_id]
    if not own:
        message = f"no line of the logs tells of request {request_id}"
        raise CrocusvalveError(ErrorCode.UNKNOWN_REQUEST, message, step=STEP)
    names = {name for line in own for name in _list_names(line)}
    files = {line.file for line in own}
    ends_at = max(line.time for line in own)
    since = (datetime.fromisoformat(ends_at) - WINDOW).isoformat(timespec="milliseconds")
    around = []
    for line in lines:
        if line.request_id or not since <= line.time <= ends_at:
            continue
        named = set(_split(line.message))
        if names & named or (line.file in files and not named):
            around.append(line)
    return sorted(own + _merge_equal(around, files), key=lambda line: line.time)


def _merge_equal(lines: list[StoryLine], files: set[str]) -> list[StoryLine]:
    """Keep all lines of some files, and one of those that other processes wrote alike."""
    own = [line for line in lines if line.file in files]
    others: dict[str, list[StoryLine]] = {}
    for line in lines:
        if line.file not in files:
            others.setdefault(_make_key(line), []).append(line)
    told = {_make_key(line) for line in own}
    kept = own + [alike[0] for key, alike in others.items() if key not in told]
    merged = []
    for line in kept:
        writers = {other.file for other in others.get(_make_key(line), ())} - {line.file}
        merged.append(structs.replace(line, n_others=len(writers)))
    return merged


def _make_key(line: StoryLine) -> str:
    return f"{line.message} {line.fields}"


def format_line(line: StoryLine) -> str:
    """Return a line for a person."""
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if value != "")
    file = f"{line.file} and {line.n_others} others" if line.n_others else line.file
    parts = [line.time, file, line.message, line.step, line.peer, fields]
    return "  ".join(part for part in parts if part)


def _read_lines(path: Path) -> Iterator[StoryLine]:
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
            where = line[:start].split()
            file = where[-1] if where else path.name
            known = {key: entry[key] for key in StoryLine.__struct_fields__ if key in entry}
            yield msgspec.convert(known | {"file": file}, StoryLine)


def _list_names(line: StoryLine) -> Iterator[str]:
    for value in (line.fields.get("upstream"), *line.fields.get("notes", ())):
        yield from _split(str(value))


def _split(text: str) -> list[str]:
    return NAME_PATTERN.findall(text)
