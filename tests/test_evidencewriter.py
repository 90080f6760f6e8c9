"""Evidence of withdrawals is recorded once, and again when it was lost."""

from types import SimpleNamespace

from apricotshore.exceptions import PlatformError
from apricotshore.groups import LOG_START
from apricotshore.identifiers import StoreEra
from apricotshore.services.eras import EraTracker
from apricotshore.services.evidencewriter import EvidenceWriter


class Platform:
    """Platform that may be down, and counts writes."""

    def __init__(self) -> None:
        self.eras = EraTracker()
        self.eras.accept(StoreEra(1))
        self.down = False
        self.writes = 0

    async def write(self, *arguments) -> int:
        if self.down:
            raise PlatformError("down")
        self.writes += 1
        return self.writes


def make_owner() -> SimpleNamespace:
    return SimpleNamespace(
        database="deliveries",
        withdrawn=frozenset(),
        refusals={},
        runner=SimpleNamespace(admitted_at={}),
        sessions=SimpleNamespace(min_position=LOG_START),
        claim_manager=SimpleNamespace(
            claim=SimpleNamespace(bundle=2), list_evidence=tuple
        ),
    )


def make_writer():
    owner, steps = make_owner(), []
    writer = EvidenceWriter(
        host="host-0",
        platform=Platform(),
        members=SimpleNamespace(list_live=list),
        owners={owner.database: owner},
        signing_key=None,
        record_event=lambda topic, subject, step, detail: steps.append(step),
    )
    writer.request(owner)
    return writer, owner, steps


async def test_evidence_is_written_again_only_in_a_restored_platform():
    writer, owner, _ = make_writer()
    await writer._write(owner)
    await writer._write(owner)
    assert writer.platform.writes == 1
    writer.platform.eras.accept(StoreEra(2))
    assert list(writer.pending) == ["deliveries"]
    await writer._write(owner)
    assert writer.platform.writes == 2


async def test_evidence_that_cannot_be_written_is_reported_once_and_kept():
    writer, owner, steps = make_writer()
    writer.platform.down = True
    await writer._write(owner)
    await writer._write(owner)
    assert steps == ["not recorded"]
    writer.platform.down = False
    await writer._write(owner)
    assert steps == ["not recorded", "recorded"]
    assert not writer.pending
