from dataclasses import replace

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from apricotshore.bundles import EMPTY_BUNDLE, parse_bundle
from apricotshore.exceptions import SignatureError
from apricotshore.keys import encode_public_key
from apricotshore.manifests import (
    Pieces,
    decode_root,
    encode_root,
    join_pieces,
    sign_root,
    split_bundle,
    verify_root,
)

from .test_bundles import KEY, VALID_BUNDLE

KEYS = {person: Ed25519PrivateKey.generate() for person in ("ana", "rui", "eve")}


def get_public(person):
    return encode_public_key(KEYS[person])


def make_bundle():
    text = VALID_BUNDLE.replace(KEY, get_public("ana"), 1).replace(
        KEY, get_public("rui"), 1
    )
    return parse_bundle(text, "bundle")


def make_root(author="ana", approver="rui"):
    bundle = make_bundle()
    pieces = split_bundle(bundle, EMPTY_BUNDLE)
    root = replace(pieces.root, author=sign_root(pieces.root, author, KEYS[author]))
    root = replace(root, approver=sign_root(root, approver, KEYS[approver]))
    return bundle, pieces, root


def test_signed_root_is_verified_and_joined_again():
    bundle, pieces, root = make_root()
    read = decode_root(encode_root(root))
    verify_root(read, bundle.people)
    joined = join_pieces(Pieces(root=read, texts=pieces.texts))
    assert joined.sections == bundle.sections


def test_author_cannot_approve():
    bundle, _, root = make_root(approver="ana")
    with pytest.raises(SignatureError, match="author"):
        verify_root(root, bundle.people)


def test_unknown_key_is_refused():
    bundle, _, root = make_root(approver="eve")
    with pytest.raises(SignatureError, match="eve"):
        verify_root(root, bundle.people)


def test_withdrawn_key_is_refused():
    bundle, _, root = make_root()
    left = {name: p for name, p in bundle.people.items() if name != "rui"}
    with pytest.raises(SignatureError, match="rui"):
        verify_root(root, left)


def test_signature_by_another_key_is_refused():
    bundle, _, root = make_root()
    forged = replace(root, approver=sign_root(root, "rui", KEYS["eve"]))
    with pytest.raises(SignatureError, match="does not match"):
        verify_root(forged, bundle.people)


@pytest.mark.parametrize("change", ["version", "pages", "withdrawn"])
def test_change_after_approval_is_refused(change):
    bundle, _, root = make_root()
    changes = {
        "version": {"version": root.version + 1},
        "pages": {"pages": ("x" * 40, *root.pages[1:])},
        "withdrawn": {"withdrawn": split_bundle(EMPTY_BUNDLE, bundle).root.withdrawn},
    }
    with pytest.raises(SignatureError):
        verify_root(replace(root, **changes[change]), bundle.people)


def test_changed_piece_is_refused():
    _, pieces, root = make_root()
    texts = {d: t.replace("slots = 3", "slots = 9") for d, t in pieces.texts.items()}
    with pytest.raises(SignatureError, match="digest"):
        join_pieces(Pieces(root=root, texts=texts))


def test_one_changed_section_changes_one_page_and_one_section():
    old = make_bundle()
    text = VALID_BUNDLE.replace(KEY, get_public("ana"), 1).replace(
        KEY, get_public("rui"), 1
    )
    new = parse_bundle(text.replace("5 s", "6 s"), "bundle")
    before = split_bundle(old, EMPTY_BUNDLE).texts
    after = split_bundle(new, old).texts
    assert len(after.keys() - before.keys()) == 2
