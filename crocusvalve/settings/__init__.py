"""Settings of a process: addresses, failure domain, URL of the platform, keys and logging."""

from crocusvalve.settings._load import load_settings, read_role
from crocusvalve.settings._settings import (
    AgentSettings,
    EntrySettings,
    ListenSettings,
    LogFormat,
    LogLevel,
    LogSettings,
    PlatformAccess,
    PlatformSettings,
    ProcessSettings,
    SettingsRole,
    TlsSettings,
)

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
    "load_settings",
    "read_role",
]
