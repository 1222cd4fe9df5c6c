"""Validation of settings beyond the types of their fields."""

import re
from collections.abc import Iterator
from pathlib import Path

from crocusvalve.config import (
    NumberRange,
    Problem,
    is_http_url,
    is_socket_address,
    list_value_problems,
    show_value,
)
from crocusvalve.settings import _settings as st
from crocusvalve.utils.validation import NAME_PATTERN

__all__ = ["list_settings_problems"]

#: A qualified name, ``member/name``.
QUALIFIED_PATTERN = re.compile(f"{NAME_PATTERN.pattern}/{NAME_PATTERN.pattern}")
MIN_KEY_CHARS = 16

#: Port 0 lets the operating system choose a free port.
PORT_RANGE = NumberRange(0, 65535)
#: Allowed ranges by type and field.
NUMBER_RANGES = {
    st.ListenSettings: {"port": PORT_RANGE},
    st.PlatformAccess: {"timeout_s": NumberRange(0.01, 60, "seconds")},
    st.EntrySettings: {
        "drain_s": NumberRange(0, 3600, "seconds"),
        "max_body_bytes": NumberRange(1024, 64 * 2**20, "bytes"),
        "config_poll_s": NumberRange(0.05, 5, "seconds"),
    },
    st.AgentSettings: {
        "drain_s": NumberRange(0, 3600, "seconds"),
        "max_answer_bytes": NumberRange(1024, 256 * 2**20, "bytes"),
    },
    st.PlatformSettings: {
        "drain_s": NumberRange(0, 3600, "seconds"),
        "seed": NumberRange(0, 2**53),
    },
}


def list_settings_problems(settings: st.ProcessSettings) -> list[Problem]:
    """Return the problems of settings whose fields have the declared types.

    Parameters
    ----------
    settings : ProcessSettings
        Settings whose key files have not been read yet.

    Returns
    -------
    list of Problem
        One per problem.
    """
    problems = list(list_value_problems("", settings, NUMBER_RANGES))
    problems += _check_pattern("node_id", settings.node_id, NAME_PATTERN)
    if isinstance(settings, st.EntrySettings):
        problems += _check_entry(settings)
    elif isinstance(settings, st.AgentSettings):
        problems += _check_agent(settings)
    elif isinstance(settings, st.PlatformSettings):
        problems += _check_file("document", settings.document)
    return problems


def _check_entry(settings: st.EntrySettings) -> Iterator[Problem]:
    yield from _check_pattern("region", settings.region, NAME_PATTERN)
    yield from _check_pattern("domain", settings.domain, QUALIFIED_PATTERN)
    if not is_http_url(settings.platform.url):
        yield _make_problem(
            "platform.url", settings.platform.url, "an http or https URL with a host"
        )
    if settings.advertised:
        yield from _check_addresses("advertised", (settings.advertised,))
    yield from _check_addresses("peers", settings.peers)
    yield from _check_key("internal_key", settings.internal_key, settings.internal_key_file)
    yield from _check_key("session_key", settings.session_key, settings.session_key_file)
    yield from _check_tls("tls", settings.tls)
    yield from _check_tls("internal_tls", settings.internal_tls)


def _check_agent(settings: st.AgentSettings) -> Iterator[Problem]:
    yield from _check_pattern("region", settings.region, NAME_PATTERN)
    yield from _check_pattern("domain", settings.domain, QUALIFIED_PATTERN)
    yield from _check_pattern("upstream_id", settings.upstream_id, QUALIFIED_PATTERN)
    if not is_http_url(settings.upstream_url):
        yield _make_problem(
            "upstream_url", settings.upstream_url, "an http or https URL with a host"
        )
    if settings.platform.url and not is_http_url(settings.platform.url):
        yield _make_problem("platform.url", settings.platform.url, "an http or https URL, or empty")
    if not settings.entries and not settings.platform.url:
        yield _make_problem("entries", (), "at least one address where platform.url is empty")
    yield from _check_addresses("entries", settings.entries)
    yield from _check_key("internal_key", settings.internal_key, settings.internal_key_file)
    yield from _check_tls("internal_tls", settings.internal_tls)


def _make_problem(key: str, value: object, allowed: str) -> Problem:
    return Problem(key, show_value(key, value), allowed)


def _check_pattern(key: str, value: str, pattern: re.Pattern[str]) -> Iterator[Problem]:
    if not pattern.fullmatch(value):
        yield _make_problem(key, value, f"text like {pattern.pattern}")


def _check_addresses(key: str, addresses: tuple[str, ...]) -> Iterator[Problem]:
    for address in addresses:
        if not is_socket_address(address):
            yield _make_problem(key, address, "HOST:PORT with a port in [1, 65535]")


def _check_key(key: str, value: str, path: str) -> Iterator[Problem]:
    if bool(value) == bool(path):
        yield Problem(key, "(hidden)", f"set, or {key}_file instead, but not both")
    elif value and len(value) < MIN_KEY_CHARS:
        yield Problem(key, "(hidden)", f"at least {MIN_KEY_CHARS} characters long")
    else:
        yield from _check_file(f"{key}_file", path)


def _check_tls(key: str, tls: st.TlsSettings) -> Iterator[Problem]:
    if bool(tls.cert) != bool(tls.key):
        yield Problem(key, "only one of cert and key", "set with both cert and key, or neither")
    for name in ("cert", "key", "ca"):
        yield from _check_file(f"{key}.{name}", getattr(tls, name))


def _check_file(key: str, path: str) -> Iterator[Problem]:
    if path and not Path(path).is_file():
        yield Problem(key, repr(path), "the path of a readable file")
