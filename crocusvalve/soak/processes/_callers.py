"""Callers of a soak, which reuse connections and sometimes leave before the answer."""

import random
import uuid

import trio

from crocusvalve.soak.processes._checker import GuaranteeChecker
from crocusvalve.soak.processes._cluster import CUSTOMERS, SoakCluster
from crocusvalve.soak.processes.base import Attempt, CallKind
from crocusvalve.standin import CallerRequest, StandinCaller

__all__ = ["SoakCaller"]

#: Deadlines of requests, by whether the answer is a stream.
REQUEST_DEADLINES_S = {True: 6.0, False: 4.0}
#: Mean pause between two requests of a caller.
MEAN_PAUSE_S = 0.08
#: Pause before a caller connects again after it failed to connect or got no answer.
RETRY_PAUSE_S = 0.05
CONNECT_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 20_000
MAX_REQUESTS_PER_CONNECTION = 40
#: Probability that a caller leaves early, and the longest time that it then waits.
LEAVE_PROBABILITY = 0.06
MAX_WAIT_BEFORE_LEAVING_S = 0.3
#: Probability that a stream's prompt has the part that crashes upstreams, while there is one.
CRASH_PART_PROBABILITY = 0.2
#: Probability that a request is the one that crashes upstreams, while there is one.
CRASH_TARGET_PROBABILITY = 0.02
#: Probability that a caller waits longer between two requests, and that it then waits for as long
#: as the gateway does, so that its request crosses the close of the connection.
WAIT_PROBABILITY = 0.04
CROSS_PROBABILITY = 0.3
#: Longest wait between two requests, as a fraction of the gateways' limit, and the range around the
#: limit for a request that crosses the close.
IDLE_FRACTION = 0.8
CROSS_RANGE_S = (-0.02, 0.02)
#: Probability that a caller keeps its connection until the gateway closes it.
KEEP_PROBABILITY = 0.5
#: A caller continues to read for this long after its deadline, to detect late answers.
EXTRA_READ_S = 1.0


class SoakCaller:
    """One caller, which sends random requests to the gateways.

    Parameters
    ----------
    cluster : SoakCluster
        Cluster whose gateways it calls.
    checker : GuaranteeChecker
        Receives each request and its outcome.
    random_state : random.Random
        Source of randomness.
    """

    def __init__(
        self, cluster: SoakCluster, checker: GuaranteeChecker, random_state: random.Random
    ):
        self.cluster = cluster
        self.checker = checker
        self.random_state = random_state

    async def run(self) -> None:
        """Connect and send requests until cancelled."""
        while True:
            gateway = self.cluster.choose_gateway()
            caller = None
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                try:
                    caller = await StandinCaller.connect(gateway.front.host, gateway.front.port)
                except OSError:
                    # The gateway doesn't listen; another one is tried after a pause.
                    pass
            is_answered = False
            if caller is not None:
                try:
                    is_answered = await self._send_requests(caller, gateway.name)
                finally:
                    await caller.close()
            if not is_answered:
                await trio.sleep(RETRY_PAUSE_S)

    async def _send_requests(self, caller: StandinCaller, gateway: str) -> bool:
        """Send requests on a connection until it ends, or up to a random number of them.

        Returns whether the last one got an answer, so that a caller without one waits a little.
        """
        n_requests = self.random_state.randint(1, MAX_REQUESTS_PER_CONNECTION)
        is_kept = self.random_state.random() < KEEP_PROBABILITY
        while is_kept or n_requests > 0:
            n_requests -= 1
            attempt = self._make_attempt(gateway)
            self.checker.record_request(attempt)
            is_open = False
            with trio.move_on_after(attempt.req.deadline_s + EXTRA_READ_S) as scope:
                if self.random_state.random() < LEAVE_PROBABILITY:
                    scope.deadline = trio.current_time() + self.random_state.uniform(
                        0, MAX_WAIT_BEFORE_LEAVING_S
                    )
                try:
                    await caller.send(attempt.req)
                    attempt.whole_at = self.checker.clock()
                    is_open = await caller.read(attempt.answer)
                except trio.BrokenResourceError:
                    # The connection was closed before the complete request was sent.
                    pass
            if scope.cancelled_caught:
                await caller.close()
                attempt.left_at = self.checker.clock()
            self.checker.record_end(attempt)
            if not is_open or scope.cancelled_caught:
                return attempt.answer.status > 0
            await trio.sleep(self._sample_pause_s())
        return True

    def _sample_pause_s(self) -> float:
        """Return the time until the next request on the connection.

        A long wait goes by the limit in force at its beginning, which may change meanwhile.
        """
        rng, limit_s = self.random_state, self.cluster.idle_timeout_s
        if rng.random() >= WAIT_PROBABILITY:
            return rng.uniform(0.0, 2 * MEAN_PAUSE_S)
        if rng.random() < CROSS_PROBABILITY:
            return limit_s + rng.uniform(*CROSS_RANGE_S)
        return rng.uniform(0.0, IDLE_FRACTION * limit_s)

    def _choose_prompt_parts(self, attempt_id: str) -> tuple[str, ...]:
        """Return the parts of a prompt: a shared one, one of a few documents, and its own."""
        document = f"d0c{self.random_state.randrange(4)}"
        crash_part = self.cluster.crash_part
        if crash_part and self.random_state.random() < CRASH_PART_PROBABILITY:
            document = crash_part
        return ("5c1e07a2", document, attempt_id[:8])

    def _make_attempt(self, gateway: str) -> Attempt:
        """Return a request of random kind, customer and body size, not sent yet."""
        kind = self.random_state.choice(list(CallKind))
        key = self.random_state.choice(sorted(CUSTOMERS))
        attempt_id = uuid.UUID(int=self.random_state.getrandbits(128)).hex[:16]
        size = self.random_state.choice((0, 10, self.random_state.randint(0, MAX_BODY_BYTES)))
        path = f"/{kind.value}/{attempt_id}?a=1"
        crash_target = self.cluster.crash_target
        if crash_target and self.random_state.random() < CRASH_TARGET_PROBABILITY:
            # The same customer and body each time, so that all gateways see one request.
            kind, key, size, path = CallKind.STREAM, min(CUSTOMERS), 0, crash_target
        req = CallerRequest(
            method="GET" if kind is CallKind.SAFE else "POST",
            path=path,
            attempt_id=attempt_id,
            key=key,
            deadline_s=REQUEST_DEADLINES_S[kind.is_stream],
            body=b"" if kind is CallKind.SAFE else self.random_state.randbytes(size),
            is_stream=kind.is_stream,
            prompt_parts=self._choose_prompt_parts(attempt_id),
        )
        return Attempt(
            req=req,
            kind=kind,
            customer=CUSTOMERS[key],
            gateway=gateway,
            sent_at=self.checker.clock(),
        )
