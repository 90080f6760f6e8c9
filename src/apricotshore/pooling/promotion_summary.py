"""Promotions that a host ordered, as their summaries tell them."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from ..decisions.change_attempt import Attempt
from ..decisions.change_members import log_order
from ..decisions.commit_barrier import BarrierProof
from ..groups import LogPosition
from ..identifiers import GroupId, Position, ServerId, Term

# Promotions that each group remembers, and that a host writes again as it stops.
MAX_KEPT = 4
SETTLED = "settled"
OPEN = "open"
REFUSED = "refused"
# What a promotion relies on that only raises the token of the server that leads.
FENCE = "fence"


class EndSource(Enum):
    """How the end of a log is known, as the mark between a server and its end."""

    STATED = "@"
    OTHERS = "~"
    UNKNOWN = "?"
    # Stated between the order and the effect.
    LATER = "*"
    # Of a server that is not paused.
    NOT_PAUSED = "!"


@dataclass(frozen=True, kw_only=True, slots=True)
class LogEnd:
    """End of a server's log when a promotion was ordered.

    Parameters
    ----------
    server
        The server, None if nobody is known to have led.
    end
        End of its log, None if it isn't known.
    source
        How it is known.
    """

    server: ServerId | None
    end: LogPosition | None = None
    source: EndSource = EndSource.UNKNOWN


@dataclass(frozen=True, kw_only=True, slots=True)
class Promotion:
    """One promotion that this host ordered.

    Parameters
    ----------
    group
        The group.
    target, former
        Ends of the logs of the server to be promoted and of the one that it replaces.
    proof
        What showed that the former primary can acknowledge nothing any more.
    others
        Ends of the logs of the other servers.
    reason
        Reason of the change.
    ordered_at
        When the first order was made, in milliseconds since boot.
    order_ms, effect_ms
        Time from the start of the change to that order, and from there until the
        server was seen to lead, None if it wasn't.
    orders
        Number of orders.
    outcome
        How the change ended.
    short
        Entries that the target's log lacked of an end that was known, 0 in good order.
    """

    group: GroupId
    target: LogEnd
    former: LogEnd
    proof: str
    others: tuple[LogEnd, ...] = ()
    reason: str = ""
    ordered_at: int
    order_ms: int = 0
    effect_ms: int | None = None
    orders: int = 1
    outcome: str = OPEN
    short: int = 0

    @property
    def has_no_effect(self) -> bool:
        """Whether the order was not refused, and its target was never seen to lead."""
        ended_well = self.outcome in (OPEN, REFUSED, SETTLED)
        return self.effect_ms is None and not ended_well


@dataclass(kw_only=True, slots=True)
class Promotions:
    """Promotions of one group that this host ordered.

    Parameters
    ----------
    under_way
        The one whose change has not ended.
    ended
        The last ones before, oldest first, after earlier ones that matter more.
    """

    under_way: Promotion | None = None
    ended: list[Promotion] = field(default_factory=list)


def describe_order(
    *,
    group: GroupId,
    attempt: Attempt,
    members: Iterable[ServerId],
    target: ServerId,
    proof: BarrierProof,
    reason: str,
    now: int,
    short: int = 0,
) -> Promotion:
    """Return the promotion that is ordered now, as its change knows it."""
    former = attempt.replaced
    others = sorted({*members, *attempt.statuses} - {target, former})
    return Promotion(
        group=group,
        target=_find_stated(attempt, target),
        former=_find_former(attempt, target),
        proof=proof.value,
        others=tuple(_find_paused(attempt, server) for server in others),
        reason=reason,
        ordered_at=now,
        order_ms=now - attempt.started_at,
        short=short,
    )


def _find_stated(attempt: Attempt, server: ServerId) -> LogEnd:
    status = attempt.statuses.get(server)
    if status is None:
        return LogEnd(server=server)
    return LogEnd(server=server, end=status.log_position, source=EndSource.STATED)


def _find_paused(attempt: Attempt, server: ServerId) -> LogEnd:
    found = _find_stated(attempt, server)
    status = attempt.statuses.get(server)
    if status is None or status.paused_term:
        return found
    return replace(found, source=EndSource.NOT_PAUSED)


def _find_former(attempt: Attempt, target: ServerId) -> LogEnd:
    former = attempt.replaced
    if attempt.final_end is not None:
        return LogEnd(server=former, end=attempt.final_end, source=EndSource.STATED)
    ends = [s.log_position for s in attempt.statuses.values()]
    if not ends:
        return LogEnd(server=former)
    longest = max(ends, key=log_order)
    return LogEnd(server=former, end=longest, source=EndSource.OTHERS)


def begin(promotions: Promotions, promotion: Promotion) -> Promotion | None:
    """Take an order; return the promotion of another server that it ends."""
    earlier = promotions.under_way
    if earlier is not None and earlier.target.server == promotion.target.server:
        promotions.under_way = replace(
            promotion,
            ordered_at=earlier.ordered_at,
            order_ms=earlier.order_ms,
            orders=earlier.orders + 1,
            short=max(earlier.short, promotion.short),
        )
        return None
    ended = end(promotions, "replaced")
    promotions.under_way = promotion
    return ended


def end(promotions: Promotions, outcome: str) -> Promotion | None:
    """End the promotion that is under way; return it, None without one."""
    promotion, promotions.under_way = promotions.under_way, None
    if promotion is None:
        return None
    ended = replace(promotion, outcome=outcome)
    promotions.ended = _choose_kept([*promotions.ended, ended])
    return ended


def _choose_kept(ended: list[Promotion]) -> list[Promotion]:
    """Return the latest promotions, after the earlier ones that matter more."""
    earlier = [p for p in ended[:-MAX_KEPT] if find_rank(p)]
    return [*sorted(earlier, key=find_rank)[-MAX_KEPT:], *ended[-MAX_KEPT:]]


def observe_phase(
    promotions: Promotions,
    group: GroupId,
    phase: str,
    details: dict[str, object],
    now: int,
) -> Promotion | None:
    """Learn from a phase of a change; return the promotion that ends with it."""
    promotion = promotions.under_way
    match phase:
        case "fencing":
            fenced = LogEnd(server=ServerId(str(details["server"])))
            return _begin_fence(promotions, group, fenced, now)
        case "ended":
            return end(promotions, str(details["outcome"]))
        case "unconfirmed" | "without-effect":
            return end(promotions, phase)
        # A refusal doesn't take back an earlier order of the same server.
        case "promotion-refused" if promotion is not None and promotion.orders == 1:
            return end(promotions, REFUSED)
        case "answered" if promotion is not None and "received" in details:
            _observe_answer(promotions, promotion, details)
        case "settled" if promotion is not None:
            promotions.under_way = replace(
                promotion, effect_ms=int(str(details["after_ms"]))
            )
    return None


def _observe_answer(
    promotions: Promotions, promotion: Promotion, details: dict[str, object]
) -> None:
    """Take an end that wasn't stated before the order, and is no entry of later."""
    term, position = map(int, str(details["received"]).split("."))
    later = LogEnd(
        server=ServerId(str(details["server"])),
        end=LogPosition(term=Term(term), position=Position(position)),
        source=EndSource.LATER,
    )
    longest = promotion.target.end
    if longest is not None and term <= longest.term:
        promotions.under_way = replace(
            promotion,
            former=_choose_later(promotion.former, later),
            others=tuple(_choose_later(other, later) for other in promotion.others),
        )


