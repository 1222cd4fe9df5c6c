"""Non-repeatable requests: each is sent at most once."""

from abc import ABC, abstractmethod

from crocusvalve.entry._attempts import AttemptRunner
from crocusvalve.entry._commands import StartAttempt

__all__ = ["OrderGate", "UnclaimedOrders"]


class OrderGate(ABC):
    """Stands between the core and the attempts of orders."""

    @abstractmethod
    async def start(self, cmd: StartAttempt) -> None:
        """Record an attempt, send it, and settle what became of it after a cut."""


class UnclaimedOrders(OrderGate):
    """Sends orders without a claim; for trials only."""

    def __init__(self, runner: AttemptRunner):
        self.runner = runner

    async def start(self, cmd: StartAttempt) -> None:
        """Send an attempt."""
        await self.runner.start(cmd)
