"""Validation of network addresses in documents and settings files."""

from urllib.parse import urlsplit

__all__ = ["is_http_url", "is_socket_address"]

MAX_PORT = 65535


def is_socket_address(text: str) -> bool:
    """Return whether a string is ``HOST:PORT`` with a port in ``[1, 65535]``."""
    host, _, port = text.rpartition(":")
    if not host or any(char.isspace() for char in text) or "/" in host:
        return False
    return port.isascii() and port.isdigit() and len(port) <= 5 and 1 <= int(port) <= MAX_PORT


def is_http_url(text: str) -> bool:
    """Return whether a string is an http or https URL with a host and a valid port."""
    if any(char.isspace() for char in text):
        return False
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    if parts.scheme not in ("http", "https") or not parts.hostname:
        return False
    return port is None or 1 <= port <= MAX_PORT
