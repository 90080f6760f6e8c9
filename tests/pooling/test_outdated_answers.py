"""Answers to earlier questions don't replace what answers to later ones showed."""

import asyncio

import pytest

from apricotshore.decisions import leadership
from apricotshore.decisions.leadership import PrimaryState
from apricotshore.identifiers import ServerId, Term
from apricotshore.pooling.group import Group
from apricotshore.pooling.primary_prover import ask_for_primary
from standins.in_memory import ModelGroup, ModelPlatform

from .support import ModelHost, log_position

S1, S2 = ServerId("s1"), ServerId("s2")


def make_host() -> ModelHost:
    model = ModelGroup.make()
    return ModelHost.make("host-0", model, ModelPlatform(group=model))


def find_led(group: Group) -> tuple[ServerId | None, int]:
    return group.primary_state.primary, group.primary_state.confirmed_at


def test_answer_of_the_former_primary_that_comes_late_is_not_taken_for_its_lead():
    group = make_host().group
    group.observe_primary(S2, Term(1), 200)
    group.observe_primary(S1, Term(1), 150)
    assert find_led(group) == (S2, 200)


def test_log_position_of_a_server_that_is_not_taken_for_the_primary_is_no_sample():
    group = make_host().group
    group.observe_begin(S2, log_position(1, 59), 2_000)
    group.observe_begin(S1, log_position(1, 70), 1_950)
    assert [s.position for s in group.position_history.samples] == [59]


def test_denial_that_was_asked_for_before_the_lead_was_proven_is_ignored():
    group = make_host().group
    group.observe_primary(S2, Term(1), 200)
    group.observe_denial(S2, 150)
    assert group.primary_state.primary == S2


@pytest.mark.parametrize("term", [1, 2])
def test_lead_that_a_later_question_denied_is_not_taken_up_again(term):
    group = make_host().group
    group.observe_primary(S1, Term(1), 100)
    group.observe_denial(S1, 200)
    group.observe_primary(S1, Term(term), 150)
    assert group.primary_state.primary is None
    assert group.no_primary_since is not None


def test_denial_outlasts_a_proof_of_another_server_that_was_asked_before_it():
    group = make_host().group
    group.observe_denial(S1, 200)
    group.observe_primary(S2, Term(1), 150)
    group.observe_primary(S1, Term(1), 170)
    assert group.primary_state.primary == S2


def test_silence_before_the_primary_was_confirmed_is_ignored():
    group = make_host().group
    group.observe_primary(S2, Term(1), 200)
    group.observe_silence(S2, 150)
    assert group.primary_state.silent_since is None
    group.observe_silence(S2, 250)
    assert group.primary_state.silent_since is not None


@pytest.mark.parametrize("asked_at", [100, 300])
def test_lead_of_a_later_term_counts_whenever_it_was_asked_for(asked_at):
    state = PrimaryState()
    leadership.observe_primary(state, S1, Term(1), 200)
    assert leadership.observe_primary(state, S2, Term(2), asked_at)
    assert (state.primary, state.confirmed_at) == (S2, asked_at)


@pytest.mark.parametrize("fault", ["unreachable", "denies"])
async def test_probe_that_was_sent_before_the_lead_was_proven_changes_nothing(fault):
    host = make_host()
    group, server = host.group, host.model.servers[S2]
    await host.prober.probe()
    if fault == "unreachable":
        server.up = False
    probe = asyncio.create_task(ask_for_primary(group, group.pools[S2]))
    await asyncio.sleep(0)
    group.observe_denial(S1)
    group.observe_primary(S2, Term(2), group.primary_state.confirmed_at + 60_000)
    await probe
    assert group.primary_state.primary == S2
    assert group.primary_state.silent_since is None
