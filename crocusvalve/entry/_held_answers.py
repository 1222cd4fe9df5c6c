"""Bounds the memory of the answers that an entry holds until they are complete."""

from crocusvalve.base import RequestId
from crocusvalve.utils import check_range

__all__ = ["HeldAnswers"]

#: Maximum sum of the sizes of all answers: a node may use 128 MB, and joining the parts of an
#: answer takes its size once more.
MAX_HELD_BYTES = 24 * 2**20
#: Answers up to this size are not dropped.
SMALL_BYTES = 16 * 1024


class HeldAnswers:
    """Sizes of the answers that are received and not delivered yet.

    Load that it answers: faulty upstreams whose answers have no end, several at once. An answer
    that has grown beyond all others is the most likely one of them.

    Parameters
    ----------
    max_bytes : int
        Maximum sum of the sizes in bytes; answers of up to ``SMALL_BYTES`` may exceed it.

    Attributes
    ----------
    n_bytes : int
        Present sum of the sizes.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES):
        check_range("max_bytes", max_bytes, low=SMALL_BYTES)
        self.max_bytes = max_bytes
        self.n_bytes = 0
        self._sizes: dict[RequestId, int] = {}
        self._incomplete: set[RequestId] = set()

    def add(self, request_id: RequestId, n_bytes: int) -> RequestId | None:
        """Count further bytes of an incomplete answer.

        Returns
        -------
        RequestId or None
            Request whose answer must be dropped, since too many bytes are held.
        """
        self._sizes[request_id] = self._sizes.get(request_id, 0) + n_bytes
        self._incomplete.add(request_id)
        self.n_bytes += n_bytes
        if self.n_bytes <= self.max_bytes:
            return None
        largest = max(self._incomplete, key=self._sizes.__getitem__)
        return largest if self._sizes[largest] > SMALL_BYTES else None

    def mark_complete(self, request_id: RequestId) -> None:
        """Record that an answer has arrived completely, so that it isn't dropped any more."""
        self._incomplete.discard(request_id)

    def release(self, request_id: RequestId) -> None:
        """Stop counting the answer of a request; later calls have no effect."""
        self._incomplete.discard(request_id)
        self.n_bytes -= self._sizes.pop(request_id, 0)
