"""Choice of the reports that go into a gateway's next messages."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import Generic, TypeVar

__all__ = ["ReportQueue"]

KeyT = TypeVar("KeyT", bound=Hashable)

#: Messages that include a changed report. Each message goes to a few gateways, or to all if there
#: are few, so that a report reaches all of them although datagrams are lost.
N_TELLS = 4


class ReportQueue(Generic[KeyT]):
    """Keys of reports, in the order in which other gateways are told of them.

    Load that it answers: more reports change than fit into one message. A changed report goes into
    the next ``N_TELLS`` messages, one less if another gateway has reported the change. Those told
    least often go first, so that newer ones and those of others don't displace what only this
    gateway knows. Other reports are told in turn, for gateways that lack them.
    """

    def __init__(self) -> None:
        self._changed: tuple[OrderedDict[KeyT, None], ...] = tuple(
            OrderedDict() for _ in range(N_TELLS)
        )
        self._told: OrderedDict[KeyT, None] = OrderedDict()

    def add(self, key: KeyT, *, is_own: bool = True) -> None:
        """Add a report, or record that it has changed.

        Parameters
        ----------
        is_own : bool
            Whether this gateway has found the change itself.
        """
        self.discard(key)
        self._changed[0 if is_own else 1][key] = None

    def discard(self, key: KeyT) -> None:
        """Remove a report, if it is there."""
        for keys in (*self._changed, self._told):
            keys.pop(key, None)

    def choose(self, n_keys: int, *, is_complete: bool = False) -> list[KeyT]:
        """Return the reports for the next message, and count them as told.

        Parameters
        ----------
        n_keys : int
            Maximum number of reports.
        is_complete : bool
            Whether reports that haven't changed lately are told too.
        """
        chosen: list[tuple[KeyT, OrderedDict[KeyT, None]]] = []
        for keys, told_keys in zip(self._changed, (*self._changed[1:], self._told), strict=True):
            while keys and len(chosen) < n_keys:
                key, _ = keys.popitem()
                chosen.append((key, told_keys))
        while is_complete and self._told and len(chosen) < n_keys:
            key, _ = self._told.popitem(last=False)
            chosen.append((key, self._told))
        for key, told_keys in chosen:
            told_keys[key] = None
        return [key for key, _ in chosen]
