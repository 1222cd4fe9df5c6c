"""Leases, the controller, and storage and distribution of the configuration."""

from crocusvalve.control._config_cache import ConfigCache, ConfigCacheCounters, HeadState
from crocusvalve.control._config_follower import ConfigFollower, ConfigPeer, fetch_from_peers
from crocusvalve.control._config_store import ConfigStore
from crocusvalve.control._controller import Controller, ControllerCounters, ControllerTask
from crocusvalve.control._lease import LeaseManager
from crocusvalve.control._promote import promote_document
from crocusvalve.control._records import HeadRecord, LeaseRecord, RevisionRecord

__all__ = [
    "ConfigCache",
    "ConfigCacheCounters",
    "ConfigFollower",
    "ConfigPeer",
    "ConfigStore",
    "Controller",
    "ControllerCounters",
    "ControllerTask",
    "HeadRecord",
    "HeadState",
    "LeaseManager",
    "LeaseRecord",
    "RevisionRecord",
    "fetch_from_peers",
    "promote_document",
]
