"""Steps of a change of primary: what its host is to do next."""

from dataclasses import dataclass

from ..identifiers import ServerId, Term


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestStatus:
    """Action: request the status of servers."""

    servers: tuple[ServerId, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Pause:
    """Action: pause replication at servers."""

    servers: tuple[ServerId, ...]
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class Resume:
    """Action: resume the target, which an earlier change has left paused."""

    server: ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class Secure:
    """Action: pause servers and request the status of others at the same time.

    A former primary is told to step down again, and so names what it still runs.
    """

    paused: tuple[ServerId, ...]
    term: Term
    asked: tuple[ServerId, ...]
    former: ServerId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Quiesce:
    """Action: have all hosts send nothing more to a primary that leads."""

    server: ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class Seal:
    """Action: have all hosts confirm that former primaries can't answer them.

    Servers are paused and asked beside it.
    """

    servers: tuple[ServerId, ...]
    beside: Secure


@dataclass(frozen=True, kw_only=True, slots=True)
class StepDown:
    """Action: make the primary a replica."""

    server: ServerId
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class AskOthers:
    """Action: have a silent primary step down through hosts that may reach it."""

    server: ServerId
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class Hold:
    """Action: keep commits from being acknowledged while a promotion is under way.

    Replication is paused at servers, and a primary that returned steps down. The
    promoted server is asked whether it leads once it should.
    """

    servers: tuple[ServerId, ...]
    primary: ServerId | None
    term: Term
    asked: ServerId | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ListServers:
    """Action: read the list of servers in the store anew."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordTarget:
    """Action: record in the lease who is to be promoted, and the floor of logs."""

    server: ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class Promote:
    """Action: request the promotion of a server from the platform.

    Servers whose pauses were not waited for any longer are named.
    """

    server: ServerId
    waived: tuple[ServerId, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """Action: wait, because no other step is possible yet."""

    why: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Abandon:
    """Action: abandon the change, because another server is the primary now."""

    leader: ServerId


Step = (
    RequestStatus
    | Pause
    | Resume
    | Secure
    | Quiesce
    | Seal
    | StepDown
    | AskOthers
    | Hold
    | ListServers
    | RecordTarget
    | Promote
    | Wait
    | Abandon
)
