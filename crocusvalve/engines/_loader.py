"""Plans which engine loads or unloads which model version next."""

from collections import Counter

from msgspec import Struct

from crocusvalve.base import Command, System, UpstreamId, VersionRef
from crocusvalve.engines._tables import EngineRow, LoaderTables
from crocusvalve.utils import check_range

__all__ = ["ModelLoader", "OrderLoad", "OrderUnload"]

#: Key for the number of copies in all failure domains together.
ALL_DOMAINS = ""


class OrderLoad(Command, Struct, frozen=True):
    """Command to order an engine to load a version; ``number`` is the fencing number."""

    upstream_id: UpstreamId
    version: VersionRef
    number: int


class OrderUnload(Command, Struct, frozen=True):
    """Command to order an engine to unload a version; ``number`` is the fencing number."""

    upstream_id: UpstreamId
    version: VersionRef
    number: int


class ModelLoader(System):
    """Plans the loads and unloads that bring the engines' memory in line with the configuration.

    The version that the fewest engines have is loaded first, and of several the one that the fewest
    engines of the failure domain have. Loads are limited by the rate of the weight store, to one at
    a time per engine, and by the engine's memory. Versions that the configuration no longer assigns
    to an engine or that are withdrawn are unloaded first.

    Parameters
    ----------
    number : int
        Fencing number: that of the controller's lease.
    loads_per_s : float
        Maximum rate of loads from the weight store.
    burst : int
        Maximum number of loads that may be ordered at once.
    timeout_s : float
        Time in seconds after which an order without effect is repeated.
    """

    def __init__(
        self,
        *,
        number: int,
        loads_per_s: float = 0.1,
        burst: int = 2,
        timeout_s: float = 120.0,
    ):
        self.number = number
        self.loads_per_s = loads_per_s
        self.burst = burst
        self.timeout_s = timeout_s

    def run(self, tables: LoaderTables, now: float) -> list[Command]:
        """Return the orders that are due now."""
        check_range("loads_per_s", self.loads_per_s, low=0.0)
        self._refill(tables, now)
        commands: list[Command] = []
        for row in tables.engines.values():
            self._drop_expired_loads(row, now)
            commands += self._list_unloads(tables, row)
        if now < tables.blocked_until:
            return commands
        copies = count_copies(tables)
        while (
            tables.n_load_tokens >= 1.0 and (order := self._choose_load(tables, copies)) is not None
        ):
            tables.n_load_tokens -= 1.0
            row = tables.engines[order.upstream_id]
            row.loading[order.version] = now + self.timeout_s
            add_copy(copies, order.version, row)
            commands.append(order)
        return commands

    def _refill(self, tables: LoaderTables, now: float) -> None:
        if tables.refilled_at is None:
            tables.n_load_tokens = float(self.burst)
        else:
            n_added = max(0.0, now - tables.refilled_at) * self.loads_per_s
            tables.n_load_tokens = min(float(self.burst), tables.n_load_tokens + n_added)
        tables.refilled_at = now

    @staticmethod
    def _drop_expired_loads(row: EngineRow, now: float) -> None:
        for version in [ref for ref, until in row.loading.items() if now >= until]:
            del row.loading[version]

    def _list_unloads(self, tables: LoaderTables, row: EngineRow) -> list[Command]:
        unwanted = sorted(row.loaded - list_wanted_versions(tables, row))
        return [OrderUnload(row.upstream_id, version, self.number) for version in unwanted]

    def _choose_load(
        self, tables: LoaderTables, copies: Counter[tuple[VersionRef, str]]
    ) -> OrderLoad | None:
        best: tuple[tuple, EngineRow, VersionRef] | None = None
        for row in tables.engines.values():
            if not row.accepts_loads or row.loading:
                continue
            for version in list_wanted_versions(tables, row) - row.loaded:
                if tables.get_size_gb(version) > tables.get_free_gb(row):
                    continue
                n_all, n_domain = copies[version, ALL_DOMAINS], copies[version, row.domain]
                key = (n_all, n_domain, row.upstream_id, version)
                if best is None or key < best[0]:
                    best = (key, row, version)
        if best is None:
            return None
        return OrderLoad(best[1].upstream_id, best[2], self.number)


def list_wanted_versions(tables: LoaderTables, row: EngineRow) -> set[VersionRef]:
    """Return the versions that the configuration assigns to an engine, without withdrawn ones."""
    view = tables.view.upstreams.get(row.upstream_id)
    serves = view.serves if view else ()
    return {version for version in serves if not tables.view.is_withdrawn(version)}


def count_copies(tables: LoaderTables) -> Counter[tuple[VersionRef, str]]:
    """Count the engines that have or are loading each version, per failure domain and in total."""
    copies: Counter[tuple[VersionRef, str]] = Counter()
    for row in tables.engines.values():
        for version in row.loaded | row.loading.keys():
            add_copy(copies, version, row)
    return copies


def add_copy(copies: Counter[tuple[VersionRef, str]], version: VersionRef, row: EngineRow) -> None:
    """Count one more engine that has or is loading a version."""
    copies[version, row.domain] += 1
    copies[version, ALL_DOMAINS] += 1
