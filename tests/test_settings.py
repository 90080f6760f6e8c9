import pytest

from apricotshore.exceptions import InvalidFileError
from apricotshore.settings import parse_settings

VALID_SETTINGS = """
[host]
name = braga-1
data-centre = braga-a
caller-address = 127.0.0.1:3306
peer-address = 127.0.0.1:7001
status-address = 127.0.0.1:7002
platform-address = 127.0.0.1:7000
drain = 20 s
"""


def test_settings_are_read_with_defaults():
    settings = parse_settings(VALID_SETTINGS, "host.ini")
    assert settings.drain_ms == 20_000
    assert settings.login_ms == 3_000
    assert not settings.peer_tls.enabled


def test_every_fault_is_listed():
    text = VALID_SETTINGS.replace("127.0.0.1:3306", "db.example:3306").replace(
        "20 s", "20"
    )
    text += "colour = green\n[surprise]\nx = 1\n"
    with pytest.raises(InvalidFileError) as error:
        parse_settings(text, "host.ini")
    message = error.value.format_message()
    for part in ("caller-address", "drain", "colour: unknown key", "[surprise]"):
        assert part in message
    assert len(error.value.problems) == 4
