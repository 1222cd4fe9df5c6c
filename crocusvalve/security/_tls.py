"""TLS contexts, and their reload when the files behind them change."""

import ssl
from collections.abc import Sequence
from pathlib import Path

from crocusvalve.utils import compute_digest

__all__ = ["HTTP_ALPN", "RPC_ALPN", "ReloadingTls", "make_client_tls", "make_server_tls"]

#: HTTP/2 is not offered: a fault of one stream would end all others of its connection.
HTTP_ALPN = ("http/1.1",)
RPC_ALPN = ("h2",)
POLL_INTERVAL_S = 1.0


def make_server_tls(
    cert: str, key: str, ca: str = "", *, alpn: Sequence[str] = HTTP_ALPN
) -> ssl.SSLContext:
    """Make a server context.

    Parameters
    ----------
    cert, key : str
        Paths of the certificate chain and of its private key, in PEM.
    ca : str
        Path of the authorities that clients' certificates must come from; empty asks for none.
    alpn : sequence of str
        Protocols to offer; ``RPC_ALPN`` for calls between processes.

    Raises
    ------
    OSError
        Where a file is missing, damaged, or the key does not fit the certificate.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.options |= ssl.OP_NO_COMPRESSION
    context.set_alpn_protocols(list(alpn))
    context.load_cert_chain(cert, key)
    if ca:
        context.load_verify_locations(ca)
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_tls(
    ca: str = "",
    cert: str = "",
    key: str = "",
    *,
    alpn: Sequence[str] = RPC_ALPN,
    check_host: bool = True,
) -> ssl.SSLContext:
    """Make a client context.

    Parameters
    ----------
    ca : str
        Path of the authorities that the server's certificate must come from; empty takes those of
        the system.
    cert, key : str
        Paths of the client's own certificate and key; empty for none.
    alpn : sequence of str
        Protocols to offer.
    check_host : bool
        Whether the certificate must name the address called. Between processes of the system, which
        call each other by IP number, a common certificate of a private authority may do without.

    Raises
    ------
    OSError
        Where a file is missing or damaged.
    """
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=ca or None)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = check_host
    context.set_alpn_protocols(list(alpn))
    if cert:
        context.load_cert_chain(cert, key)
    return context


class ReloadingTls:
    """Keeps a live context in step with its certificate and key files.

    New connections use the new certificate; open ones go on. Files that do not load, such as a key
    that does not fit the certificate yet, leave the context as it is and are tried again. New
    authorities in the ``ca`` file are added; removing one takes a restart.

    Parameters
    ----------
    context : ssl.SSLContext
        Context in use.
    cert, key : str
        Paths of the files.
    ca : str
        Path of the authorities, or empty.

    Attributes
    ----------
    last_error_ : str
        Why the last reload failed, or empty.
    n_reloads_ : int
        Number of reloads done.
    """

    def __init__(self, context: ssl.SSLContext, cert: str, key: str, ca: str = ""):
        self.context = context
        self.cert = cert
        self.key = key
        self.ca = ca
        self.last_error_ = ""
        self.n_reloads_ = 0
        self._digest = self._compute_digest()
        self._next_poll_at = 0.0

    def poll(self, now: float) -> bool:
        """Reload where the files' contents have changed.

        Parameters
        ----------
        now : float
            Present Unix time in seconds; files are read at most once in ``POLL_INTERVAL_S``.

        Returns
        -------
        bool
            Whether a new certificate is in use.
        """
        if now < self._next_poll_at:
            return False
        self._next_poll_at = now + POLL_INTERVAL_S
        try:
            digest = self._compute_digest()
            if digest == self._digest:
                return False
            self._reload()
        except OSError as exc:
            self.last_error_ = f"{type(exc).__name__}: {exc}"
            return False
        self._digest = digest
        self.last_error_ = ""
        self.n_reloads_ += 1
        return True

    def _reload(self) -> None:
        # A chain that does not fit its key would leave the live context without any key.
        make_server_tls(self.cert, self.key, self.ca)
        self.context.load_cert_chain(self.cert, self.key)
        if self.ca:
            self.context.load_verify_locations(self.ca)

    def _compute_digest(self) -> str:
        paths = [path for path in (self.cert, self.key, self.ca) if path]
        return compute_digest(*(Path(path).read_bytes() for path in paths))
