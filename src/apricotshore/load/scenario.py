"""Scenarios of load runs, read from INI files."""

from dataclasses import dataclass
from pathlib import Path

from ..exceptions import InvalidFileError, Problem
from ..ini import Section, parse_count, parse_duration, parse_name, read_sections
from .history import Work

DEFAULT_SEED = 1
DEFAULT_SESSIONS = 20


@dataclass(frozen=True, kw_only=True, slots=True)
class Stream:
    """A stream of operations of one type.

    Parameters
    ----------
    name
        Name of the stream.
    caller, database, kind
        Caller, database and request kind of the operations.
    work
        Type of the operations.
    rate
        Operations per second.
    surge_rate, surge_at_ms, surge_for_ms
        Rate, start and duration of a surge; a rate of 0 means no surge.
    group
        Group of streams that share their sessions.
    sessions
        Number of sessions; the value of the group's first stream is used.
    move_ms
        Time after which a session moves to another host; 0 for never.
    with_token
        Whether a session that moves sends its token or only its name.
    work_ms
        Execution time requested of the stand-in server; 0 for its default.
    repeat_percent
        Percentage of ENTRY writes sent twice with the same request id.
    """

    name: str
    caller: str
    database: str
    kind: str
    work: Work
    rate: int
    surge_rate: int = 0
    surge_at_ms: int = 0
    surge_for_ms: int = 0
    group: str = ""
    sessions: int = DEFAULT_SESSIONS
    move_ms: int = 0
    with_token: bool = True
    work_ms: int = 0
    repeat_percent: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """A load run.

    Parameters
    ----------
    duration_ms
        Duration of the run.
    seed
        Seed of all random generators.
    streams
        Streams of operations.
    """

    duration_ms: int
    seed: int = DEFAULT_SEED
    streams: tuple[Stream, ...] = ()


def _parse_work(text: str) -> Work:
    try:
        return Work(text)
    except ValueError:
        known = ", ".join(work.value for work in Work)
        raise ValueError(f"expected one of {known}, got {text!r}") from None


def _parse_percent(text: str) -> int:
    if not text.isdigit() or int(text) > 100:
        raise ValueError(f"expected a whole percentage, got {text!r}")
    return int(text)


def _parse_move_with(text: str) -> bool:
    if text not in ("token", "name"):
        raise ValueError(f"expected token or name, got {text!r}")
    return text == "token"


def _read_stream(name: str, section: Section) -> Stream:
    stream = Stream(
        name=name,
        caller=section.read("caller", parse_name),
        database=section.read("database", parse_name),
        kind=section.read("kind", parse_name, "default"),
        work=section.read("work", _parse_work),
        rate=section.read("rate", parse_count),
        surge_rate=section.read("surge-rate", parse_count, 0),
        surge_at_ms=section.read("surge-at", parse_duration, 0),
        surge_for_ms=section.read("surge-for", parse_duration, 0),
        group=section.read("group", parse_name, name),
        sessions=section.read("sessions", parse_count, DEFAULT_SESSIONS),
        move_ms=section.read("move-every", parse_duration, 0),
        with_token=section.read("move-with", _parse_move_with, True),
        work_ms=section.read("work-time", parse_duration, 0),
        repeat_percent=section.read("repeat-percent", _parse_percent, 0),
    )
    section.check_unknown_keys()
    return stream


def parse_scenario(text: str, source: str) -> Scenario:
    """Parse and validate a scenario.

    Raises
    ------
    InvalidFileError
        With all errors in the text.
    """
    problems: list[Problem] = []
    sections = read_sections(text, source, problems)
    head = sections.pop("scenario", None) or Section(
        source=source, name="scenario", values={}, problems=problems
    )
    duration = head.read("duration", parse_duration)
    seed = head.read("seed", parse_count, DEFAULT_SEED)
    head.check_unknown_keys()
    streams: list[Stream] = []
    for title, section in sections.items():
        section_type, _, name = title.partition(" ")
        if section_type != "stream" or not name:
            section.add_problem("", "unknown section; expected [stream NAME]")
            continue
        streams.append(_read_stream(name, section))
    if problems:
        raise InvalidFileError(problems)
    return Scenario(duration_ms=duration, seed=seed, streams=tuple(streams))


def load_scenario(path: Path) -> Scenario:
    """Read a scenario from a file; see `parse_scenario`."""
    return parse_scenario(path.read_text(), str(path))
