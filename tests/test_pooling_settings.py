import re
from pathlib import Path

import pytest

from apricotshore.decisions.placement import Distance
from apricotshore.exceptions import InvalidFileError
from apricotshore.pooling.settings import parse_pooling_settings

GOOD = """
[pooling-host]
name = front-1
data-centre = braga-a
caller-address = 10.1.0.8:8784
ready-address = 10.1.0.8:8785
metrics-address = 10.1.0.8:9464
store-address = 10.200.1.7:8783
promotion-address = 10.200.0.160:8783
grace = 6 s
something-new = 7

[regions]
braga-a = minho
viana-a = minho
lisboa-a = lisboa
"""


def test_unknown_keys_are_ignored():
    settings = parse_pooling_settings(GOOD, "host.ini")
    assert settings.grace_ms == 6_000
    assert settings.locate("braga-a") is Distance.SAME_DATA_CENTRE
    assert settings.locate("viana-a") is Distance.SAME_REGION
    assert settings.locate("lisboa-a") is Distance.REMOTE
    assert settings.locate("unheard-of") is Distance.REMOTE


def test_every_missing_or_invalid_field_is_named():
    text = GOOD.replace("10.1.0.8:8784", "nowhere").replace("name = front-1\n", "")
    with pytest.raises(InvalidFileError) as error:
        parse_pooling_settings(text, "host.ini")
    message = error.value.format_message()
    assert "caller-address: expected ip:port" in message
    assert "name: missing key" in message


def test_template_fills_every_key_that_is_read():
    root = Path(__file__).parents[1]
    template = (root / "platform/host.ini.template").read_text()
    keys = set(re.findall(r"^([a-z-]+) =", template, re.MULTILINE))
    written = set(re.findall(r"^([a-z-]+) =", GOOD.split("[regions]")[0], re.MULTILINE))
    assert keys == written - {"something-new"} | {
        "apply-within", "leave-within", "stability-window", "peer-address", "fenced",
        "revoke-within", "rate-limit-window", "rate-limit-excess", "rate-limit-slack",
        "memory", "descriptors",
    }  # fmt: skip


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("memory = 150", "a size such as"),
        ("client-memory = 0 MB", "a size such as"),
        ("client-memory = 1 MB", "at least 4 MB"),
        ("descriptors = none", "a whole number above 0"),
        ("answer-timeout = 10", "a duration such as"),
    ],
)
def test_invalid_limit_for_clients_is_named(line, expected):
    """A limit that can't be read must not silently become another one."""
    text = GOOD.replace("[regions]", f"{line}\n[regions]")
    with pytest.raises(InvalidFileError, match=expected):
        parse_pooling_settings(text, "host.ini")


@pytest.mark.parametrize(("line", "fenced"), [("", False), ("fenced = yes\n", True)])
def test_platform_is_taken_as_unfenced_unless_the_settings_say_otherwise(line, fenced):
    text = GOOD.replace("[regions]", f"{line}\n[regions]")
    assert parse_pooling_settings(text, "host.ini").fenced is fenced


def test_unknown_flag_is_named():
    text = GOOD.replace("[regions]", "fenced = maybe\n\n[regions]")
    with pytest.raises(InvalidFileError, match="maybe"):
        parse_pooling_settings(text, "host.ini")


def test_new_ways_of_serving_are_off_unless_the_settings_ask_for_them():
    settings = parse_pooling_settings(GOOD, "host.ini")
    assert not (settings.early_rejection or settings.spillover)
    lines = "early-rejection = yes\nspillover = yes\nspillover-hop-price = 20 ms\n"
    text = GOOD.replace("[regions]", f"{lines}\n[regions]")
    settings = parse_pooling_settings(text, "host.ini")
    assert settings.early_rejection and settings.spillover
    assert (settings.hop_price_ms, settings.kib_price_ms) == (20, 10)
