"""Options shared by the operators' commands."""

import os
import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from crocusvalve.admin import AdminClient
from crocusvalve.config import Problem, is_http_url
from crocusvalve.exceptions import ConfigError
from crocusvalve.security import HTTP_ALPN, make_client_tls

__all__ = ["AdminOptions", "JsonFlag", "OptionsError", "open_client", "read_key"]

URL_VARIABLE = "CROCUSVALVE_ADMIN_URL"
KEY_VARIABLE = "CROCUSVALVE_ADMIN_KEY"


class OptionsError(ConfigError):
    """An option is missing or invalid."""

    def __init__(self, problems: list[str]):
        super().__init__(problems, step="options")


JsonFlag = Annotated[bool, Parameter(name="--json", help="Print JSON.")]


@Parameter(name="*")
@dataclass(frozen=True)
class AdminOptions:
    """Addresses of the entries, the operator's key and options of the connection."""

    url: Annotated[
        list[str] | None,
        Parameter(
            env_var=URL_VARIABLE,
            help="Base URL of an entry; give several to try the next one if one is down.",
        ),
    ] = None
    key_file: Annotated[
        str, Parameter(help=f"File with the operator's key, instead of {KEY_VARIABLE}.")
    ] = ""
    ca: Annotated[
        str, Parameter(help="PEM file of the authorities that issue the entry's certificate.")
    ] = ""
    timeout_s: Annotated[float, Parameter(help="Timeout of each step of a call, in seconds.")] = 10
    json: JsonFlag = False


def open_client(options: AdminOptions, *, key: str = "") -> AdminClient:
    """Make a client of the operators' API from the options.

    Parameters
    ----------
    options : AdminOptions
        Options of the command.
    key : str
        Operator's key; if empty, it is read from the key file or the environment.

    Raises
    ------
    OptionsError
        If a URL, the key, the authorities or the timeout is missing or invalid.
    """
    urls = [part for text in options.url or [] for part in text.split(",")]
    problems = [
        str(Problem("--url", repr(url), "an http or https URL with a host"))
        for url in urls
        if not is_http_url(url)
    ]
    if not urls:
        problems.append(str(Problem("--url", "(missing)", f"given, or {URL_VARIABLE} set")))
    if not 0 < options.timeout_s <= 600:
        problems.append(str(Problem("--timeout-s", str(options.timeout_s), "in (0, 600] seconds")))
    if problems:
        raise OptionsError(problems)
    key = key or read_key(options.key_file, KEY_VARIABLE)
    tls = None
    if options.ca:
        tls = _make_tls(options.ca)
    return AdminClient(urls, key, timeout_s=options.timeout_s, tls=tls)


def read_key(path: str, variable: str) -> str:
    """Return the key from a file or an environment variable; it is never taken from an argument.

    Raises
    ------
    OptionsError
        If there is no key, or the file can't be read.
    """
    if path:
        try:
            key = Path(path).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError) as exc:
            problem = Problem("--key-file", repr(path), "the path of a readable file")
            raise OptionsError([str(problem)]) from exc
    else:
        key = os.environ.get(variable, "")
    if not key:
        problem = Problem("--key-file", "(missing)", f"given, or {variable} set")
        raise OptionsError([str(problem)])
    return key


def _make_tls(ca: str) -> ssl.SSLContext:
    try:
        return make_client_tls(ca, alpn=HTTP_ALPN)
    except OSError as exc:
        problem = Problem("--ca", repr(ca), "the path of a PEM file")
        raise OptionsError([str(problem)]) from exc
