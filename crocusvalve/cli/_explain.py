"""Story of one request from the logs of gateways and entries."""

import re
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec
from msgspec import Struct

from crocusvalve.cli._options import JsonFlag
from crocusvalve.cli._output import print_result
from crocusvalve.exceptions import CrocusvalveError, ErrorCode

__all__ = ["StoryLine", "explain", "read_story"]

STEP = "explain"
#: An upstream's name in the notes of a request: it has letters, digits and a dash or slash.
NAME_PATTERN = re.compile(r"(?=[\w/-]*\d)(?=\w*[/-])[a-zA-Z][\w/-]+")


class StoryLine(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A line of a log that belongs to a request's story."""

    time: str
    file: str
    level: str = ""
    message: str
    request_id: str = ""
    step: str = ""
    peer: str = ""
    fields: dict = {}


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
    """Return the lines about a request and those about the peers that it names.

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
    ends_at = max(line.time for line in own)
    around = [
        line
        for line in lines
        if not line.request_id and line.time <= ends_at and names & set(_split(line.message))
    ]
    return sorted(own + around, key=lambda line: line.time)


def format_line(line: StoryLine) -> str:
    """Return a line for a person."""
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if value != "")
    parts = [line.time, line.file, line.message, line.step, line.peer, fields]
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
