"""Registry: fitness of owners and what peers are told about claims.

An owner that is unfit must not leave its database without an owner.
"""

from types import SimpleNamespace

from apricotshore.decisions.failover import AskWitnesses
from apricotshore.decisions.routing import GroupView
from apricotshore.services import registry as registry_module
from apricotshore.services.groupwatch import GroupWatch, WatchHooks
from apricotshore.services.registry import OwnerRegistry


def make_registry():
    return OwnerRegistry(
        settings=None, members=None, links=None, hooks=None, policy=None
    )


def test_unfitness_persists_after_owner_is_removed(monkeypatch):
    registry, now = make_registry(), 0
    monkeypatch.setattr(registry_module, "read_monotonic_ms", lambda: now)
    owner = SimpleNamespace(unfit=True, owning=False)
    registry.owners["d"] = owner
    registry._clear_expired_unfit("d", owner)
    del registry.owners["d"]
    registry._clear_expired_unfit("d", None)
    assert registry.is_unfit("d")
    now = registry_module.UNFIT_MS
    registry._clear_expired_unfit("d", None)
    assert not registry.is_unfit("d")


def test_is_holding_is_false_without_claim():
    registry = make_registry()
    assert not registry.is_holding("d")
    registry.owners["d"] = SimpleNamespace(unfit=False, owning=False)
    assert not registry.is_holding("d")


async def test_witnesses_of_replaced_primary_leave_owner_fit():
    # Guards against a former primary that resumes and answers the witnesses after
    # another server was promoted: the answers concern a server that no longer
    # matters and must not mark the owner unfit. Seen in a live run.
    view, unfit = GroupView(members=("s1", "s2", "s3"), primary="s1"), []

    async def ask(address):
        view.primary = "s2"
        return [True, True]

    hooks = WatchHooks(
        on_claim=None,
        on_change=None,
        on_event=None,
        ask_witnesses=ask,
        on_unfit=lambda: unfit.append(True),
        may_coordinate=None,
    )
    endpoint = SimpleNamespace(server=SimpleNamespace(address="a:1"))
    watch = GroupWatch(
        endpoints={"s1": endpoint}, view=view, coordinator_name="d", hooks=hooks
    )
    await watch._ask_witnesses(AskWitnesses(server="s1"))
    assert not unfit
