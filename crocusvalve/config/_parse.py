"""Parsing of a document from TOML."""

from msgspec import Struct

from crocusvalve.config._check import list_problems
from crocusvalve.config._document import Document
from crocusvalve.config._problems import Problem
from crocusvalve.config._reader import StructReader, parse_toml
from crocusvalve.exceptions import ConfigError

__all__ = ["parse_document", "read_document"]


def parse_document(toml_text: str, *, source: str) -> Document:
    """Parse and validate a document.

    Parameters
    ----------
    toml_text : str
        Contents of the file.
    source : str
        Name of the file, for error messages.

    Returns
    -------
    Document
        A valid document.

    Raises
    ------
    ConfigError
        With one entry in ``problems`` per problem: file, key, value and allowed range.
    """
    parsed = _parse_unchecked(toml_text, source)
    found = list(parsed.problems)
    known = {problem.key for problem in found}
    found += [problem for problem in list_problems(parsed.document) if problem.key not in known]
    _raise_problems(source, found)
    return parsed.document


def read_document(toml_text: str, *, source: str) -> Document:
    """Parse a document without validating its values and references.

    For a document that contains only some of the sections, whose references may not resolve.

    Raises
    ------
    ConfigError
        With one entry in ``problems`` per syntax error, unknown or missing key, or wrong type.
    """
    parsed = _parse_unchecked(toml_text, source)
    _raise_problems(source, parsed.problems)
    return parsed.document


class _ParsedDocument(Struct, frozen=True):
    """A document and the problems of syntax, keys and types found while parsing it."""

    document: Document
    problems: list[Problem]


def _parse_unchecked(toml_text: str, source: str) -> _ParsedDocument:
    raw, problems = parse_toml(toml_text)
    _raise_problems(source, problems)
    reader = StructReader()
    document = reader.read(raw, Document)
    return _ParsedDocument(document, reader.problems)


def _raise_problems(source: str, problems: list[Problem]) -> None:
    if problems:
        raise ConfigError([f"{source}: {problem}" for problem in problems], step="parse")
