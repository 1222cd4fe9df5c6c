"""Tables of the controller about versions in the engines' memory."""

from msgspec import Struct, field

from crocusvalve.base import DomainId, UpstreamId, VersionRef
from crocusvalve.config import DocumentView

__all__ = ["EngineRow", "LoaderTables"]


class EngineRow(Struct, kw_only=True):
    """Memory of an engine as reported; sizes in GB, instants in Unix seconds.

    ``loading`` holds the orders under way with the time until which each is waited for.
    """

    upstream_id: UpstreamId
    domain: DomainId
    memory_gb: float
    loaded: set[VersionRef] = field(default_factory=set)
    loading: dict[VersionRef, float] = field(default_factory=dict)
    accepts_loads: bool = True


class LoaderTables:
    """Engines, sizes of versions and the budget of the weight store.

    Parameters
    ----------
    view : DocumentView
        The revision in force.
    sizes_gb : dict of VersionRef to float
        Sizes in memory; a version without one takes ``default_size_gb``.
    default_size_gb : float
        Size of versions without a known one.
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
        """Return the size of a version in memory."""
        return self.sizes_gb.get(version, self.default_size_gb)

    def get_free_gb(self, row: EngineRow) -> float:
        """Return the memory that neither loaded nor coming versions take."""
        held = row.loaded | set(row.loading)
        return row.memory_gb - sum(self.get_size_gb(version) for version in held)

    def update_loaded(self, upstream_id: UpstreamId, loaded: set[VersionRef]) -> None:
        """Take a report of the versions in an engine's memory."""
        row = self.engines[upstream_id]
        row.loaded = set(loaded)
        for version in loaded:
            row.loading.pop(version, None)

    def defer_loads(self, retry_at: float) -> None:
        """Give no further load before a time, as the weight store asked."""
        self.blocked_until = max(self.blocked_until, retry_at)
