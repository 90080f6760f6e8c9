"""Rate limits at one host: its tokens, its allocator, and itself as an allocator."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from ..decisions.relays import ListedHost
from ..identifiers import HostId, OrganisationId, StoreEra
from ..rate_decisions import ADMITTED, Limited, RateDecision
from .allocator import Allocator, answer
from .budget import Budget, find_interval_ms, find_validity_ms
from .choice import (
    FAILURES,
    QUARANTINE_VALIDITIES,
    Choice,
    choose_allocator,
    choose_stamp,
    observe_failure,
    observe_reply,
)
from .holdings import (
    Holdings,
    find_holding,
    list_demands,
    observe_arrival,
    refuse,
    take_grant,
    take_token,
)
from .messages import TokensReply, TokensRequest
from .roster import Roster, observe_hosts, settle

# Failures of two allocators.
CUT_OFF_FAILURES = 2 * FAILURES


@dataclass(frozen=True, kw_only=True, slots=True)
class Ask:
    """A request that is being sent.

    Parameters
    ----------
    allocator
        Host that is asked; it may be this one.
    request
        The request.
    sent_at
        When it was made, in milliseconds since boot.
    roster_changes
        Changes of this host's list at that time.
    """

    allocator: HostId
    request: TokensRequest
    sent_at: int
    roster_changes: int


@dataclass(kw_only=True, slots=True)
class HostLimits:
    """State of the rate limits at one host.

    Parameters
    ----------
    host, process
        This host, and the random number of its process.
    started_at
        When this process began, in milliseconds since boot.
    budgets
        Buckets of the organisations with a rate limit.
    hosts
        The listed hosts.
    roster
        What this host knows of the fleet.
    choice
        Its allocator.
    holdings
        Its tokens.
    allocator
        This host as an allocator.
    replied_at
        When the last reply came, in milliseconds since boot.
    failures
        Requests since the last reply that had none.
    """

    host: HostId
    process: int
    started_at: int
    budgets: dict[OrganisationId, Budget] = field(default_factory=dict)
    hosts: dict[HostId, ListedHost] = field(default_factory=dict)
    roster: Roster = field(init=False)
    choice: Choice = field(init=False)
    holdings: Holdings = field(default_factory=Holdings)
    allocator: Allocator = field(init=False)
    replied_at: int = 0
    failures: int = 0

    def __post_init__(self) -> None:
        """Make what depends on the host's name and process."""
        self.roster = Roster(local_host=self.host, process=self.process)
        self.choice = Choice(local_host=self.host)
        self.allocator = Allocator(epoch=self.process)

    @property
    def interval_ms(self) -> int:
        """Time between two reports."""
        return find_interval_ms(len(self.roster.hosts))

    @property
    def is_cut_off(self) -> bool:
        """Whether operations don't wait for a reply any more."""
        return self.failures >= CUT_OFF_FAILURES

    @property
    def validity_ms(self) -> int:
        """Validity of leases in a fleet of the known size."""
        return find_validity_ms(len(self.roster.hosts))


def update_hosts(
    limits: HostLimits, hosts: Iterable[ListedHost], era: StoreEra | None, now: int
) -> None:
    """Take over a list of the store."""
    limits.hosts = {h.host: h for h in hosts}
    processes = {h.host: h.process for h in limits.hosts.values()}
    observe_hosts(limits.roster, processes, era, now)
    outages = limits.choice.outages
    for host in outages.keys() - limits.hosts.keys():
        del outages[host]
    if limits.choice.home is None:
        # An earlier process of this host may still be counted.
        quarantine_ms = QUARANTINE_VALIDITIES * limits.validity_ms
        limits.choice.free_at = limits.started_at + quarantine_ms


def try_admit(
    limits: HostLimits, organisation: OrganisationId, now: int
) -> RateDecision | None:
    """Return whether an operation may be forwarded, None if a request decides."""
    if organisation not in limits.budgets:
        return ADMITTED
    holding = find_holding(limits.holdings, organisation, now)
    observe_arrival(holding, now)
    if take_token(holding, now):
        return ADMITTED
    if now < holding.short_until or limits.is_cut_off:
        return refuse_now(limits, organisation, now)
    return None


def try_take(
    limits: HostLimits, organisation: OrganisationId, now: int
) -> RateDecision | None:
    """Return whether an operation that waited may be forwarded, None to wait on."""
    if organisation not in limits.budgets:
        return ADMITTED
    holding = find_holding(limits.holdings, organisation, now)
    if take_token(holding, now):
        return ADMITTED
    if now < holding.short_until or limits.is_cut_off:
        return refuse_now(limits, organisation, now)
    return None


def refuse_now(limits: HostLimits, organisation: OrganisationId, now: int) -> Limited:
    """Reject an operation."""
    holding = find_holding(limits.holdings, organisation, now)
    least_ms = 0 if now < holding.short_until else limits.interval_ms
    return refuse(holding, least_ms, now)


def change_waiting(
    limits: HostLimits, organisation: OrganisationId, change: int, now: int
) -> None:
    """Count an operation that begins or ends to wait for a reply."""
    find_holding(limits.holdings, organisation, now).waiting += change


def make_ask(limits: HostLimits, now: int) -> Ask:
    """Return the next request, and whom to send it to."""
    allocator = choose_allocator(limits.choice, limits.hosts.values(), now)
    roster = limits.roster
    request = TokensRequest(
        host=limits.host,
        process=limits.process,
        hosts=len(roster.hosts) if roster.is_listed else 0,
        digest=roster.digest,
        settled=roster.is_settled,
        stamp=choose_stamp(limits.choice, allocator, now),
        demands=list_demands(limits.holdings, limits.interval_ms, now),
    )
    return Ask(
        allocator=allocator,
        request=request,
        sent_at=now,
        roster_changes=roster.changes,
    )


def take_reply(limits: HostLimits, ask: Ask, reply: TokensReply, now: int) -> bool:
    """Take over a reply; return whether the next request is due at once.

    That is so where an allocator has still to count this host, or another allocator
    is to be asked.
    """
    found = observe_reply(limits.choice, ask.allocator, reply, limits.hosts, now)
    limits.replied_at = now
    limits.failures = 0
    if reply.settled and limits.roster.changes == ask.roster_changes:
        settle(limits.roster)
    expires_at = ask.sent_at + reply.validity_ms
    for grant in reply.grants:
        holding = find_holding(limits.holdings, grant.organisation, now)
        take_grant(holding, grant, expires_at, now)
    home = (ask.allocator, reply.stamp.epoch)
    is_free = home == limits.choice.home or now >= limits.choice.free_at
    return found or (ask.request.stamp is None and is_free)


def make_reply(limits: HostLimits, request: TokensRequest, now: int) -> TokensReply:
    """Answer a host as its allocator."""
    reply = answer(limits.allocator, limits.roster, limits.budgets, request, now)
    leader = limits.choice.leader
    if reply.leading or leader in (None, limits.host, request.host):
        return reply
    return replace(reply, referral=leader)


def take_failure(limits: HostLimits, ask: Ask, now: int) -> None:
    """Record a request without a reply."""
    limits.failures += 1
    observe_failure(limits.choice, ask.allocator, now)
