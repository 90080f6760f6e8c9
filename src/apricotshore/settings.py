"""Settings of a host, read from an INI file."""

from dataclasses import dataclass
from pathlib import Path

from .bundles import Person, parse_public_key
from .exceptions import InvalidFileError, Problem
from .identifiers import DataCentreId, HostId, PersonId
from .ini import (
    Section,
    parse_address,
    parse_count,
    parse_duration,
    parse_name,
    read_file,
    read_sections,
)

DEFAULT_DRAIN_MS = 10_000
DEFAULT_LOGIN_MS = 3_000
DEFAULT_MAX_CALLERS = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class TlsSettings:
    """TLS files; TLS is off when the paths are empty.

    Parameters
    ----------
    certificate, key, authority
        PEM files: certificate and private key of this host, and the certificate
        authority for the certificates of peers.
    """

    certificate: str = ""
    key: str = ""
    authority: str = ""

    @property
    def enabled(self) -> bool:
        """Whether TLS is enabled."""
        return bool(self.certificate)


@dataclass(frozen=True, kw_only=True, slots=True)
class Settings:
    """Settings of a host.

    Parameters
    ----------
    host, data_centre
        Name and data centre of this host.
    caller_address, peer_address, status_address
        Listening ``ip:port`` for callers, for peers, and for health and metrics.
    platform_address
        ``ip:port`` of the platform's object API.
    backend_user, backend_password
        User and password at the backend servers.
    seeds
        Peer addresses to try when the platform is unavailable at startup.
    drain_ms, login_ms
        Timeouts of the drain at shutdown and of a caller's login.
    max_callers
        Maximum number of open caller connections.
    log_format
        ``human`` or ``json``.
    peer_tls, caller_tls
        TLS files for connections with peers and with callers.
    evidence_signer, evidence_key
        Signer name in the bundle and key file for signing evidence; evidence is
        not signed when both are empty.
    trusted
        People whose keys are trusted for the first bundle that this host accepts.
    """

    host: HostId
    data_centre: DataCentreId
    caller_address: str
    peer_address: str
    status_address: str
    platform_address: str
    backend_user: str = "apricotshore"
    backend_password: str = ""
    seeds: tuple[str, ...] = ()
    drain_ms: int = DEFAULT_DRAIN_MS
    login_ms: int = DEFAULT_LOGIN_MS
    max_callers: int = DEFAULT_MAX_CALLERS
    log_format: str = "human"
    peer_tls: TlsSettings = TlsSettings()
    caller_tls: TlsSettings = TlsSettings()
    evidence_signer: str = ""
    evidence_key: str = ""
    trusted: tuple[Person, ...] = ()


def _parse_log_format(text: str) -> str:
    if text not in ("human", "json"):
        raise ValueError(f"expected human or json, got {text!r}")
    return text


def _parse_file(text: str) -> str:
    if not Path(text).is_file():
        raise ValueError(f"no such file: {text}")
    return text


def _parse_addresses(text: str) -> tuple[str, ...]:
    return tuple(parse_address(p.strip()) for p in text.split(",") if p.strip())


def _read_tls(section: Section | None) -> TlsSettings:
    if section is None:
        return TlsSettings()
    tls = TlsSettings(
        certificate=section.read("certificate", _parse_file),
        key=section.read("key", _parse_file),
        authority=section.read("authority", _parse_file, ""),
    )
    section.check_unknown_keys()
    return tls


def _read_trusted(section: Section | None) -> tuple[Person, ...]:
    if section is None:
        return ()
    return tuple(
        Person(person=PersonId(name), public_key=section.read(name, parse_public_key))
        for name in section.values
    )


def parse_settings(text: str, source: str) -> Settings:
    """Parse and validate settings.

    Parameters
    ----------
    text
        INI text.
    source
        File name for messages.

    Returns
    -------
    Settings
        The validated settings.

    Raises
    ------
    InvalidFileError
        With all errors in the text.
    """
    problems: list[Problem] = []
    sections = read_sections(text, source, problems)
    host = sections.pop("host", None) or Section(
        source=source, name="host", values={}, problems=problems
    )
    peer_tls = _read_tls(sections.pop("peer-tls", None))
    caller_tls = _read_tls(sections.pop("caller-tls", None))
    trusted = _read_trusted(sections.pop("trusted-keys", None))
    settings = Settings(
        host=HostId(host.read("name", parse_name)),
        data_centre=DataCentreId(host.read("data-centre", parse_name)),
        caller_address=host.read("caller-address", parse_address),
        peer_address=host.read("peer-address", parse_address),
        status_address=host.read("status-address", parse_address),
        platform_address=host.read("platform-address", parse_address),
        backend_user=host.read("backend-user", parse_name, "apricotshore"),
        backend_password=host.read("backend-password", str, ""),
        seeds=host.read("seeds", _parse_addresses, ()),
        drain_ms=host.read("drain", parse_duration, DEFAULT_DRAIN_MS),
        login_ms=host.read("login", parse_duration, DEFAULT_LOGIN_MS),
        max_callers=host.read("max-callers", parse_count, DEFAULT_MAX_CALLERS),
        log_format=host.read("log-format", _parse_log_format, "human"),
        evidence_signer=host.read("evidence-signer", parse_name, ""),
        evidence_key=host.read("evidence-key", _parse_file, ""),
        peer_tls=peer_tls,
        caller_tls=caller_tls,
        trusted=trusted,
    )
    host.check_unknown_keys()
    for section in sections.values():
        section.add_problem("", "unknown section")
    if problems:
        raise InvalidFileError(problems)
    return settings


def load_settings(path: Path) -> Settings:
    """Read settings from a file; see `parse_settings`."""
    return parse_settings(read_file(path), str(path))
