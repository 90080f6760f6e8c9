"""Reasons of changes of primary: what they rest on, and whether they still hold."""

import asyncio

from ..decisions import change_triggers, silence_checks
from ..decisions.change_attempt import Attempt
from ..decisions.change_triggers import ChangeConditions
from ..decisions.lease import FormerPrimaries
from ..decisions.log_floor import COPIES_PER_COMMIT
from ..decisions.silence_checks import LongSilence
from ..identifiers import ServerId
from ..services.clock import read_boot_ms
from .change_lease import ChangeLease
from .group import Group
from .primary_prover import is_answer, probe_server
from .silence_checker import SilenceChecker
from .supervision import end_tasks

# Reasons that another host's change may have ended while this host took the lease.
PASSING_REASONS = ("headless", "leaving")
# Time for the servers to say who leads once the lease is held: an answer, or a round
# of questions that waits for a silent primary.
ANSWERS_MS = 300
ROUND_MS = 700


class ChangeReasons:
    """Finds why the primary of one group is to be replaced.

    Parameters
    ----------
    group
        The group.
    lease
        The lease on its change of primary.
    silence
        Asks other hosts about a silent primary.
    """

    def __init__(
        self, *, group: Group, lease: ChangeLease, silence: SilenceChecker
    ) -> None:
        self.group = group
        self.lease = lease
        self.silence = silence
        self.long_silence = LongSilence()

    def observe_silence(self) -> None:
        """Record that the primary is silent, if it is for too long."""
        state = self.group.primary_state
        silence_checks.observe_silence(
            self.long_silence, state.primary, state.silent_since, read_boot_ms()
        )

    def observe_conditions(self) -> ChangeConditions:
        """Return what this host observes of the primary now."""
        group = self.group
        if len(group.members.counted) < COPIES_PER_COMMIT:
            return ChangeConditions()
        return ChangeConditions(
            leaving_since=group.leaving_since,
            silent_since=self.silence.silent_since,
            stalled_since=group.writes.find_stall(group.primary_state.found_at),
            no_primary_since=group.no_primary_since,
            found_at=group.primary_state.found_at,
        )

    def is_needed(self, reason: str) -> bool:
        """Return whether a change that was begun for a reason is still to be made."""
        conditions = self.observe_conditions()
        begun = {
            "leaving": conditions.leaving_since,
            "silent": conditions.silent_since,
        }
        if reason in begun:
            # One that steps down, or returns as a replica, leads no more.
            return (begun[reason], conditions.no_primary_since) != (None, None)
        if reason == "headless":
            return conditions.no_primary_since is not None
        if reason == "unfinished":
            return self.lease.target is not None or any(
                since is not None
                for since in (
                    conditions.leaving_since,
                    conditions.silent_since,
                    conditions.no_primary_since,
                )
            )
        return True

    async def confirm(self, reason: str) -> bool:
        """Return whether the reason still holds by answers since the lease is held.

        A change that another host left is finished in any case, and one that no server
        answers asks them again. Another host may have reached a silent primary.
        """
        if self.lease.target is not None:
            return True
        if reason == "silent":
            conditions = self.observe_conditions()
            return change_triggers.is_still_missed(conditions, read_boot_ms())
        if reason not in PASSING_REASONS:
            return True
        return not await self._ask_anew() or self.is_needed(reason)

    async def find_leader(self) -> ServerId | None:
        """Ask the servers who leads; return the one that proves to."""
        asked_at = read_boot_ms()
        await self._ask_anew()
        state = self.group.primary_state
        is_proven = state.confirmed_at >= asked_at and state.silent_since is None
        return state.primary if is_proven else None

    async def _ask_anew(self) -> bool:
        """Ask the servers who leads; return whether any has answered in time."""
        group = self.group
        if group.prover is not None:
            try:
                async with asyncio.timeout(ROUND_MS / 1000):
                    await group.prover.sample()
            except TimeoutError:
                return False
            return group.prover.has_answers
        questions = [
            asyncio.create_task(probe_server(group, pool))
            for pool in group.pools.values()
        ]
        if not questions:
            return False
        done, waiting = await asyncio.wait(questions, timeout=ANSWERS_MS / 1000)
        await end_tasks(*waiting)
        return any(is_answer(question.result()) for question in done)

    def find_former(self) -> FormerPrimaries:
        """Return the primary that a change would replace, as far as it is known."""
        primary_state = self.group.primary_state
        primary = self.group.primary or primary_state.primary
        if primary is None:
            return FormerPrimaries()
        return FormerPrimaries(servers=(primary,), term=primary_state.term)

    def make_attempt(self, reason: str, began: int) -> Attempt:
        """Return the state of a change that begins, under the lease."""
        primary_state = self.group.primary_state
        replaced = self.group.primary or primary_state.primary
        inherited = self.lease.target
        returns_often = reason == "silent" and silence_checks.returns_often(
            self.long_silence
        )
        return Attempt(
            from_term=primary_state.term,
            started_at=began,
            floor=self.lease.floor,
            replaced=replaced,
            inherited=inherited,
            requested=inherited,
            target=inherited,
            recorded=inherited,
            must_step_down=reason in ("leaving", "stalled")
            or returns_often
            or inherited not in (None, replaced),
            is_silent=reason == "silent",
            returns_often=returns_often,
            is_cut_off=reason == "stalled",
        )
