"""Routing of requests from the entry host to the owner of their database."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from ..decisions import retry, throttle
from ..decisions.ownership import rank_hosts
from ..decisions.throttle import Throttle, ThrottleKey
from ..identifiers import DatabaseId, HostId
from ..requests import Action, Outcome, Request
from ..verdicts import Failure, Reason, Verdict
from .clock import read_monotonic_ms
from .members import MembershipService
from .peers import PeerLinks, PeerLostError, PeerUnreachableError

RETRY_PAUSE_S = 0.04
ANSWER_MARGIN_MS = 100
CANDIDATES = 3

_OVERLOADED = frozenset({Reason.OVERLOAD, Reason.DEADLINE})
_RETRYABLE = frozenset({Reason.NOT_OWNER, Reason.NO_PRIMARY, Reason.UNREACHABLE})


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """A host that is believed to own a database."""

    host: HostId
    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class RoutedOutcome:
    """An outcome and the host that returned it, None if no host did."""

    outcome: Outcome
    target: Target | None


async def _pause(deadline_at: int) -> None:
    """Wait before the next try, but not beyond the deadline."""
    left_s = max(deadline_at - read_monotonic_ms(), 0) / 1_000
    await asyncio.sleep(min(RETRY_PAUSE_S, left_s))


def _make_failure(verdict: Verdict, reason: Reason, detail: str) -> Outcome:
    failure = Failure(verdict=verdict, reason=reason, detail=detail)
    return Outcome(failure=failure)


class Router:
    """Forwards requests to the owners of their databases.

    Parameters
    ----------
    local_host
        This host.
    members, links
        Live hosts, and links to them.
    serve_locally
        Serves a request at this host.
    offer_locally
        Reports to this host that a database seems to have no owner.
    """

    def __init__(
        self,
        *,
        local_host: HostId,
        members: MembershipService,
        links: PeerLinks,
        serve_locally: Callable[[Request, HostId], Awaitable[Outcome]],
        offer_locally: Callable[[DatabaseId], None],
    ) -> None:
        self.local_host = local_host
        self.members = members
        self.links = links
        self.serve_locally = serve_locally
        self.offer_locally = offer_locally
        self.hints: dict[DatabaseId, Target] = {}
        self.retries = retry.RetryBudget()
        self.throttle = Throttle()

    async def route(self, request: Request, pinned: Target | None) -> RoutedOutcome:
        """Forward a request and return its outcome.

        Parameters
        ----------
        request
            The request.
        pinned
            Owner of the request's open transaction; None outside a transaction.

        Returns
        -------
        RoutedOutcome
            The outcome; never a redirect.
        """
        retry.deposit(self.retries)
        if pinned is not None:
            return await self._route_pinned(request, pinned)
        key = ThrottleKey(
            database=request.database, caller=request.caller, kind=request.kind
        )
        now = read_monotonic_ms()
        if not throttle.admit(self.throttle, key, random.random(), now):
            shed = _make_failure(
                Verdict.NOT_RUN, Reason.OVERLOAD, "refused at the entry host"
            )
            return RoutedOutcome(outcome=shed, target=None)
        routed = await self._route_to_owner(request)
        failure = routed.outcome.failure
        if failure is None or failure.reason not in _OVERLOADED:
            throttle.record_accepted(self.throttle, key, read_monotonic_ms())
        if self._is_unresolved(request, routed.outcome):
            return await self.resolve(request, routed)
        return routed

    def _is_unresolved(self, request: Request, outcome: Outcome) -> bool:
        failure = outcome.failure
        return (
            failure is not None
            and failure.verdict is Verdict.MAY_HAVE_RUN
            and bool(request.request_id)
            and request.action in (Action.WRITE, Action.COMMIT)
        )

    async def resolve(
        self, request: Request, unresolved: RoutedOutcome
    ) -> RoutedOutcome:
        """Resolve the unknown outcome of a request that has a request id."""
        resolve_request = replace(
            request,
            action=Action.RESOLVE,
            deadline_ms=request.resolve_ms,
            transaction=type(request.transaction)(""),
        )
        routed = await self._route_to_owner(resolve_request)
        failure = routed.outcome.failure
        # Any other failure is one of the resolve request itself and does not show
        # whether the original request ran.
        settled = failure is None or failure.reason is Reason.CANCELLED
        return routed if settled else unresolved

    async def _route_pinned(self, request: Request, pinned: Target) -> RoutedOutcome:
        commit = request.action is Action.COMMIT
        lost = Verdict.MAY_HAVE_RUN if commit else Verdict.NOT_RUN
        try:
            outcome = await self._send(pinned, request)
        except PeerUnreachableError:
            outcome = _make_failure(
                Verdict.NOT_RUN, Reason.TRANSACTION_LOST, "the transaction is lost"
            )
        except PeerLostError as error:
            outcome = _make_failure(lost, Reason.TRANSACTION_LOST, str(error))
        if outcome.redirect is not None:
            outcome = _make_failure(
                Verdict.NOT_RUN, Reason.TRANSACTION_LOST, "the owner has changed"
            )
        routed = RoutedOutcome(outcome=outcome, target=pinned)
        if self._is_unresolved(request, outcome):
            return await self.resolve(request, routed)
        return routed

    async def _route_to_owner(self, request: Request) -> RoutedOutcome:
        deadline_at = read_monotonic_ms() + request.deadline_ms
        last = _make_failure(
            Verdict.NOT_RUN, Reason.UNREACHABLE, "no owner was reached"
        )
        skip: set[HostId] = set()
        while (remaining_ms := deadline_at - read_monotonic_ms()) > 0:
            target = self._find_target(request.database, skip)
            if target is None:
                skip.clear()
                await _pause(deadline_at)
                continue
            timed = replace(request, deadline_ms=remaining_ms)
            try:
                outcome = await self._send(target, timed)
            except PeerUnreachableError:
                skip.add(target.host)
                await self._report_unreachable(request.database, target)
                continue
            except PeerLostError as error:
                skip.add(target.host)
                await self._report_unreachable(request.database, target)
                if request.action is Action.READ or self._may_repeat(request):
                    continue
                lost = _make_failure(
                    Verdict.MAY_HAVE_RUN, Reason.LOST_CONNECTION, str(error)
                )
                return RoutedOutcome(outcome=lost, target=target)
            if outcome.redirect is not None:
                self._follow_redirect(request.database, outcome)
                skip.clear()
                await asyncio.sleep(0)
                continue
            failure = outcome.failure
            if failure is None or not self._may_retry(request, failure):
                self.hints[request.database] = target
                return RoutedOutcome(outcome=outcome, target=target)
            last = outcome
            self.hints.pop(request.database, None)
            if failure.reason is Reason.NOT_OWNER:
                skip.add(target.host)
            await _pause(deadline_at)
        return RoutedOutcome(outcome=last, target=None)

    def _may_repeat(self, request: Request) -> bool:
        if request.action in (Action.RESOLVE, Action.BEGIN):
            # A transaction whose BEGIN got no reply is rolled back by the owner.
            return True
        idempotent = request.idempotent and request.action is Action.WRITE
        return idempotent and retry.withdraw(self.retries)

    def _may_retry(self, request: Request, failure: Failure) -> bool:
        if failure.verdict is Verdict.NOT_RUN:
            return failure.reason in _RETRYABLE
        reads = request.action in (Action.READ, Action.RESOLVE)
        return reads and failure.verdict is Verdict.MAY_HAVE_RUN

    def _follow_redirect(self, database: DatabaseId, outcome: Outcome) -> None:
        redirect = outcome.redirect
        if redirect is None:
            return
        self.hints[database] = Target(host=redirect.host, address=redirect.address)

    def _find_target(self, database: DatabaseId, skip: set[HostId]) -> Target | None:
        hint = self.hints.get(database)
        if hint is not None and hint.host not in skip:
            return hint
        for host in rank_hosts(self.members.get_ring(), database, CANDIDATES):
            member = self.members.find(host)
            if host not in skip and member is not None:
                return Target(host=host, address=member.address)
        return None

    async def _report_unreachable(self, database: DatabaseId, target: Target) -> None:
        hint = self.hints.get(database)
        if hint is not None and hint.host == target.host:
            del self.hints[database]
        for host in rank_hosts(self.members.get_ring(), database, CANDIDATES):
            member = self.members.find(host)
            if host == self.local_host:
                self.offer_locally(database)
            elif host != target.host and member is not None:
                try:
                    await self.links.offer_database(member.address, database)
                except (PeerUnreachableError, PeerLostError):
                    continue
            else:
                continue
            break
        await asyncio.sleep(RETRY_PAUSE_S)

    async def _send(self, target: Target, request: Request) -> Outcome:
        if target.host == self.local_host:
            return await self.serve_locally(request, self.local_host)
        timeout_s = (request.deadline_ms + ANSWER_MARGIN_MS) / 1000
        return await self.links.execute(target.address, request, timeout_s)
