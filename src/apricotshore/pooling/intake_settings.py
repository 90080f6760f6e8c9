"""Settings of the limits for clients, in the section of the pooling host."""

from ..ini import Section, parse_count, parse_duration, parse_size
from ..intake import IntakeSettings
from ..intake.limits import ANSWER_MS, MESSAGE_MS, MIB, START_LINE, START_MS

# Below this, a message of the largest size could not be held and decoded.
LEAST_CLIENT_MEMORY = 4 * MIB


def parse_client_memory(text: str) -> int:
    """Parse the size of the budget into bytes, after validating that it suffices."""
    size = parse_size(text)
    if size < LEAST_CLIENT_MEMORY:
        raise ValueError(f"expected at least {LEAST_CLIENT_MEMORY // MIB} MB")
    return size


def read_intake_settings(host: Section) -> IntakeSettings:
    """Read the settings; a limit without a key is derived from the others."""
    return IntakeSettings(
        memory=host.read("memory", parse_size, 0),
        descriptors=host.read("descriptors", parse_count, 0),
        client_memory=host.read("client-memory", parse_client_memory, 0),
        session_state=host.read("session-state", parse_size, 0),
        start_line=host.read("start-line", parse_size, START_LINE),
        start_ms=host.read("start-timeout", parse_duration, START_MS),
        message_ms=host.read("message-timeout", parse_duration, MESSAGE_MS),
        answer_ms=host.read("answer-timeout", parse_duration, ANSWER_MS),
        connections=host.read("client-connections", parse_count, 0),
        starting=host.read("starting-connections", parse_count, 0),
    )
