"""Settings of a process: addresses, failure domain, the platform's URL, keys and logs."""

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
