"""Proof of a withdrawal and versions in force."""

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from hypothesis import given
from hypothesis import strategies as st

from apricotshore.decisions.rollout import (
    DatabaseEvidence,
    Evidence,
    Offer,
    ServerEvidence,
    consider_offer,
    evaluate_withdrawal,
    may_serve,
)
from apricotshore.evidence import EvidenceKey, sign_evidence, verify_evidence
from apricotshore.exceptions import SignatureError
from apricotshore.groups import LOG_START
from apricotshore.keys import encode_public_key

HOSTS = ("h1", "h2", "h3")


def make_evidence(confirmed=(5, 6, 7), version=2, hosts=("h1",)):
    servers = tuple(
        ServerEvidence(server=f"s{n}", confirmed_at_ms=at, killed=())
        for n, at in enumerate(confirmed)
    )
    return DatabaseEvidence(
        database="d",
        version=version,
        owner="h1",
        fence=LOG_START,
        servers=servers,
        hosts=hosts,
        last_admitted_ms=(("gone", 3),),
    )


def judge(evidence, databases=("d",)):
    records = {e.database: e for e in evidence}
    return evaluate_withdrawal("gone", 2, databases, records, HOSTS)


def test_withdrawal_is_proved_when_every_server_confirmed():
    proof = judge([make_evidence()])
    assert proof.proved and proof.in_force_at_ms == 7
    found = {line.host: line.evidence for line in proof.hosts}
    assert found["h1"] is Evidence.CONFIRMED
    assert found["h2"] is Evidence.FENCED


def test_withdrawal_is_not_proved_while_a_server_is_missing():
    proof = judge([make_evidence(confirmed=(5, None, 7))])
    assert not proof.proved and proof.in_force_at_ms is None
    assert proof.missing == ("d: server s1 not confirmed",)
    found = {line.host: line.evidence for line in proof.hosts}
    assert found["h2"] is None


def test_evidence_of_an_older_version_does_not_count():
    assert not judge([make_evidence(version=1)]).proved


def test_every_database_of_the_caller_must_be_proved():
    assert not judge([make_evidence()], databases=("d", "e")).proved


def test_signed_evidence_survives_storage():
    evidence = make_evidence(confirmed=(5, None, 7))
    own = EvidenceKey(signer="fleet", key=Ed25519PrivateKey.generate())
    signers = {"fleet": encode_public_key(own.key)}
    assert verify_evidence(sign_evidence(evidence, own), signers) == evidence


@pytest.mark.parametrize("fault", ["unsigned", "unknown", "forged", "changed", "no"])
def test_evidence_without_a_known_signature_is_refused(fault):
    own = EvidenceKey(signer="fleet", key=Ed25519PrivateKey.generate())
    signers = {"fleet": encode_public_key(own.key)}
    text = sign_evidence(make_evidence(), None if fault == "unsigned" else own)
    if fault == "unknown":
        signers = {"other": encode_public_key(own.key)}
    elif fault == "forged":
        signers = {"fleet": encode_public_key(Ed25519PrivateKey.generate())}
    elif fault == "changed":
        text = text.replace("h1", "h2")
    elif fault == "no":
        text = "no record"
    with pytest.raises(SignatureError):
        verify_evidence(text, signers)


@given(st.lists(st.integers(0, 30), max_size=40))
def test_version_in_force_never_decreases(offers):
    current = 0
    for offered in offers:
        before = current
        if consider_offer(current, offered) is Offer.TAKE:
            current = offered
        assert current >= before
        assert may_serve(current, before)
