"""Reading of a document from TOML."""

from crocusvalve.config._check import list_problems
from crocusvalve.config._document import Document
from crocusvalve.config._reader import StructReader, parse_toml
from crocusvalve.exceptions import ConfigError

__all__ = ["parse_document"]


def parse_document(toml_text: str, *, source: str) -> Document:
    """Read and check a document.

    Parameters
    ----------
    toml_text : str
        The text of the file.
    source : str
        Name of the file, for messages.

    Returns
    -------
    Document
        A checked document.

    Raises
    ------
    ConfigError
        With one entry in ``problems`` for each fault, naming file, key, value and allowed range.
    """
    raw, problems = parse_toml(toml_text)
    if problems:
        raise ConfigError([f"{source}: {problem}" for problem in problems], step="parse")
    reader = StructReader()
    document = reader.read(raw, Document)
    found = list(reader.problems)
    known = {problem.key for problem in found}
    found += [problem for problem in list_problems(document) if problem.key not in known]
    if found:
        raise ConfigError([f"{source}: {problem}" for problem in found], step="parse")
    return document
