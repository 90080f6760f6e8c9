import pytest

from apricotshore.bundles import list_withdrawn, parse_bundle
from apricotshore.exceptions import InvalidFileError

HASH = "*" + "a" * 40
KEY = "b" * 64

VALID_BUNDLE = f"""
[bundle]
version = 4
[backend-server s1]
database = deliveries
address = 127.0.0.1:4001
replication-address = 127.0.0.1:5001
data-centre = braga-a
slots = 3
connections = 20
[caller members-app]
databases = deliveries
password-hash = {HASH}
[person ana]
public-key = {KEY}
[person rui]
public-key = {KEY}
[kind balance]
staleness = 5 s
"""


def test_valid_bundle_is_parsed():
    bundle = parse_bundle(VALID_BUNDLE, "bundle.ini")
    assert bundle.version == 4
    assert bundle.find_kind("balance").staleness_ms == 5_000
    assert bundle.find_kind("unknown").staleness_ms == 0


def test_every_fault_is_listed_with_its_place():
    text = VALID_BUNDLE.replace("slots = 3", "slots = many")
    text = text.replace("5 s", "5 fortnights").replace("data-centre", "datacenter")
    text = text.replace("databases = deliveries", "databases = wreaths")
    with pytest.raises(InvalidFileError) as error:
        parse_bundle(text, "bundle.ini")
    message = error.value.format_message()
    places = ["[backend-server s1] slots", "[kind balance] staleness", "datacenter"]
    for place in [*places, "[caller members-app] databases", "data-centre: missing"]:
        assert place in message
    assert len(error.value.problems) == 5
    assert error.value.exit_code == 2


@pytest.mark.parametrize(
    "text", ["", "not an ini", "[bundle]\nversion = 1\nversion = 2", "[x]\ny"]
)
def test_text_without_a_bundle_is_rejected(text):
    with pytest.raises(InvalidFileError):
        parse_bundle(text, "bundle.ini")


def test_withdrawn_callers_are_listed_with_what_they_lose():
    old = parse_bundle(VALID_BUNDLE, "old")
    gone = parse_bundle(
        VALID_BUNDLE.replace("[caller members-app]", "[caller other]"), "new"
    )
    assert list_withdrawn(old, gone) == {"members-app": ("deliveries",)}
    assert list_withdrawn(old, old) == {}
