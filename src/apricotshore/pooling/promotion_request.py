"""Request for a promotion, made beside the commands of a change of primary."""

import asyncio

from ..decisions.change_attempt import Attempt
from ..decisions.order_effect import is_without_effect
from ..identifiers import FencingToken, HostId, ServerId
from ..services.clock import read_boot_ms
from .change_phases import format_position, record_phase, record_settled
from .group import Group
from .ports import Promoter, StoreError


class PromotionRequest:
    """Requests one server's promotion, again until the platform has accepted it.

    Parameters
    ----------
    group
        The group.
    host
        This host.
    promoter
        The platform's promotion API.
    attempt
        The change, which learns what was requested and accepted.
    """

    def __init__(
        self, *, group: Group, host: HostId, promoter: Promoter, attempt: Attempt
    ) -> None:
        self.group = group
        self.host = host
        self.promoter = promoter
        self.attempt = attempt
        # When it was first requested, or taken over, in milliseconds since boot.
        self.made_at = 0 if attempt.requested is None else read_boot_ms()
        # Log position that the server had when it was last requested.
        self.mark = ""
        # Whether an earlier request may still take effect.
        self.is_repeated = False
        # Requests without an answer, which may be carried out at any time.
        self.unanswered = 0
        self.call: asyncio.Task[bool | None] | None = None

    async def make(self, server: ServerId, token: FencingToken, wait_s: float) -> None:
        """Begin a request, and wait for its answer for a moment."""
        attempt = self.attempt
        status = attempt.statuses.get(server)
        self.mark = format_position(status.log_position) if status is not None else ""
        self._record("promoting", server=server, token=token, mark=self.mark)
        self.made_at = self.made_at or read_boot_ms()
        self.is_repeated = attempt.requested is not None
        attempt.requested = server
        attempt.is_ordered = True
        attempt.is_requesting = True
        self.call = asyncio.get_running_loop().create_task(self._call(server, token))
        await asyncio.wait({self.call}, timeout=wait_s)

    async def _call(self, server: ServerId, token: FencingToken) -> bool | None:
        """Call the platform; return whether it accepted, None if that is unknown."""
        self.unanswered += 1
        try:
            accepted = await self.promoter.promote(
                self.group.group, server, self.host, token
            )
        except StoreError as error:
            self._record("promotion-unknown", server=server, why=str(error))
            return None
        self.unanswered -= 1
        return accepted

    def observe(self) -> bool:
        """Take the answer if there is one; return False if the change has to end.

        Without an answer the promotion may still take effect: the others are held
        until that is known. A refusal then doesn't take the earlier request back.
        """
        if self.call is None or not self.call.done():
            return True
        accepted, self.call = self.call.result(), None
        attempt = self.attempt
        attempt.is_requesting = False
        if accepted is not False:
            attempt.accepted = bool(accepted)
            attempt.accepted_at = read_boot_ms() if accepted else None
            attempt.held = attempt.held and attempt.accepted
            return True
        server = attempt.requested
        self._record("promotion-refused", server=server)
        if self.is_repeated:
            # The earlier request may have been accepted.
            attempt.refused_at = read_boot_ms()
            return True
        assert server is not None
        attempt.requested = None
        attempt.rejected.add(server)
        attempt.target = None
        return True

    def is_settled(self) -> bool:
        """Return whether the server whose promotion was requested leads now."""
        primary_state = self.group.primary_state
        return (
            primary_state.primary == self.attempt.requested
            and primary_state.confirmed_at >= self.made_at
        )

    def has_no_effect(self) -> bool:
        """Return whether the promotion was accepted, and can't take effect any more.

        Without a prover the platform checks tokens; otherwise a request of an earlier
        change may still be accepted.
        """
        if self.group.prover is not None or self.is_settled():
            return False
        return is_without_effect(self.attempt, self.unanswered, read_boot_ms())

    def record_settled(self) -> None:
        """Record where the log of the promoted server stood when it led."""
        if self.attempt.requested is not None and self.is_settled():
            record_settled(self.group, self.mark, self.made_at)

    def _record(self, phase: str, **details: object) -> None:
        record_phase(self.group, phase, **details)
