"""Messages of a failover: actions for the services to perform, and servers' answers."""

from dataclasses import dataclass

from ..groups import LogPosition
from ..identifiers import ServerId, Term


@dataclass(frozen=True, kw_only=True, slots=True)
class Fence:
    """Action: ask a server to adopt a term."""

    server: ServerId
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class Promote:
    """Action: ask a fenced server to become primary."""

    server: ServerId
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class Follow:
    """Action: make a server replicate from a primary."""

    server: ServerId
    primary: ServerId
    term: Term


@dataclass(frozen=True, kw_only=True, slots=True)
class AskWitnesses:
    """Action: ask other hosts whether they can reach the primary."""

    server: ServerId


@dataclass(frozen=True, kw_only=True, slots=True)
class ReportStep:
    """Action: record a step for operators."""

    step: str
    detail: str


Action = Fence | Promote | Follow | AskWitnesses | ReportStep


@dataclass(frozen=True, kw_only=True, slots=True)
class FenceAnswer:
    """Message: a server's answer to a fence."""

    server: ServerId
    granted: bool
    term: Term
    end: LogPosition


@dataclass(frozen=True, kw_only=True, slots=True)
class PromoteAnswer:
    """Message: a server's answer to a promotion."""

    server: ServerId
    term: Term
    done: bool
