"""Rounds of confirmations in one change: all hosts send nothing more to a primary."""

import asyncio
from collections.abc import Callable

from ..decisions import change_attempt, commit_barrier
from ..decisions.barrier_report import BarrierReport
from ..decisions.change_attempt import Attempt
from ..decisions.lease import FormerPrimaries
from ..identifiers import FencingToken, ServerId
from ..services.clock import read_boot_ms
from .change_lease import ChangeLease
from .ports import StoreError
from .write_barrier import WriteBarrier


class ChangeRounds:
    """Asks all hosts for their confirmations in one change of primary.

    Parameters
    ----------
    lease
        The lease, which this host holds.
    barrier
        Has all hosts send nothing more to a primary.
    attempt
        The change, which learns what was confirmed.
    record
        Records a phase of the change.
    """

    def __init__(
        self,
        *,
        lease: ChangeLease,
        barrier: WriteBarrier,
        attempt: Attempt,
        record: Callable[..., None],
    ) -> None:
        self.lease = lease
        self.barrier = barrier
        self.attempt = attempt
        self.record = record
        # Round of confirmations that is under way.
        self.sealing: asyncio.Task[BarrierReport] | None = None
        self.sealing_since = 0

    async def quiesce(self, server: ServerId, token: FencingToken) -> None:
        """Have all hosts send nothing more to a primary that is to step down."""
        report = await self.barrier.quiesce(
            server, self.attempt.from_term, token, commit_barrier.QUIESCE_MS
        )
        change_attempt.observe_quiesced(self.attempt, report)

    async def seal(
        self, servers: tuple[ServerId, ...], token: FencingToken, is_named_late: bool
    ) -> None:
        """Have all hosts confirm that former primaries can't answer them.

        Parameters
        ----------
        servers
            The former primaries.
        token
            Fencing token of the change.
        is_named_late
            Whether the lease has named one of them only now.
        """
        is_early = self.sealing_since < self.attempt.stepped_down_at
        if self.sealing and (is_early or is_named_late):
            # A host that started before that may not have been listed.
            self.sealing.cancel()
            self.sealing = None
        self.begin_sealing(servers, token)
        if self.sealing is not None:
            self.attempt.barrier = await self.sealing
            self.sealing = None

    async def name_led(self, token: FencingToken) -> tuple[bool, FencingToken]:
        """Name servers in the lease that led since.

        Hosts that start read it there. One that names nobody stands for all servers.

        Returns
        -------
        tuple of bool and FencingToken
            Whether that was due, and the token of the lease from now on.
        """
        led = commit_barrier.list_led(self.attempt)
        named = self.lease.former.servers
        if not named or set(led) <= set(named):
            return False, token
        self.lease.name_former(
            FormerPrimaries(servers=led, term=self.attempt.from_term)
        )
        try:
            extended = await self.lease.extend()
        except StoreError as error:
            self.record("waiting", why=f"store: {error}")
            return True, token
        # Without a token the lease is lost, and no step follows.
        return True, extended or token

    def begin_sealing(self, servers: tuple[ServerId, ...], token: FencingToken) -> None:
        """Begin a round, unless one is under way or has ended."""
        if self.sealing is None and self.attempt.barrier is None:
            self.sealing_since = read_boot_ms()
            self.sealing = asyncio.get_running_loop().create_task(
                self.barrier.seal(
                    servers, self.attempt.from_term, token, commit_barrier.SEAL_MS
                )
            )

    async def reopen(self, token: FencingToken, is_settled: bool) -> None:
        """Have hosts send again to a primary that was not replaced, or leads again."""
        for server in commit_barrier.list_reopened(self.attempt, is_settled=is_settled):
            await self.barrier.reopen(server, self.attempt.from_term, token)
