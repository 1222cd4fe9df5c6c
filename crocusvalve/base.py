"""Identifiers, states and abstract contracts shared by every package.

All instants are Unix time in seconds (``float``) and are passed in by the caller; no function that
decides reads a clock. Durations carry their unit in the name.
"""

from abc import ABC, abstractmethod
from enum import Enum, IntEnum
from typing import Any, NewType

__all__ = [
    "AttemptId",
    "AttemptState",
    "BootId",
    "ClassKind",
    "ClassName",
    "Command",
    "CustomerId",
    "DomainId",
    "DomainState",
    "MemberId",
    "ModelRef",
    "NodeId",
    "Priority",
    "ExecutionStatus",
    "RequestId",
    "RequestState",
    "Revision",
    "RolloutState",
    "SessionId",
    "System",
    "UpstreamId",
    "UpstreamKind",
    "UpstreamState",
    "VersionRef",
    "VersionState",
    "WriteId",
]

MemberId = NewType("MemberId", str)
#: Customer, written ``member/customer``.
CustomerId = NewType("CustomerId", str)
#: Class of request, unique within a member.
ClassName = NewType("ClassName", str)
#: Model, written ``member/model``.
ModelRef = NewType("ModelRef", str)
#: Version of a model, written ``member/model@version``.
VersionRef = NewType("VersionRef", str)
#: Upstream, written ``member/upstream``.
UpstreamId = NewType("UpstreamId", str)
#: Failure domain, written ``member/domain``.
DomainId = NewType("DomainId", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
SessionId = NewType("SessionId", str)
NodeId = NewType("NodeId", str)
#: Identity of one run of one process; new at every start.
BootId = NewType("BootId", str)
WriteId = NewType("WriteId", str)
#: Number of an accepted configuration; only rises.
Revision = NewType("Revision", int)


class ClassKind(Enum):
    """How a class of request is honoured."""

    LOOKUP = "lookup"
    ANSWER = "answer"
    DURABLE = "durable"
    ORDER = "order"


class Priority(IntEnum):
    """Order of service in a queue; a lower number is served first."""

    URGENT = 0
    NORMAL = 1
    BATCH = 2


class ExecutionStatus(Enum):
    """Whether a refused request ran on an upstream."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RequestState(Enum):
    """State of a request at its entry."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class AttemptState(Enum):
    """State of one attempt, at its entry and at its agent."""

    STARTING = "starting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    FENCED = "fenced"
    CANCELLED = "cancelled"


class UpstreamKind(Enum):
    """What stands behind an agent."""

    ENGINE = "engine"
    PLAIN = "plain"


class UpstreamState(Enum):
    """State of an upstream as its agent reports it."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"
    DOWN = "down"


class DomainState(Enum):
    """Whether operators let a failure domain take new work."""

    IN = "in"
    OUT = "out"


class VersionState(Enum):
    """Whether a version may take new work."""

    ACTIVE = "active"
    WITHDRAWN = "withdrawn"


class RolloutState(Enum):
    """State of a roll-out of a version."""

    RUNNING = "running"
    COMPLETE = "complete"
    WITHDRAWN = "withdrawn"


class Command:
    """Base of the commands that systems emit and the shell carries out."""

    __slots__ = ()


class System(ABC):
    """A rule that runs over tables each tick and emits commands.

    Systems hold no clock, no socket and no task; what they remember stands in the tables.
    """

    @abstractmethod
    def run(self, tables: Any, now: float) -> list[Command]:
        """Run once over the tables.

        Parameters
        ----------
        tables : Any
            The tables of the process that runs the system.
        now : float
            Present Unix time in seconds.

        Returns
        -------
        list of Command
            What the shell is to do, in order.
        """
