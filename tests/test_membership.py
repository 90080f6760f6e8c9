"""Membership protocol and ownership of databases."""

import random
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from apricotshore.decisions import membership, ownership
from apricotshore.decisions.membership import Member, MemberState
from apricotshore.decisions.ownership import OwnershipAction, OwnershipFacts, Ring
from apricotshore.groups import Claim


def make_member(name, **more):
    values = {
        "host": name,
        "address": f"{name}:1",
        "data_centre": "a",
        "incarnation": 1,
        "life": MemberState.ALIVE,
    }
    return Member(**(values | more))


def make_fleet(*names):
    state = membership.start_membership(make_member("me"))
    for name in names:
        membership.apply_update(state, make_member(name), 0)
    return state


def test_silent_host_is_suspected_then_dead_then_removed():
    state = make_fleet("x")
    membership.record_timeout(state, "x", 0)
    assert membership.is_alive(state, "x")
    assert membership.expire(state, membership.SUSPECT_MS) == ["x"]
    assert not membership.is_alive(state, "x")
    late = membership.SUSPECT_MS + membership.REMOVE_MS
    membership.expire(state, late)
    assert "x" not in state.members


def test_suspected_host_refutes():
    state = make_fleet("x")
    suspicion = replace(state.local_member, life=MemberState.SUSPECT)
    membership.apply_update(state, suspicion, 0)
    assert state.local_member.life is MemberState.ALIVE
    assert state.local_member.incarnation > suspicion.incarnation


def test_restart_overrides_an_update_about_the_previous_incarnation():
    state = make_fleet()
    membership.apply_update(state, make_member("x", life=MemberState.DEAD), 0)
    membership.apply_update(state, make_member("x", incarnation=2), 1)
    assert membership.is_alive(state, "x")


def test_message_size_does_not_grow_with_the_fleet():
    state = make_fleet(*(f"h{n}" for n in range(500)))
    for _ in range(40):
        assert len(membership.take_updates(state)) <= 1 + membership.UPDATES_PER_MESSAGE


def test_bundle_version_is_stored_but_not_disseminated():
    state = make_fleet("x")
    while state.pending_updates:
        membership.take_updates(state)
    membership.apply_sender(state, make_member("x", bundle=7), 1)
    assert state.members["x"].bundle == 7
    assert state.newest.host == "x"
    assert not state.pending_updates


def test_every_member_is_probed_in_turn():
    state = make_fleet(*(f"h{n}" for n in range(9)))
    draw = random.Random(3)
    probed = [
        m.host for _ in range(3) for m in membership.choose_targets(state, draw.shuffle)
    ]
    assert sorted(probed) == sorted(f"h{n}" for n in range(9))


updates = st.lists(
    st.builds(
        make_member,
        st.sampled_from(["x", "y"]),
        incarnation=st.integers(1, 3),
        life=st.sampled_from(list(MemberState)),
    ),
    max_size=12,
)


@given(updates, st.randoms(use_true_random=False))
def test_hosts_that_hear_the_same_updates_agree_in_any_order(heard, draw):
    one, two = make_fleet(), make_fleet()
    shuffled = list(heard)
    draw.shuffle(shuffled)
    for update in heard:
        membership.apply_update(one, update, 0)
    for update in shuffled:
        membership.apply_update(two, update, 0)
    assert one.members == two.members


@given(st.sets(st.integers(0, 400), min_size=4, max_size=60), st.integers(0, 999))
def test_losing_a_host_moves_only_its_databases(numbers, lost):
    hosts = [f"host-{n}" for n in sorted(numbers)]
    gone = hosts[lost % len(hosts)]
    before = Ring(hosts=hosts)
    after = Ring(hosts=[h for h in hosts if h != gone])
    for number in range(20):
        database = f"db-{number}"
        first = ownership.rank_hosts(before, database)[0]
        if first != gone:
            assert ownership.rank_hosts(after, database)[0] == first


@given(st.sets(st.integers(0, 400), min_size=1, max_size=60), st.integers(0, 99))
def test_cheap_check_never_misses_a_candidate(numbers, database):
    hosts = [f"host-{n}" for n in sorted(numbers)]
    ring = Ring(hosts=hosts)
    for host in ownership.rank_hosts(ring, f"db-{database}", 3):
        assert ownership.may_rank(ring, f"db-{database}", host, 3)


def decide(**more):
    claim = Claim(epoch=1, host="other", address="other:1", bundle=1)
    values = {
        "local_host": "me",
        "first": True,
        "claim": claim,
        "holding": False,
        "draining": False,
        "claimant_alive": True,
    }
    return ownership.decide_action(OwnershipFacts(**(values | more)))


def test_live_claimant_is_never_displaced():
    assert decide() is OwnershipAction.DEFER
    assert decide(claimant_alive=False) is OwnershipAction.CLAIM
    assert decide(claimant_alive=False, first=False) is OwnershipAction.DEFER
    assert decide(holding=True) is OwnershipAction.SERVE
    assert decide(holding=True, draining=True) is OwnershipAction.RELEASE
