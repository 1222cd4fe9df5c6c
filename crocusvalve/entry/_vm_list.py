"""Follows the platform's lagging list of VMs."""

import logging

import trio

from crocusvalve.entry._intervals import compute_vm_list_interval_s
from crocusvalve.entry._tables import CoreTables
from crocusvalve.exceptions import CrocusvalveError
from crocusvalve.membership import VmStatus, merge_vm_list
from crocusvalve.store import VmDirectory, VmState
from crocusvalve.utils import Clock

__all__ = ["VmListFollower"]

logger = logging.getLogger(__name__)


class VmListFollower:
    """Reads the list of VMs and merges it as a hint.

    Parameters
    ----------
    directory : VmDirectory
        The platform's list.
    tables : CoreTables
        Takes what the list says of upstreams' VMs.
    clock : Clock
        Source of the present time.
    """

    def __init__(self, directory: VmDirectory, tables: CoreTables, *, clock: Clock):
        self.directory = directory
        self.tables = tables
        self.clock = clock

    async def run(self) -> None:
        """Follow until cancelled."""
        n_vms = 0
        while True:
            try:
                n_vms = await self.follow_once()
            except CrocusvalveError as exc:
                logger.info("list of VMs not read: %s", exc)
            await trio.sleep(compute_vm_list_interval_s(n_vms))

    async def follow_once(self) -> int:
        """Read the list once; return the number of VMs in it."""
        listed_at = self.clock.now()
        vms = await self.directory.list_vms()
        statuses = [VmStatus(vm.address, vm.state is VmState.LEAVING) for vm in vms]
        merge_vm_list(self.tables, statuses, listed_at, self.clock.now())
        return len(vms)
