"""Simulated network between entry cores and agents."""

import random
from collections.abc import Callable

from msgspec import Struct

from crocusvalve.base import AttemptId
from crocusvalve.entry._attempts import make_broken_stream_event
from crocusvalve.exceptions import CrocusvalveError
from crocusvalve.rpc import ConnectError, Frame, RpcError, RunEvent, RunRequest
from crocusvalve.soak._agent import SoakAgent
from crocusvalve.soak._faults import SoakFaults
from crocusvalve.soak._scheduler import Scheduler

__all__ = ["SoakNetwork"]

#: Longest time until an entry notices that a stream is broken.
MAX_BREAK_DETECTION_S = 0.5
#: Longest delay of a repeated message or a late frame.
MAX_LATENESS_S = 2.0

EventCallback = Callable[[AttemptId, RunEvent], None]


class _Stream(Struct, eq=False):
    """A stream of one attempt's events to one run of an entry.

    ``next_seq`` is the sequence number of the next frame to send, ``last_delivery_at`` the virtual
    time of the last scheduled delivery, before which no later event arrives.
    """

    attempt_id: AttemptId
    next_seq: int
    on_event: EventCallback
    last_delivery_at: float = 0.0
    is_open: bool = True


class SoakNetwork:
    """Carries attempts and events with delays, broken streams, repeated messages and late frames.

    Parameters
    ----------
    agents : dict
        Agents by address.
    scheduler : Scheduler
        Virtual clock and queue of calls.
    random_state : random.Random
        Source of randomness.
    faults : SoakFaults
        Probabilities of faults; injected ones are counted in it.
    """

    def __init__(
        self,
        agents: dict[str, SoakAgent],
        *,
        scheduler: Scheduler,
        random_state: random.Random,
        faults: SoakFaults,
    ):
        self.agents = agents
        self.scheduler = scheduler
        self.random_state = random_state
        self.faults = faults
        self._streams: dict[str, list[_Stream]] = {address: [] for address in agents}
        for address, agent in agents.items():
            agent.listeners.append(
                lambda attempt_id, address=address: self._on_progress(address, attempt_id)
            )

    def _sample_fault(self, name: str) -> bool:
        """Return whether a fault happens now, and count it if so."""
        if self.random_state.random() >= getattr(self.faults, name):
            return False
        self.faults.count_fault(name)
        return True

    def _sample_delay_s(self) -> float:
        return self.random_state.uniform(0.0, self.faults.max_delay_s)

    def start(self, address: str, run: RunRequest, on_event: EventCallback) -> None:
        """Send an attempt to an agent and deliver its events to a callback."""
        stream = _Stream(run.attempt_id, 0, on_event)
        if self._sample_fault("cut_before_send"):
            exc = ConnectError("cut", step="run", peer=address)
            self.scheduler.add(self._sample_delay_s(), lambda: self._break(stream, exc))
            return
        self._streams[address].append(stream)
        self.scheduler.add(
            self._sample_delay_s(), lambda: self._deliver_attempt(address, run, stream)
        )
        if self._sample_fault("repeated_message"):
            late_s = self.random_state.uniform(0.0, MAX_LATENESS_S)
            boot = self.agents[address].n_boots
            self.scheduler.add(late_s, lambda: self._deliver_copy(address, run, boot))
        if self._sample_fault("cut_after_send"):
            self._break_later(stream, address)

    def resume(
        self,
        address: str,
        attempt_id: AttemptId,
        from_seq: int,
        delay_s: float,
        on_event: EventCallback,
    ) -> None:
        """Request the events of an attempt from a frame on, after a delay."""
        stream = _Stream(attempt_id, from_seq, on_event)
        self._streams[address].append(stream)
        self.scheduler.add(
            delay_s + self._sample_delay_s(), lambda: self._forward_events(address, stream)
        )

    def cancel(self, address: str, attempt_id: AttemptId) -> None:
        """Cancel an attempt at its agent."""
        self.scheduler.add(self._sample_delay_s(), lambda: self.agents[address].cancel(attempt_id))

    def break_all_streams(self, address: str) -> None:
        """Break all streams of an agent, as its restart does."""
        for stream in self._streams[address]:
            self._break_later(stream, address)

    def _deliver_attempt(self, address: str, run: RunRequest, stream: _Stream) -> None:
        """Pass an attempt to its agent and send back the refusal or the events so far."""
        refused = self.agents[address].receive(run)
        if refused is not None:
            self._schedule_event(stream, refused)
            return
        self._forward_events(address, stream)

    def _deliver_copy(self, address: str, run: RunRequest, boot: int) -> None:
        """Pass a repeated message to its agent."""
        # A restart of the agent closes its connections, so no copy reaches a later run.
        if self.agents[address].n_boots == boot:
            self.agents[address].receive(run)

    def _on_progress(self, address: str, attempt_id: AttemptId) -> None:
        """Send new events of an attempt to all of its open streams."""
        for stream in list(self._streams[address]):
            if stream.attempt_id == attempt_id:
                self._forward_events(address, stream)

    def _forward_events(self, address: str, stream: _Stream) -> None:
        """Send the events that a stream lacks; break it if the agent does not have them."""
        if not stream.is_open:
            return
        buffer = self.agents[address].buffers.get(stream.attempt_id)
        if buffer is None:
            self._break_later(stream, address)
            return
        try:
            events = buffer.read(stream.next_seq)
        except CrocusvalveError:
            self._break_later(stream, address)
            return
        for event in events:
            if not stream.is_open:
                return
            if isinstance(event, Frame):
                stream.next_seq = event.seq + 1
            self._send_event(address, stream, event)

    def _send_event(self, address: str, stream: _Stream, event: RunEvent) -> None:
        """Send one event with random faults.

        The final event also records its delivery at the agent's bills and closes the stream.
        """
        if self._sample_fault("cut_stream"):
            self._break_later(stream, address)
            return
        self._schedule_event(stream, event)
        if self._sample_fault("repeated_frame"):
            self._schedule_event(stream, event)
        if isinstance(event, Frame) and self._sample_fault("late_frame"):
            late_s = self.random_state.uniform(self.faults.max_delay_s, MAX_LATENESS_S)
            late_s += stream.last_delivery_at - self.scheduler.now
            self.scheduler.add(late_s, lambda: stream.on_event(stream.attempt_id, event))
        if not isinstance(event, Frame):
            self.agents[address].tables.bills.mark_delivered(stream.attempt_id)
            self._close(address, stream)

    def _schedule_event(self, stream: _Stream, event: RunEvent) -> None:
        """Schedule the delivery of an event, not before the stream's previous one."""
        at = max(stream.last_delivery_at, self.scheduler.now + self._sample_delay_s())
        stream.last_delivery_at = at
        delay_s = at - self.scheduler.now
        self.scheduler.add(delay_s, lambda: stream.on_event(stream.attempt_id, event))

    def _break_later(self, stream: _Stream, address: str) -> None:
        """Close a stream and report the break to the entry after all scheduled events."""
        if not stream.is_open:
            return
        self._close(address, stream)
        exc = RpcError("cut", step="run", peer=address)
        delay_s = max(0.0, stream.last_delivery_at - self.scheduler.now)
        delay_s += self.random_state.uniform(0.0, MAX_BREAK_DETECTION_S)
        self.scheduler.add(
            delay_s,
            lambda: stream.on_event(
                stream.attempt_id, make_broken_stream_event(stream.attempt_id, exc)
            ),
        )

    def _break(self, stream: _Stream, exc: RpcError) -> None:
        """Close a stream and report the break to the entry at once."""
        stream.is_open = False
        stream.on_event(stream.attempt_id, make_broken_stream_event(stream.attempt_id, exc))

    def _close(self, address: str, stream: _Stream) -> None:
        stream.is_open = False
        if stream in self._streams[address]:
            self._streams[address].remove(stream)