def _choose_later(known: LogEnd, later: LogEnd) -> LogEnd:
    """Return a server's end, the furthest of those that it stated after the order."""
    if known.server != later.server or later.end is None:
        return known
    match known:
        case LogEnd(end=None) | LogEnd(source=EndSource.OTHERS):
            return later
        case LogEnd(source=EndSource.LATER, end=end) if end is not None:
            return max(known, later, key=lambda e: log_order(e.end or end))
    return known


def _begin_fence(
    promotions: Promotions, group: GroupId, fenced: LogEnd, now: int
) -> Promotion | None:
    promotion = promotions.under_way
    if promotion is not None and promotion.target.server == fenced.server:
        promotions.under_way = replace(promotion, orders=promotion.orders + 1)
        return None
    return begin(
        promotions,
        Promotion(
            group=group,
            target=fenced,
            former=LogEnd(server=None),
            proof=FENCE,
            ordered_at=now,
        ),
    )


def find_rank(promotion: Promotion) -> int:
    """Return how much a promotion matters to whoever looks for a lost commit."""
    return 2 if promotion.short else int(promotion.has_no_effect)


def list_latest(histories: Iterable[Promotions]) -> list[Promotion]:
    """Return what is written again of several groups' promotions.

    These are the latest ones, then those without an effect, then those with a
    shortfall, each newest last: the end of a log is what an excerpt shows.
    """
    found = [
        promotion
        for promotions in histories
        for promotion in (*promotions.ended, promotions.under_way)
        if promotion is not None
    ]
    found.sort(key=lambda p: p.ordered_at)
    earlier = [p for p in found[:-MAX_KEPT] if find_rank(p)]
    return sorted([*earlier, *found[-MAX_KEPT:]], key=find_rank)
