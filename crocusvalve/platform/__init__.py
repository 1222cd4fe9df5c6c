"""Adapter to the users' platform: its settings file, its store, its headers and its records.

Nothing here decides. Each name on the wire is decoded once into a type of the project.
"""

from crocusvalve.platform._boot import SETTINGS_VARIABLE, load_boot_settings
from crocusvalve.platform._headers import PlatformHeaders
from crocusvalve.platform._records import PlatformRecords
from crocusvalve.platform._store import PlatformStore

__all__ = [
    "SETTINGS_VARIABLE",
    "PlatformHeaders",
    "PlatformRecords",
    "PlatformStore",
    "load_boot_settings",
]
