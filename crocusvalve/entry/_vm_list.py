"""Reads the platform's list of VMs, which lags behind the VMs' state."""

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
    """Reads the list of VMs periodically and merges it into the upstream rows as a hint.

    Parameters
    ----------
    directory : VmDirectory
        Client of the platform's list of VMs.
    tables : CoreTables
        Tables whose upstream rows are updated.
    clock : Clock
        Source of the current time.
    """

    def __init__(self, directory: VmDirectory, tables: CoreTables, *, clock: Clock):
        self.directory = directory
        self.tables = tables
        self.clock = clock

    async def run(self) -> None:
        """Read the list periodically until cancelled; an error of the platform is logged."""
        n_vms = 0
        while True:
            try:
                n_vms = await self.follow_once()
            except CrocusvalveError as exc:
                logger.info("failed to read the list of VMs: %s", exc)
            await trio.sleep(compute_vm_list_interval_s(n_vms))

    async def follow_once(self) -> int:
        """Read and merge the list once; return the number of VMs in it."""
        listed_at = self.clock.now()
        vms = await self.directory.list_vms()
        statuses = [VmStatus(vm.address, vm.state is VmState.LEAVING) for vm in vms]
        merge_vm_list(self.tables, statuses, listed_at, self.clock.now())
        return len(vms)
