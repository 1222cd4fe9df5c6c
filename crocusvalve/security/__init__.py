"""Keys and TLS contexts of a process."""

from crocusvalve.security._keys import NewKey, is_internal_key, make_key, read_bearer
from crocusvalve.security._process import ProcessTls, watch_tls
from crocusvalve.security._tls import (
    HTTP_ALPN,
    RPC_ALPN,
    ReloadingTls,
    make_client_tls,
    make_server_tls,
)

__all__ = [
    "HTTP_ALPN",
    "NewKey",
    "ProcessTls",
    "RPC_ALPN",
    "ReloadingTls",
    "is_internal_key",
    "make_client_tls",
    "make_key",
    "make_server_tls",
    "read_bearer",
    "watch_tls",
]
