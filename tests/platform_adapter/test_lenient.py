"""Entries that can't be read cost only themselves, in lists and in watches."""

import json

import pytest
from apricotshore_platform.lenient import decode_json
from apricotshore_platform.objects import decode_host, decode_lease, decode_server
from hypothesis import given
from hypothesis import strategies as st

GOOD = {
    "meta": {"name": "i-good", "revision": 9},
    "spec": {
        "service": "g1",
        "address": "10.128.0.9:8080",
        "zone": "braga-a",
        "slots": 3,
        "state": "ready",
    },
}
DEEP = b"[" * 100_000 + b"]" * 100_000
DEEP_OBJECT = b'{"a":' * 100_000 + b"1" + b"}" * 100_000
LONG_NUMBER = b"9" * 5_000
NO_TEXT = b'"\xff\xfe"'
UNREADABLE = {
    "deep": DEEP,
    "deep-object": DEEP_OBJECT,
    "long-number": LONG_NUMBER,
    "bytes": NO_TEXT,
}


def make_list(entry: bytes) -> bytes:
    good = json.dumps(GOOD).encode()
    head = b'{"items": ['
    return head + good + b", " + entry + b", " + good + b'], "storeRevision": 12}'


def make_entry(value: bytes) -> bytes:
    meta = b'{"name": "i-odd", "revision": 8}'
    return (
        b'{"meta": ' + meta + b', "spec": {"service": "g1", "slots": ' + value + b"}}"
    )


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_entry_that_cannot_be_read_costs_only_itself_in_a_list(value):
    """Review 5 and other operators' report: one odd entry ended the whole list."""
    body = decode_json(make_list(make_entry(value)))
    assert body["storeRevision"] == 12
    first, odd, last = body["items"]
    assert first == last == GOOD
    assert odd["meta"]["name"] == "i-odd"
    assert decode_server(odd) is None


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_entry_that_cannot_be_read_costs_only_itself_in_a_watch(value):
    event = b'{"deleted": false, "object": ' + make_entry(value) + b"}"
    good = json.dumps({"deleted": True, "object": GOOD}).encode()
    text = b'{"events": [' + event + b"," + good + b'], "storeRevision": 13}'
    body = decode_json(text)
    assert body["storeRevision"] == 13
    odd, last = body["events"]
    assert odd["object"]["meta"]["name"] == "i-odd"
    assert decode_server(odd["object"]) is None
    assert last == {"deleted": True, "object": GOOD}


@pytest.mark.parametrize("entry", UNREADABLE.values(), ids=UNREADABLE)
def test_entry_that_is_unreadable_as_a_whole_costs_only_itself(entry):
    body = decode_json(make_list(entry))
    assert body["items"][0] == body["items"][2] == GOOD
    assert decode_server(body["items"][1]) is None


@pytest.mark.parametrize("text", [b"", b"{", b'{"items": [', b'{"items": []} x', b"]"])
def test_text_that_is_not_json_raises(text):
    with pytest.raises(ValueError):
        decode_json(text)


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["127.0.0.1:70000", "10.0.0.1:80", "ready", "primary", "a b"]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ["meta", "spec", "name", "revision", "service", "address", "zone"]
                + ["slots", "state", "born", "dbRole"]
                + ["holder", "target", "open", "number"]
            ),
            inner,
            max_size=8,
        )
    ),
    max_leaves=24,
)


@given(JSON)
def test_decoders_read_or_refuse_every_entry(item):
    for decode in (decode_server, decode_lease, decode_host):
        decode(item)


@given(JSON)
def test_odd_fields_of_a_server_are_refused_or_usable(value):
    for field in GOOD["spec"]:
        spec = {**GOOD["spec"], field: value}
        server = decode_server({**GOOD, "spec": spec})
        if server is not None:
            assert 1 <= server.slots <= 2**53
            assert 0 < int(server.address.rpartition(":")[2]) <= 65_535
            assert f"STARTUP {server.group} {server.server}".encode().count(b" ") == 2


@given(st.binary(max_size=200), st.integers(0, 200))
def test_damaged_lists_are_read_or_refused(noise, at):
    text = make_list(make_entry(b"3"))
    damaged = text[:at] + noise + text[at:]
    try:
        body = decode_json(damaged)
    except ValueError:
        return
    assert body is None or isinstance(body, dict | list | str | int | float)
