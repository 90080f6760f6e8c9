"""Settings of a pooling host, from an INI file."""

from dataclasses import dataclass, field
from pathlib import Path

from ..decisions.placement import Distance
from ..exceptions import InvalidFileError, Problem
from ..freshness.bounds import Bounds, derive_bounds
from ..identifiers import DataCentreId, HostId
from ..ini import (
    Section,
    parse_address,
    parse_amount,
    parse_duration,
    parse_flag,
    parse_name,
    parse_share,
    read_file,
    read_sections,
)
from ..intake import IntakeSettings
from .intake_settings import read_intake_settings

DEFAULT_GRACE_MS = 10_000
DEFAULT_APPLY_MS = 5_000
DEFAULT_LEAVE_MS = 10_000
DEFAULT_WINDOW_MS = 5_000
DEFAULT_HOP_PRICE_MS = 50
DEFAULT_KIB_PRICE_MS = 10
SECTION = "pooling-host"
REGIONS = "regions"


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolingSettings:
    """Settings of a pooling host.

    Parameters
    ----------
    host, data_centre
        Name and data centre of this host.
    caller_address, ready_address, metrics_address
        ``ip:port`` to listen on for callers, for the load balancer's readiness
        check and for metrics.
    store_address, promotion_address
        ``ip:port`` of the platform's object store and of its promotion API.
    peer_address
        ``ip:port`` to listen on for other hosts; empty when this host is not a
        relay for them.
    grace_ms
        Time between the signal to stop and the kill.
    apply_ms
        Time within which a new configuration must be in force.
    leave_ms
        Time within which a leaving server must get no more requests.
    window_ms
        Time without a fault after which those two bounds hold again.
    fenced
        Whether the platform checks the fencing tokens of promotions and stops a
        replaced primary at once.
    revoke_ms
        Time within which a withdrawn key must run nothing on any host, whether that
        reaches the store or not; 0 where there is no such bound.
    share_reads_from
        Number of listed hosts from which few of them read the store and vouch for the
        others, though no key is ever revoked; 0 where each host reads it.
    limit_window_ms
        Window over which the rate limits of organisations are judged; 0 where no
        rate is limited.
    limit_excess
        Share of a rate limit by which a window may exceed it, from 0 to 1.
    limit_slack
        Operations by which a window may exceed a rate limit beside that share.
    early_rejection
        Whether statements wait or are rejected by the expected end of an outage.
    spillover
        Whether reads leave the data centre by price and expected response time.
    hop_price_ms, kib_price_ms
        Prices of a hop and of 1,024 bytes over one, as response time in milliseconds.
    regions
        Region of each data centre.
    intake
        Limits for clients.
    """

    host: HostId
    data_centre: DataCentreId
    caller_address: str
    ready_address: str
    metrics_address: str
    store_address: str
    promotion_address: str
    peer_address: str = ""
    grace_ms: int = DEFAULT_GRACE_MS
    apply_ms: int = DEFAULT_APPLY_MS
    leave_ms: int = DEFAULT_LEAVE_MS
    window_ms: int = DEFAULT_WINDOW_MS
    fenced: bool = False
    revoke_ms: int = 0
    share_reads_from: int = 0
    limit_window_ms: int = 0
    limit_excess: float = 0.0
    limit_slack: int = 0
    early_rejection: bool = False
    spillover: bool = False
    hop_price_ms: int = DEFAULT_HOP_PRICE_MS
    kib_price_ms: int = DEFAULT_KIB_PRICE_MS
    regions: dict[DataCentreId, str] = field(default_factory=dict)
    intake: IntakeSettings = field(default_factory=IntakeSettings)

    @property
    def freshness_bounds(self) -> Bounds:
        """Bounds on the ages of the proofs of the configuration."""
        return derive_bounds(
            self.revoke_ms,
            self.apply_ms,
            self.leave_ms,
            self.window_ms,
            is_shared=self.share_reads_from > 0,
        )

    def locate(self, data_centre: DataCentreId) -> Distance:
        """Return the distance from this host to a data centre."""
        return self.measure(self.data_centre, data_centre)

    def measure(self, one: DataCentreId, other: DataCentreId) -> Distance:
        """Return the distance between two data centres."""
        if one == other:
            return Distance.SAME_DATA_CENTRE
        region = self.regions.get(one)
        if region is not None and self.regions.get(other) == region:
            return Distance.SAME_REGION
        return Distance.REMOTE


def parse_pooling_settings(text: str, source: str) -> PoolingSettings:
    """Parse settings.

    Unknown keys are ignored: the platform may add some.

    Parameters
    ----------
    text
        INI text.
    source
        File name for messages.

    Raises
    ------
    InvalidFileError
        With every error in the text.
    """
    problems: list[Problem] = []
    sections = read_sections(text, source, problems)
    host = sections.get(SECTION) or Section(
        source=source, name=SECTION, values={}, problems=problems
    )
    regions = sections.get(REGIONS)
    settings = PoolingSettings(
        host=HostId(host.read("name", parse_name)),
        data_centre=DataCentreId(host.read("data-centre", parse_name)),
        caller_address=host.read("caller-address", parse_address),
        ready_address=host.read("ready-address", parse_address),
        metrics_address=host.read("metrics-address", parse_address),
        store_address=host.read("store-address", parse_address),
        promotion_address=host.read("promotion-address", parse_address),
        peer_address=host.read("peer-address", parse_address, ""),
        grace_ms=host.read("grace", parse_duration, DEFAULT_GRACE_MS),
        apply_ms=host.read("apply-within", parse_duration, DEFAULT_APPLY_MS),
        leave_ms=host.read("leave-within", parse_duration, DEFAULT_LEAVE_MS),
        window_ms=host.read("stability-window", parse_duration, DEFAULT_WINDOW_MS),
        fenced=host.read("fenced", parse_flag, False),
        revoke_ms=host.read("revoke-within", parse_duration, 0),
        share_reads_from=host.read("share-store-reads-from", parse_amount, 0),
        limit_window_ms=host.read("rate-limit-window", parse_duration, 0),
        limit_excess=host.read("rate-limit-excess", parse_share, 0.0),
        limit_slack=host.read("rate-limit-slack", parse_amount, 0),
        early_rejection=host.read("early-rejection", parse_flag, False),
        spillover=host.read("spillover", parse_flag, False),
        hop_price_ms=host.read(
            "spillover-hop-price", parse_duration, DEFAULT_HOP_PRICE_MS
        ),
        kib_price_ms=host.read(
            "spillover-kib-price", parse_duration, DEFAULT_KIB_PRICE_MS
        ),
        regions={
            DataCentreId(name): regions.read(name, parse_name)
            for name in (regions.values if regions else {})
        }
        if regions
        else {},
        intake=read_intake_settings(host),
    )
    if problems:
        raise InvalidFileError(problems)
    return settings


def load_pooling_settings(path: Path) -> PoolingSettings:
    """Read settings from a file; see `parse_pooling_settings`."""
    return parse_pooling_settings(read_file(path), str(path))
