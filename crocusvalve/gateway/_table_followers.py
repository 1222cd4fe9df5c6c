"""Followers of the store's tables, with the times that the operators' bounds allow."""

import random

from crocusvalve.gateway._upgrade_controller import UpgradeController
from crocusvalve.gateway.base import GatewayBounds
from crocusvalve.gateway.shared._table_reading import TableReading
from crocusvalve.gateway.tables._followers import TableFollower
from crocusvalve.gateway.tables._operator_table import OperatorTableHandler
from crocusvalve.gateway.tables._status_table import StatusTableHandler
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.gateway.tables._table_handler import TableHandler
from crocusvalve.gateway.tables._upstream_table import UpstreamTableHandler
from crocusvalve.store import Backoff
from crocusvalve.store.base import ChangeFeed
from crocusvalve.utils import Clock

__all__ = ["make_followers"]

#: Calls that wait for changes end this much before the operators' recovery bound (``contact_s``),
#: so that a store connection that no longer responds is replaced within the bound.
WAIT_MARGIN_S = 0.5
#: Shortest time for which a call waits for changes.
MIN_WAIT_S = 1.0
#: Pause between two fetches of upstreams' changes, as a fraction of the time within which a
#: leaving upstream must get no more requests (``drain_s``). Upstreams refresh their entries all the
#: time, so without a pause each call would return at once.
UPSTREAM_PAUSE_FRACTION = 0.3
BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 0.4


def make_followers(
    *,
    feed: ChangeFeed,
    store: StoreState,
    bounds: GatewayBounds,
    reading: TableReading,
    upgrades: UpgradeController,
    handlers: tuple[OperatorTableHandler, UpstreamTableHandler, StatusTableHandler],
    clock: Clock,
    random_state: random.Random,
) -> list[TableFollower]:
    """Return the followers of the operators', the upstreams' and the status table.

    The first two follow only while this gateway is a reader of its failure domain, the last one
    while an upgrade is in progress or its status may have been lost.

    Parameters
    ----------
    reading : TableReading
        Decides which gateways of the failure domain are readers.
    upgrades : UpgradeController
        Knows whether an upgrade is in progress.
    """
    operators, upstreams, statuses = handlers

    def make(handler: TableHandler, **kwargs) -> TableFollower:
        return TableFollower(
            feed=feed,
            handler=handler,
            store=store,
            backoff=Backoff(base_s=BACKOFF_BASE_S, max_s=BACKOFF_MAX_S, random_state=random_state),
            clock=clock,
            wait_s=max(MIN_WAIT_S, bounds.contact_s - WAIT_MARGIN_S),
            **kwargs,
        )

    def make_shared(handler: TableHandler, **kwargs) -> TableFollower:
        return make(
            handler,
            is_enabled=lambda: reading.must_follow(handler.table),
            measure_outage_s=reading.measure_outage_s,
            **kwargs,
        )

    def must_follow_status() -> bool:
        return upgrades.is_active() or statuses.replica.era < store.era

    return [
        make_shared(operators),
        make_shared(upstreams, pause_s=UPSTREAM_PAUSE_FRACTION * bounds.drain_s, is_probing=False),
        make(statuses, is_enabled=must_follow_status, is_probing=False),
    ]
