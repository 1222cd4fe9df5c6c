"""State of the model loader: versions in the engines' memory and the budget of loads."""

from msgspec import Struct, field

from crocusvalve.base import DomainId, UpstreamId, VersionRef
from crocusvalve.config import DocumentView

__all__ = ["EngineRow", "LoaderTables"]


class EngineRow(Struct, kw_only=True):
    """Memory of an engine as last reported; sizes in GB, times in Unix seconds.

    ``loading`` maps each version whose load is in progress to the time at which the order expires.
    ``accepts_loads`` states whether new loads may be ordered.
    """

    upstream_id: UpstreamId
    domain: DomainId
    memory_gb: float
    loaded: set[VersionRef] = field(default_factory=set)
    loading: dict[VersionRef, float] = field(default_factory=dict)
    accepts_loads: bool = True


class LoaderTables:
    """Engines, sizes of versions and the load budget of the weight store.

    Parameters
    ----------
    view : DocumentView
        The configuration revision in force.
    sizes_gb : dict of VersionRef to float
        Sizes of versions in memory; a version without an entry has ``default_size_gb``.
    default_size_gb : float
        Size of versions whose size is not known.
    """

    def __init__(
        self,
        view: DocumentView,
        *,
        sizes_gb: dict[VersionRef, float] | None = None,
        default_size_gb: float = 10.0,
    ):
        self.view = view
        self.sizes_gb = sizes_gb or {}
        self.default_size_gb = default_size_gb
        self.engines: dict[UpstreamId, EngineRow] = {}
        self.n_load_tokens = 0.0
        self.refilled_at: float | None = None
        self.blocked_until = float("-inf")

    def get_size_gb(self, version: VersionRef) -> float:
        """Return the size of a version in memory, in GB."""
        return self.sizes_gb.get(version, self.default_size_gb)

    def get_free_gb(self, row: EngineRow) -> float:
        """Return the memory in GB that neither loaded versions nor those being loaded occupy."""
        versions = row.loaded | set(row.loading)
        return row.memory_gb - sum(self.get_size_gb(version) for version in versions)

    def update_loaded(self, upstream_id: UpstreamId, loaded: set[VersionRef]) -> None:
        """Update an engine's loaded versions from a report; ends its loads that have completed."""
        row = self.engines[upstream_id]
        row.loaded = set(loaded)
        for version in loaded:
            row.loading.pop(version, None)

    def defer_loads(self, retry_at: float) -> None:
        """Order no further load before ``retry_at``, as requested by the weight store."""
        self.blocked_until = max(self.blocked_until, retry_at)
