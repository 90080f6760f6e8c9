"""Limits for clients, derived from what the host is given."""

from dataclasses import dataclass

KIB = 1 << 10
MIB = 1 << 20
DEFAULT_MEMORY = 150 * MIB
# Resident memory of a process without clients (45 MB), and what serving takes beside
# that: answers being read from servers, copies of the statements that run.
PROCESS_MEMORY = 64 * MIB
# A host that is given very little still holds a few messages of the largest size.
LEAST_BUDGET = 8 * MIB
# Share of the memory left over that clients may fill. Freed memory isn't returned to
# the system at once, and buffers that grow are over-allocated by an eighth.
BUDGET_SHARE = 0.5
# Memory of a connection with a session that holds nothing else.
CONNECTION_BYTES = 16 * KIB
# Share of the budget that connections may take by their number alone.
CONNECTIONS_SHARE = 0.75
# Share of the budget for the statements that are decoded and forwarded at a time,
# and for the values and prepared names of one session.
STATEMENTS_SHARE = 0.25
STATE_SHARE = 0.25
# Descriptors that the platform keeps for its own files, and the share of the others
# that stays for servers, the store and other hosts.
PLATFORM_DESCRIPTORS = 200
OWN_DESCRIPTORS_SHARE = 0.25
LEAST_CONNECTIONS = 16
STARTING_SHARE = 0.25
START_LINE = 16 * KIB
START_MS = 10_000
MESSAGE_MS = 60_000
ANSWER_MS = 10_000
# A client that takes an answer more slowly than this, in bytes per second, is closed.
LEAST_RATE = 64 * KIB


@dataclass(frozen=True, kw_only=True, slots=True)
class IntakeSettings:
    """Settings of the limits; 0 has a limit derived.

    Parameters
    ----------
    memory
        Memory that the host is given, in bytes.
    descriptors
        File descriptors that the process may open.
    client_memory
        Bytes that all clients together may make the host hold.
    session_state
        Bytes of the values and prepared names of one session.
    start_line
        Longest STARTUP line, in bytes.
    start_ms, message_ms, answer_ms
        Time for the STARTUP line, for a message from its first byte, and for taking
        an answer in addition to the time for its size.
    connections, starting
        Connections of clients, and those of them without a session.
    """

    memory: int = 0
    descriptors: int = 0
    client_memory: int = 0
    session_state: int = 0
    start_line: int = START_LINE
    start_ms: int = START_MS
    message_ms: int = MESSAGE_MS
    answer_ms: int = ANSWER_MS
    connections: int = 0
    starting: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class IntakeLimits:
    """Limits in force.

    Parameters
    ----------
    budget
        Bytes that all clients together may make the host hold.
    statements
        Bytes of the copies of statements that are decoded and forwarded at a time.
    session_state
        Bytes of the values and prepared names of one session.
    start_line
        Longest STARTUP line, in bytes.
    start_ms, message_ms, answer_ms
        See `IntakeSettings`.
    connections, starting
        Connections of clients, and those of them without a session.
    """

    budget: int
    statements: int
    session_state: int
    start_line: int
    start_ms: int
    message_ms: int
    answer_ms: int
    connections: int
    starting: int


def derive_limits(settings: IntakeSettings, descriptors: int) -> IntakeLimits:
    """Return the limits for settings.

    Parameters
    ----------
    settings
        Settings of the host.
    descriptors
        File descriptors that the process may open, where the settings give none.
    """
    left = (settings.memory or DEFAULT_MEMORY) - PROCESS_MEMORY
    budget = settings.client_memory or max(LEAST_BUDGET, int(left * BUDGET_SHARE))
    by_memory = int(budget * CONNECTIONS_SHARE) // CONNECTION_BYTES
    usable = (settings.descriptors or descriptors) - PLATFORM_DESCRIPTORS
    by_descriptors = int(usable * (1 - OWN_DESCRIPTORS_SHARE))
    derived = max(LEAST_CONNECTIONS, min(by_memory, by_descriptors))
    connections = settings.connections or derived
    return IntakeLimits(
        budget=budget,
        statements=int(budget * STATEMENTS_SHARE),
        session_state=settings.session_state or int(budget * STATE_SHARE),
        start_line=settings.start_line,
        start_ms=settings.start_ms,
        message_ms=settings.message_ms,
        answer_ms=settings.answer_ms,
        connections=connections,
        starting=settings.starting or max(1, int(connections * STARTING_SHARE)),
    )


def allow_answer_ms(limits: IntakeLimits, size: int) -> int:
    """Return the time that a client has to take an answer of a size in bytes."""
    return limits.answer_ms + size * 1_000 // LEAST_RATE
