"""Who may take the lease on a change of primary, and its fencing tokens."""

import pytest

from apricotshore.decisions import lease
from apricotshore.decisions.lease import (
    LEASE_MS,
    PROMOTION_MS,
    RANK_STEP_MS,
    FormerPrimaries,
    LeaseClaim,
    ObservedLease,
)
from apricotshore.identifiers import StoreEra, StoreRevision, Term

SEEN_AT = 10_000


def claim(held_until: int = 0) -> LeaseClaim:
    return LeaseClaim(holder="h1", held_until=held_until, era_seen_at=SEEN_AT)


def held(holder: str = "h2", *, is_open: bool = True) -> ObservedLease:
    return ObservedLease(
        era=StoreEra(2),
        revision=StoreRevision(5),
        holder=holder,
        open=is_open,
        seen_at=SEEN_AT,
    )


@pytest.mark.parametrize(
    ("found", "held_until", "after_ms", "may"),
    [
        (None, 0, LEASE_MS - 1, False),
        (None, 0, LEASE_MS, True),
        (None, SEEN_AT + 500, 499, True),
        (None, SEEN_AT + 500, 500, False),
        (held(), 0, LEASE_MS - 1, False),
        (held(), SEEN_AT + 500, 499, False),
        (held(), 0, LEASE_MS, True),
        (held("h1"), 0, 1, True),
        (held(is_open=False), 0, 1, True),
    ],
)
def test_lease_is_acquired_only_when_no_other_host_can_hold_one(
    found, held_until, after_ms, may
):
    now = SEEN_AT + after_ms
    assert lease.may_acquire(found, claim(held_until), now) is may


@pytest.mark.parametrize(
    ("found", "held_until", "rank", "after_ms", "abandoned"),
    [
        (None, 0, 0, LEASE_MS - 1, False),
        (None, 0, 0, LEASE_MS, True),
        (None, 0, 1, LEASE_MS, False),
        (None, 0, 1, LEASE_MS + RANK_STEP_MS, True),
        (None, SEEN_AT + 500, 9, 499, True),
        (None, SEEN_AT + 500, 9, 500, False),
        (None, SEEN_AT + 500, 9, LEASE_MS, True),
        (held(), 0, 9, LEASE_MS, True),
        (held(is_open=False), 0, 0, LEASE_MS, False),
    ],
)
def test_lost_change_is_finished_by_its_holder_or_else_by_one_host_after_another(
    found, held_until, rank, after_ms, abandoned
):
    now = SEEN_AT + after_ms
    assert lease.may_be_abandoned(found, claim(held_until), rank, now) is abandoned


@pytest.mark.parametrize(
    ("holder", "after_ms", "may"),
    [
        ("h1@10.0.0.1:1/earlier", PROMOTION_MS - 1, False),
        ("h1@10.0.0.1:1/earlier", PROMOTION_MS, True),
        ("h1@10.0.0.2:1/earlier", PROMOTION_MS, False),
        ("h2@10.0.0.1:1/earlier", PROMOTION_MS, False),
    ],
)
def test_lease_of_an_earlier_process_is_waited_for_until_its_promotion_took_effect(
    holder, after_ms, may
):
    own = LeaseClaim(holder="h1@10.0.0.1:1/now", held_until=0, era_seen_at=SEEN_AT)
    assert lease.may_acquire(held(holder), own, SEEN_AT + after_ms) is may


def test_token_of_a_later_era_is_higher_whatever_the_revisions():
    early = lease.make_token(StoreEra(1), StoreRevision(2**40 - 1))
    late = lease.make_token(StoreEra(2), StoreRevision(1))
    assert early < late
    assert late < lease.make_token(StoreEra(2), StoreRevision(2))


def test_next_change_that_knows_no_former_primary_holds_all_servers():
    """A change that had nobody left to replace says nothing about the next one."""
    nobody = FormerPrimaries(term=Term(4))
    assert lease.list_replaced(nobody, None, ["s1", "s2"]) == ()
    unknown = lease.add_former(nobody, FormerPrimaries())
    assert lease.list_replaced(unknown, None, ["s1", "s2"]) == ("s1", "s2")


def test_promoted_server_that_had_led_before_is_replaced_no_more():
    former = FormerPrimaries(servers=("s1", "s2"), term=Term(4))
    assert lease.remove_former(former, "s1").servers == ("s2",)
    assert lease.remove_former(former, None) == former
