"""Handler of the table in which gateways store the status of upgrades."""

import msgspec

from crocusvalve.gateway.base import ServiceName, UpgradeState, UpgradeStatus
from crocusvalve.gateway.tables._table_handler import TableHandler
from crocusvalve.store.base import FeedRow

__all__ = ["StatusTableHandler"]


class StatusTableHandler(TableHandler):
    """Handles the table in which gateways store the status of upgrades."""

    def __init__(self, *args):
        super().__init__(*args)
        self.table = self.codec.status_table

    def apply_row(self, row: FeedRow, now: float) -> None:
        """Apply a changed row to the gateway's tables."""
        service = self.codec.find_status_service(row.key)
        if service is None:
            return
        status = self._read_status(row)
        if status is None:
            self.tables.statuses.pop(service, None)
        elif self.tables.apply_status(service, status):
            self.observer.record_upgrade_status(service, status, is_local=False)
            if status.state is UpgradeState.COMPLETE:
                self.tables.allowed_versions[service] = {status.version}

    def apply_restored_row(self, row: FeedRow, now: float) -> None:
        """Apply a status that may be older than the known one; a lost one is written again."""
        if row.value is not None:
            self.apply_row(row, now)

    def is_stored(self, service: ServiceName, status: UpgradeStatus) -> bool:
        """Return whether the store has at least the progress of an upgrade's status."""
        key = self.codec.make_status_key(service)
        value = self.replica.get_value(key)
        stored = self._read_status(FeedRow(key, value, self.replica.get_version(key)))
        return (
            stored is not None
            and stored.version == status.version
            and stored.progress >= status.progress
        )

    def _read_status(self, row: FeedRow) -> UpgradeStatus | None:
        status = self.codec.read_status(row.value, row.version) if row.value else None
        return status and msgspec.structs.replace(status, era=self.replica.era)
