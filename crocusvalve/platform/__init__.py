"""Adapter to the users' platform: its settings file, its store, its headers and its records.

This package makes no decisions: it decodes each name on the wire once into a type of the project.
"""

from crocusvalve.platform._boot import SETTINGS_VARIABLE, load_boot_settings
from crocusvalve.platform._headers import PlatformHeaderCodec
from crocusvalve.platform._records import PlatformRecordCodec
from crocusvalve.platform._store import PlatformStore

__all__ = [
    "SETTINGS_VARIABLE",
    "PlatformHeaderCodec",
    "PlatformRecordCodec",
    "PlatformStore",
    "load_boot_settings",
]
