"""Bundles: callers, databases, backend servers, request kinds and people."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, field

from .exceptions import InvalidFileError, Problem
from .identifiers import (
    BundleVersion,
    CallerId,
    DatabaseId,
    DataCentreId,
    KindId,
    PersonId,
    ServerId,
    SignerId,
)
from .ini import (
    Section,
    parse_address,
    parse_count,
    parse_duration,
    parse_name,
    parse_names,
    parse_yes_no,
    read_sections,
)

DEFAULT_KIND = KindId("default")
DEFAULT_DEADLINE_MS = 5_000
DEFAULT_WEIGHT = 4
DEFAULT_OBJECTIVE = "99.9"


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """A backend server and its limits."""

    server: ServerId
    database: DatabaseId
    address: str
    data_centre: DataCentreId
    slots: int
    connections: int
    replication_address: str
    leaving: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Database:
    """A database and its backend servers."""

    database: DatabaseId
    servers: tuple[ServerId, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Contract:
    """Access rights and password of one caller.

    Parameters
    ----------
    caller
        The caller; also its user name.
    databases
        Databases that it may use.
    password_hash
        Double SHA-1 hash of the password, 40 hex digits.
    """

    caller: CallerId
    databases: tuple[DatabaseId, ...]
    password_hash: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Kind:
    """A kind of request.

    Parameters
    ----------
    kind
        Name of the kind.
    staleness_ms
        Accepted staleness of reads; 0 requires the primary.
    deadline_ms
        Default deadline of its requests.
    weight
        Scheduling weight relative to other kinds.
    long
        Whether its requests are declared as long-running.
    objective
        Service level objective: percentage of requests answered in time.
    """

    kind: KindId
    staleness_ms: int = 0
    deadline_ms: int = DEFAULT_DEADLINE_MS
    weight: int = DEFAULT_WEIGHT
    long: bool = False
    objective: float = float(DEFAULT_OBJECTIVE)


@dataclass(frozen=True, kw_only=True, slots=True)
class Person:
    """A person whose key may sign bundles."""

    person: PersonId
    public_key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Bundle:
    """A validated bundle.

    Parameters
    ----------
    version
        Version number; it only increases.
    databases, servers, callers, kinds, people
        Contents of the bundle by id.
    signers
        Public keys in hex of the signers of evidence, by name.
    sections
        Canonical text of each section by name.
    """

    version: BundleVersion
    databases: dict[DatabaseId, Database] = field(default_factory=dict)
    servers: dict[ServerId, BackendServer] = field(default_factory=dict)
    callers: dict[CallerId, Contract] = field(default_factory=dict)
    kinds: dict[KindId, Kind] = field(default_factory=dict)
    people: dict[PersonId, Person] = field(default_factory=dict)
    signers: dict[SignerId, str] = field(default_factory=dict)
    sections: dict[str, str] = field(default_factory=dict)

    def find_kind(self, kind: str) -> Kind:
        """Return a kind, or the default kind for an unknown name."""
        found = self.kinds.get(KindId(kind)) or self.kinds.get(DEFAULT_KIND)
        return found or Kind(kind=DEFAULT_KIND)


EMPTY_BUNDLE = Bundle(version=BundleVersion(0))


def _parse_percent(text: str) -> float:
    value = float(text)
    if not 0 < value < 100:
        raise ValueError(f"expected a percentage between 0 and 100, got {text!r}")
    return value


def _parse_password_hash(text: str) -> str:
    digits = text.removeprefix("*")
    if len(digits) != 40 or not all(c in "0123456789ABCDEFabcdef" for c in digits):
        raise ValueError("expected '*' and 40 hex digits (see 'bundle hash-password')")
    return digits.lower()


def parse_public_key(text: str) -> str:
    """Return an Ed25519 public key in hex after checking its form."""
    if len(text) != 64 or not all(c in "0123456789abcdef" for c in text):
        raise ValueError("expected 64 hex digits of an Ed25519 public key")
    return text


def _read_server(name: str, section: Section) -> BackendServer:
    return BackendServer(
        server=ServerId(name),
        database=DatabaseId(section.read("database", parse_name)),
        address=section.read("address", parse_address),
        data_centre=DataCentreId(section.read("data-centre", parse_name)),
        slots=section.read("slots", parse_count),
        connections=section.read("connections", parse_count),
        replication_address=section.read("replication-address", parse_address),
        leaving=section.read("leaving", parse_yes_no, False),
    )


def _read_caller(name: str, section: Section) -> Contract:
    databases = section.read("databases", parse_names)
    return Contract(
        caller=CallerId(name),
        databases=tuple(DatabaseId(d) for d in databases or ()),
        password_hash=section.read("password-hash", _parse_password_hash),
    )


def _read_kind(name: str, section: Section) -> Kind:
    return Kind(
        kind=KindId(name),
        staleness_ms=section.read("staleness", parse_duration, 0),
        deadline_ms=section.read("deadline", parse_duration, DEFAULT_DEADLINE_MS),
        weight=section.read("weight", parse_count, DEFAULT_WEIGHT),
        long=section.read("long", parse_yes_no, False),
        objective=section.read("objective", _parse_percent, float(DEFAULT_OBJECTIVE)),
    )


def _canonical(section: Section) -> str:
    return "".join(f"{key} = {section.values[key]}\n" for key in sorted(section.values))


def parse_bundle(text: str, source: str) -> Bundle:
    """Parse and validate a complete bundle.

    Parameters
    ----------
    text
        INI text.
    source
        File name for messages.

    Returns
    -------
    Bundle
        The validated bundle.

    Raises
    ------
    InvalidFileError
        With all errors in the text.
    """
    problems: list[Problem] = []
    sections = read_sections(text, source, problems)
    head = sections.get("bundle")
    version = 0
    if head is None:
        problems.append(
            Problem(source=source, section="bundle", key="", expected="missing section")
        )
    else:
        version = head.read("version", parse_count, 1)
    bundle = Bundle(version=BundleVersion(version))
    _fill_bundle(bundle, sections)
    if problems:
        raise InvalidFileError(problems)
    return bundle


def change_bundle(
    old: Bundle,
    version: BundleVersion,
    changed: dict[str, str],
    removed: set[str],
    source: str,
) -> Bundle:
    """Return a bundle with some sections replaced.

    Parameters
    ----------
    old
        Previous bundle; it is not modified.
    version
        Version of the result.
    changed
        Text of each new or changed section, by section name.
    removed
        Names of the removed sections.
    source
        File name for messages.

    Raises
    ------
    InvalidFileError
        With all errors in the changed sections.
    """
    bundle = Bundle(
        version=version,
        servers=dict(old.servers),
        callers=dict(old.callers),
        kinds=dict(old.kinds),
        people=dict(old.people),
        signers=dict(old.signers),
        sections=dict(old.sections),
    )
    for title in removed | changed.keys():
        _remove_section(bundle, title)
    problems: list[Problem] = []
    sections = read_sections("\n".join(changed.values()), source, problems)
    _fill_bundle(bundle, sections)
    if problems:
        raise InvalidFileError(problems)
    return bundle


def _fill_bundle(bundle: Bundle, sections: dict[str, Section]) -> None:
    for title, section in sections.items():
        _read_section(bundle, title, section)
        section.check_unknown_keys()
        # The version is part of the signed root, not of a section.
        if title != "bundle":
            bundle.sections[title] = _canonical(section)
    _gather_databases(bundle)
    _check_references(bundle, sections)


def _remove_section(bundle: Bundle, title: str) -> None:
    section_type, _, name = title.partition(" ")
    bundle.sections.pop(title, None)
    if section_type == "backend-server":
        bundle.servers.pop(ServerId(name), None)
    elif section_type == "caller":
        bundle.callers.pop(CallerId(name), None)
    elif section_type == "kind":
        bundle.kinds.pop(KindId(name), None)
    elif section_type == "person":
        bundle.people.pop(PersonId(name), None)
    elif section_type == "signer":
        bundle.signers.pop(SignerId(name), None)


def _read_section(bundle: Bundle, title: str, section: Section) -> None:
    section_type, _, name = title.partition(" ")
    if title == "bundle":
        return
    try:
        parse_name(name)
    except ValueError as error:
        section.add_problem("", f"section name: {error}")
        return
    if section_type == "backend-server":
        bundle.servers[ServerId(name)] = _read_server(name, section)
    elif section_type == "caller":
        bundle.callers[CallerId(name)] = _read_caller(name, section)
    elif section_type == "kind":
        bundle.kinds[KindId(name)] = _read_kind(name, section)
    elif section_type == "person":
        key = section.read("public-key", parse_public_key)
        person = Person(person=PersonId(name), public_key=key)
        bundle.people[PersonId(name)] = person
    elif section_type == "signer":
        bundle.signers[SignerId(name)] = section.read("public-key", parse_public_key)
    else:
        section.add_problem("", "unknown section")


def _gather_databases(bundle: Bundle) -> None:
    members: dict[DatabaseId, list[ServerId]] = {}
    for server in bundle.servers.values():
        members.setdefault(server.database, []).append(server.server)
    for database, servers in members.items():
        bundle.databases[database] = Database(
            database=database, servers=tuple(sorted(servers))
        )


def _check_references(bundle: Bundle, sections: dict[str, Section]) -> None:
    if not sections:
        return
    reporter = next(iter(sections.values()))
    for contract in bundle.callers.values():
        for database in contract.databases:
            if database not in bundle.databases:
                title = f"caller {contract.caller}"
                expected = f"no backend server serves {database!r}"
                caller_section = sections.get(title)
                if caller_section is not None:
                    caller_section.add_problem("databases", expected)
                else:
                    reporter.add_problem("", f"[{title}] databases: {expected}")
    if len(bundle.people) < 2:
        reporter.add_problem("", "expected at least two [person NAME] sections")


def digest_text(text: str) -> str:
    """Return the digest that identifies a piece of a bundle."""
    return hashlib.sha256(text.encode()).hexdigest()[:40]


def list_withdrawn(old: Bundle, new: Bundle) -> dict[CallerId, tuple[DatabaseId, ...]]:
    """Return the databases that each caller loses access to."""
    withdrawn: dict[CallerId, tuple[DatabaseId, ...]] = {}
    for caller, contract in old.callers.items():
        kept = new.callers[caller].databases if caller in new.callers else ()
        gone = tuple(d for d in contract.databases if d not in kept)
        if gone:
            withdrawn[caller] = gone
    return withdrawn


def describe_changes(old: Bundle, new: Bundle) -> Iterable[str]:
    """Yield a line for each added, removed or changed section."""
    for name in sorted(old.sections.keys() | new.sections.keys()):
        if name not in new.sections:
            yield f"- [{name}]"
        elif name not in old.sections:
            yield f"+ [{name}]"
        elif old.sections[name] != new.sections[name]:
            yield f"~ [{name}]"
