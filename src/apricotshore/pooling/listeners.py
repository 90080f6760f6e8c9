"""Callbacks of the listeners for callers and for other hosts."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from ..identifiers import DatabaseId, GroupId, KeyDigest, OrganisationId, ServerId
from ..organisations import Admission
from ..queries import FailureCode
from .ports import CallerLink, HostLink, QuiesceReply, QuiesceRequest

Serve = Callable[[Admission, CallerLink], Awaitable[None]]
Admit = Callable[[DatabaseId, KeyDigest | None], Awaitable[Admission | FailureCode]]
ServeHost = Callable[
    [GroupId, ServerId, OrganisationId | None, HostLink], Awaitable[None]
]
AdmitHost = Callable[[GroupId, ServerId, OrganisationId | None], FailureCode | None]
Quiesce = Callable[[QuiesceRequest], Awaitable[QuiesceReply]]
# Answers one line of another host with one line; None closes its connection.
AnswerLine = Callable[[str], Awaitable[str | None]]


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerHandler:
    """Callbacks of the listener for callers.

    Parameters
    ----------
    admit
        Returns the admission of a caller to a database by the digest of its key, None
        if it presented none, or why it is refused.
    serve
        Serves one caller until it disconnects.
    """

    admit: Admit
    serve: Serve


@dataclass(frozen=True, kw_only=True, slots=True)
class HostHandler:
    """Callbacks of the listener for other hosts.

    Parameters
    ----------
    admit
        Returns why a server is not reached through this host for an organisation, None
        if it is. Without an organisation it is for other callers and for the proxy.
    serve
        Serves one connection until the other host disconnects.
    quiesce
        Sends nothing more to a server, and confirms it.
    questions
        Answers to the other questions of hosts, by the first word of the line. A host
        may ask many on one connection, one after the other.
    """

    admit: AdmitHost
    serve: ServeHost
    quiesce: Quiesce
    questions: Mapping[str, AnswerLine] = field(default_factory=dict)
