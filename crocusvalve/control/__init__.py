"""Leases, controller and distribution of the configuration."""

from crocusvalve.control._config_follower import ConfigFollower, ConfigPeer, fetch_from_peers
from crocusvalve.control._config_keeper import ConfigKeeper, HeadState, KeeperCounters
from crocusvalve.control._config_store import ConfigStore
from crocusvalve.control._controller import Controller, ControllerCounters, ControllerTask
from crocusvalve.control._lease import LeaseKeeper
from crocusvalve.control._promote import promote_document
from crocusvalve.control._records import HeadRecord, LeaseRecord, RevisionRecord

__all__ = [
    "ConfigFollower",
    "ConfigKeeper",
    "ConfigPeer",
    "ConfigStore",
    "Controller",
    "ControllerCounters",
    "ControllerTask",
    "HeadRecord",
    "HeadState",
    "KeeperCounters",
    "LeaseKeeper",
    "LeaseRecord",
    "RevisionRecord",
    "fetch_from_peers",
    "promote_document",
]
