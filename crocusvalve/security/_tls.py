"""Creation of TLS contexts, and their reload when the certificate files change."""

import ssl
from collections.abc import Sequence
from pathlib import Path

from crocusvalve.utils import compute_digest

__all__ = ["HTTP_ALPN", "RPC_ALPN", "ReloadingTls", "make_client_tls", "make_server_tls"]

#: HTTP/2 is not offered: an error in one stream would end all other streams of its connection.
HTTP_ALPN = ("http/1.1",)
RPC_ALPN = ("h2",)
POLL_INTERVAL_S = 1.0


def make_server_tls(
    cert: str, key: str, ca: str = "", *, alpn: Sequence[str] = HTTP_ALPN
) -> ssl.SSLContext:
    """Make a TLS context for a server.

    Parameters
    ----------
    cert, key : str
        Paths of the certificate chain and of its private key, in PEM.
    ca : str
        Path of the authorities that must have issued clients' certificates; if empty, no client
        certificate is required.
    alpn : sequence of str
        Application protocols to offer; ``RPC_ALPN`` for calls between processes.

    Raises
    ------
    OSError
        If a file is missing or malformed, or the key does not match the certificate.
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
    """Make a TLS context for a client.

    Parameters
    ----------
    ca : str
        Path of the authorities that must have issued the server's certificate; if empty, the
        system's authorities are used.
    cert, key : str
        Paths of the client's certificate and key; empty for none.
    alpn : sequence of str
        Application protocols to offer.
    check_host : bool
        Whether the certificate must name the called address. Processes of the system call each
        other by IP address, so their shared certificate of a private authority need not name it.

    Raises
    ------
    OSError
        If a file is missing or malformed.
    """
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=ca or None)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.check_hostname = check_host
    context.set_alpn_protocols(list(alpn))
    if cert:
        context.load_cert_chain(cert, key)
    return context


class ReloadingTls:
    """Reloads a TLS context in use when its certificate or key file changes.

    New connections use the new certificate; open ones continue. If the files can't be loaded, for
    example while the key does not yet match the certificate, the context stays unchanged and the
    reload is tried again. New authorities in the ``ca`` file are added; removing one needs a
    restart.

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
        Reason that the last reload failed, or empty.
    n_reloads_ : int
        Number of successful reloads.
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
        """Reload the context if the contents of its files have changed.

        Parameters
        ----------
        now : float
            Current Unix time in seconds; files are read at most once per ``POLL_INTERVAL_S``.

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
        # Checks the files in a separate context first: loading a chain that does not match its key
        # would leave the context in use without any key.
        make_server_tls(self.cert, self.key, self.ca)
        self.context.load_cert_chain(self.cert, self.key)
        if self.ca:
            self.context.load_verify_locations(self.ca)

    def _compute_digest(self) -> str:
        paths = [path for path in (self.cert, self.key, self.ca) if path]
        return compute_digest(*(Path(path).read_bytes() for path in paths))
