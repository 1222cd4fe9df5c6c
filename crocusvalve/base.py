"""Identifiers, states and abstract base classes shared by every package.

All instants are Unix time in seconds (``float``) and are passed in by the caller; the code that
makes decisions never reads a clock. Durations carry their unit in the name.
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

#: Member: a party with its own section of the configuration document.
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
#: One execution of a request on one upstream.
AttemptId = NewType("AttemptId", str)
SessionId = NewType("SessionId", str)
#: Process of this system, such as an entry or an agent.
NodeId = NewType("NodeId", str)
#: Identity of one run of one process; new at every start.
BootId = NewType("BootId", str)
#: Id of a write to the store, by which the store recognises a repeated write.
WriteId = NewType("WriteId", str)
#: Number of an accepted configuration; it only increases.
Revision = NewType("Revision", int)


class ClassKind(Enum):
    """How the requests of a class are handled; those of an ``ORDER`` class run at most once."""

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
    """Whether a refused or failed request was executed on an upstream."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RequestState(Enum):
    """State of a request at the entry that accepted it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class AttemptState(Enum):
    """State of one attempt, at the entry that started it and at the upstream's agent."""

    STARTING = "starting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    FENCED = "fenced"
    CANCELLED = "cancelled"


class UpstreamKind(Enum):
    """Kind of server behind an agent: an inference engine or a plain HTTP service."""

    ENGINE = "engine"
    PLAIN = "plain"


class UpstreamState(Enum):
    """State of an upstream as its agent reports it; entries mark silent ones as down."""

    COLD = "cold"
    WARM = "warm"
    DRAINING = "draining"
    DOWN = "down"


class DomainState(Enum):
    """Whether the operators allow new work on a failure domain (``IN``) or not (``OUT``)."""

    IN = "in"
    OUT = "out"


class VersionState(Enum):
    """Whether a version of a model accepts new requests."""

    ACTIVE = "active"
    WITHDRAWN = "withdrawn"


class RolloutState(Enum):
    """State of the roll-out of a version."""

    RUNNING = "running"
    COMPLETE = "complete"
    WITHDRAWN = "withdrawn"


class Command:
    """Base class of commands, which systems return and the runtime (the I/O layer) executes."""

    __slots__ = ()


class System(ABC):
    """Decision logic that runs over the tables at each tick and returns commands.

    Systems use no clock, socket or task; their state is stored in the tables.
    """

    @abstractmethod
    def run(self, tables: Any, now: float) -> list[Command]:
        """Process the tables once and return the resulting commands.

        Parameters
        ----------
        tables : Any
            The tables of the process that runs the system.
        now : float
            Present Unix time in seconds.

        Returns
        -------
        list of Command
            Commands for the runtime to execute, in order.
        """
