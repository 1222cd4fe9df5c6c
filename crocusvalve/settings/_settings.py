"""Typed form of the settings file of each kind of process."""

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
    """Kind of process that a settings file is for."""

    ENTRY = "entry"
    AGENT = "agent"
    PLATFORM = "platform"


class LogLevel(Enum):
    """Lowest level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(Enum):
    """Form of a log line."""

    TEXT = "text"
    JSON = "json"


class ListenSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Address to listen on; port 0 picks a free one."""

    host: str = "127.0.0.1"
    port: int = 0


class TlsSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Paths of PEM files; ``ca`` verifies the other side. Empty paths switch TLS off.

    ``check_host`` tells whether a server's certificate must name the address called.
    """

    cert: str = ""
    key: str = ""
    ca: str = ""
    check_host: bool = True

    @property
    def is_enabled(self) -> bool:
        """Whether a certificate is set."""
        return bool(self.cert)


class LogSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Level and form of the log."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.TEXT


class PlatformAccess(Struct, frozen=True, forbid_unknown_fields=True):
    """Where the platform's service answers; an empty URL means that it is not used."""

    url: str = ""
    timeout_s: float = 2.0


class ProcessSettings(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What every kind of process has in its settings; ``drain_s`` bounds a graceful shutdown."""

    role: SettingsRole
    node_id: str
    log: LogSettings = field(default_factory=LogSettings)
    drain_s: float = 30.0

    def __repr__(self) -> str:
        return f"<{type(self).__name__} {self.node_id}>"


class EntrySettings(ProcessSettings, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Settings of an entry.

    ``domain`` is the entry's own failure domain and ``peers`` are the internal addresses of other
    entries, ``HOST:PORT``. ``advertised`` is the internal address that peers use, where it is not
    that of ``rpc``. The keys may be given in place or by the path of a file; after loading, the
    key itself is set.
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

    ``upstream_id`` is written ``member/upstream``; ``entries`` are internal addresses of entries,
    ``HOST:PORT``, asked for the configuration until one answers. ``metrics`` serves ``/metrics``
    and ``/healthz`` where its port is not 0.
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
    """Settings of the stand-in of the platform's service; ``document`` is loaded at the start."""

    http: ListenSettings = field(default_factory=ListenSettings)
    document: str = ""
    seed: int = 0
