"""Exchange of what gateways know of recently sent prompts."""

import random
from collections import OrderedDict
from collections.abc import Iterable

from msgspec import Struct

from crocusvalve.base import UpstreamId
from crocusvalve.gateway.shared._gossip_message import SentPromptParts
from crocusvalve.gateway.shared._gossip_targets import MAX_GOSSIP_PEERS

__all__ = ["PeerCounts", "SentPartsQueue"]

#: Messages within the failure domain that tell of a prompt: of an own one, and of one from another
#: failure domain.
N_OWN_TELLS = 3
N_OUTSIDE_TELLS = 3
#: Messages that tell of an own prompt if there are so few gateways that each tells all others.
N_FEW_TELLS = 2
#: These messages to five gateways each reach all of a failure domain with at most this many others.
#: In a larger one this share of the gateways that another one has told passes a prompt on once.
MAX_DIRECT_PEERS = 8
PASSED_SHARE = 0.5
#: Messages to each other failure domain that tell of a prompt, of all gateways of this one. With 3,
#: 7 in 100 of 24 gateways lacked a prompt after 2 s if a fifth of the datagrams was lost, with 4 5.
N_TELLS_PER_DOMAIN = 4
#: Maximum number of these from the gateway that has sent the prompt; at most one to each.
MAX_OWN_OUTSIDE_TELLS = 4
#: A prompt that is told for the first time after this time isn't told on: what it has left in an
#: upstream's cache matters most to the requests that follow closely.
TELL_EXPIRY_S = 2.0
#: Maximum numbers of prompts in one message.
MAX_PARTS_INSIDE = 24
MAX_PARTS_OUTSIDE = 12
#: Prompts that are remembered, so that each is merged and told on once.
MAX_SEEN = 8192


class PeerCounts(Struct, frozen=True):
    """Numbers of other gateways that are alive.

    Attributes
    ----------
    n_alive : int
        All of them.
    n_inside : int
        Those of the own failure domain.
    n_domains : int
        Number of other failure domains.
    """

    n_alive: int
    n_inside: int
    n_domains: int


class _Entry(Struct):
    """A prompt, the local time of its receipt in seconds, and the messages yet to tell of it.

    Attributes
    ----------
    is_outside : bool
        Whether a gateway of another failure domain has sent the prompt.
    """

    sent: SentPromptParts
    at: float
    is_outside: bool
    n_inside: int
    n_outside: int


class SentPartsQueue:
    """Sent prompts that the next messages tell of, the newest first.

    Load that it answers: dozens of prompts a second, of which every gateway is to know within 2 s
    which upstream got them, while a message goes to six gateways. A prompt of the own failure
    domain is told inside and outside, one of another failure domain inside only.

    Parameters
    ----------
    random_state : random.Random
        Source of randomness for the choice of the gateways that tell other failure domains.
    """

    def __init__(self, random_state: random.Random):
        self.random_state = random_state
        self._entries: list[_Entry] = []
        self._seen: OrderedDict[tuple[float, UpstreamId, str], None] = OrderedDict()

    def add_own(self, prompts: Iterable[SentPromptParts], counts: PeerCounts, now: float) -> None:
        """Add the prompts that this gateway has sent, unless they are known."""
        n_outside = min(counts.n_domains, MAX_OWN_OUTSIDE_TELLS)
        n_inside = N_OWN_TELLS if counts.n_alive > MAX_GOSSIP_PEERS else N_FEW_TELLS
        for sent in prompts:
            if self._mark_seen(sent):
                self._entries.append(_Entry(sent, now, False, n_inside, n_outside))

    def receive(
        self,
        sent: SentPromptParts,
        now: float,
        *,
        is_outside: bool,
        is_from_inside: bool,
        counts: PeerCounts,
    ) -> bool:
        """Add a prompt that a peer reports; return whether it was unknown.

        It is told on only if there are too many gateways for its sender to tell them all.

        Parameters
        ----------
        is_outside : bool
            Whether a gateway of another failure domain has sent the prompt.
        is_from_inside : bool
            Whether the peer is of the own failure domain.
        """
        if not self._mark_seen(sent):
            return False
        if counts.n_alive <= MAX_GOSSIP_PEERS:
            return True
        n_inside, n_domains = counts.n_inside, counts.n_domains
        n_inside_tells = N_OUTSIDE_TELLS
        if is_from_inside:
            is_passed = n_inside > MAX_DIRECT_PEERS and self.random_state.random() < PASSED_SHARE
            n_inside_tells = int(is_passed)
        n_passed = N_TELLS_PER_DOMAIN * n_domains - min(n_domains, MAX_OWN_OUTSIDE_TELLS)
        # The share of the gateways of this failure domain that are to tell the others.
        is_told_on = not is_outside and self.random_state.random() * max(1, n_inside) < n_passed
        if n_inside_tells or is_told_on:
            self._entries.append(_Entry(sent, now, is_outside, n_inside_tells, int(is_told_on)))
        return True

    def _mark_seen(self, sent: SentPromptParts) -> bool:
        """Return whether a prompt was unknown."""
        key = (sent.sent_at, sent.upstream_id, sent.model)
        if key in self._seen:
            return False
        self._seen[key] = None
        if len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)
        return True

    def choose_inside(
        self, now: float
    ) -> tuple[tuple[SentPromptParts, ...], tuple[SentPromptParts, ...]]:
        """Return the prompts of the own and of other failure domains for the next message inside.

        They count as told.
        """
        self._expire(now)
        chosen = [entry for entry in self._entries if entry.n_inside][-MAX_PARTS_INSIDE:]
        for entry in chosen:
            entry.n_inside -= 1
        return (
            tuple(entry.sent for entry in chosen if not entry.is_outside),
            tuple(entry.sent for entry in chosen if entry.is_outside),
        )

    def choose_outside(self, now: float) -> tuple[SentPromptParts, ...]:
        """Return the prompts for the next message to another failure domain, as told."""
        self._expire(now)
        chosen = [entry for entry in self._entries if entry.n_outside][-MAX_PARTS_OUTSIDE:]
        for entry in chosen:
            entry.n_outside -= 1
        return tuple(entry.sent for entry in chosen)

    def _expire(self, now: float) -> None:
        self._entries = [
            entry
            for entry in self._entries
            if now - entry.at < TELL_EXPIRY_S and (entry.n_inside or entry.n_outside)
        ]
