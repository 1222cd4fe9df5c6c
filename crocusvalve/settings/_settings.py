"""Types of the settings files of the processes."""

from enum import Enum

from msgspec import Struct, field

__all__ = [
    "AgentSettings",
    "EntrySettings",
    "ListenSettings",
    "LogFormat",
    "LogLevel",
    "LogSettings",
    "PlatformAccess",
    "PlatformSettings",
    "ProcessSettings",
    "SettingsRole",
    "TlsSettings",
]


class SettingsRole(Enum):
    """Kind of process that a settings file configures."""

    ENTRY = "entry"
    AGENT = "agent"
    PLATFORM = "platform"


class LogLevel(Enum):
    """Minimum level of the messages that are logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(Enum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


class ListenSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Address to listen on; for port 0 the operating system chooses a free port."""

    host: str = "127.0.0.1"
    port: int = 0


class TlsSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Paths of PEM files for TLS; without ``cert`` TLS is disabled.

    Certificates of peers are verified against ``ca``. ``check_host`` sets whether the certificate
    of a server must match the host name or address that the client connects to.
    """

    cert: str = ""
    key: str = ""
    ca: str = ""
    check_host: bool = True

    @property
    def is_enabled(self) -> bool:
        """Whether TLS is enabled, that is, a certificate is set."""
        return bool(self.cert)


class LogSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Level and format of the log."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.TEXT


class PlatformAccess(Struct, frozen=True, forbid_unknown_fields=True):
    """URL and request timeout of the platform's service; with an empty URL it is not used."""

    url: str = ""
    timeout_s: float = 2.0


class ProcessSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings that all kinds of processes have; ``drain_s`` limits a graceful shutdown."""

    role: SettingsRole
    node_id: str
    log: LogSettings = field(default_factory=LogSettings)
    drain_s: float = 30.0

    def __repr__(self) -> str:
        return f"<{type(self).__name__} {self.node_id}>"


class EntrySettings(ProcessSettings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of an entry.

    ``domain`` is the failure domain of the entry, and ``peers`` are the internal addresses of other
    entries, ``HOST:PORT``. ``advertised`` is the internal address that peers use if it differs from
    that of ``rpc``. Each key is given either directly or as the path of a file (``..._file``);
    loading replaces a path by setting the key itself.
    """

    region: str
    domain: str
    http: ListenSettings = field(default_factory=ListenSettings)
    rpc: ListenSettings = field(default_factory=ListenSettings)
    advertised: str = ""
    platform: PlatformAccess = field(default_factory=PlatformAccess)
    peers: tuple[str, ...] = ()
    internal_key: str = ""
    internal_key_file: str = ""
    session_key: str = ""
    session_key_file: str = ""
    tls: TlsSettings = field(default_factory=TlsSettings)
    internal_tls: TlsSettings = field(default_factory=TlsSettings)
    max_body_bytes: int = 2**20
    config_poll_s: float = 1.0


class AgentSettings(ProcessSettings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of an agent.

    ``upstream_id`` is written ``member/upstream``. ``entries`` are internal addresses of entries,
    ``HOST:PORT``, which the agent asks for the configuration in turn until one answers. ``metrics``
    is the address of ``/metrics`` and ``/healthz``, which are served only if its port is not 0.
    """

    upstream_id: str
    upstream_url: str
    region: str
    domain: str
    rpc: ListenSettings = field(default_factory=ListenSettings)
    metrics: ListenSettings = field(default_factory=ListenSettings)
    platform: PlatformAccess = field(default_factory=PlatformAccess)
    entries: tuple[str, ...] = ()
    internal_key: str = ""
    internal_key_file: str = ""
    internal_tls: TlsSettings = field(default_factory=TlsSettings)
    max_answer_bytes: int = 8 * 2**20


class PlatformSettings(ProcessSettings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of the platform stand-in (a simulated platform), which loads ``document``."""

    http: ListenSettings = field(default_factory=ListenSettings)
    document: str = ""
    seed: int = 0
