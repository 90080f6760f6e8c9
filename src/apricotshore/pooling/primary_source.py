"""Proofs of which server is the primary, where a replaced one may go on answering."""

from collections.abc import Awaitable
from dataclasses import dataclass
from typing import Protocol

from ..groups import LogPosition
from ..identifiers import ServerId


class PrimarySource(Protocol):
    """Source of proofs of a group's primary."""

    @property
    def heard_all(self) -> bool:
        """Whether no server was too busy to answer the last round."""

    @property
    def has_answers(self) -> bool:
        """Whether any server has answered the last round."""

    def prove(self, since: int) -> Awaitable[ServerId | None]:
        """Return the server that was primary at ``since``, None without a proof."""

    def sample(self) -> Awaitable[ServerId | None]:
        """Sample the primary's log position; return the primary, None without one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class BegunTransaction:
    """A transaction that a server began as the primary.

    Parameters
    ----------
    server
        The server.
    log_position
        End of its log.
    asked_at
        When it was asked, in milliseconds since boot.
    """

    server: ServerId
    log_position: LogPosition
    asked_at: int
