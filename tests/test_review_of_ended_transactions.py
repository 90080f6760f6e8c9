"""Statements that wait as their transaction ends, found in a review."""

import asyncio
from types import SimpleNamespace

from apricotshore.requests import Action
from apricotshore.services import executor
from apricotshore.services.transactions import Transaction, TransactionTable


async def test_rollback_that_waited_for_a_commit_runs_on_a_connection_in_other_use(
    monkeypatch,
):
    """A killed session's rollback ended what another caller had open there."""
    ran, released = [], []

    async def run(text, timeout_s):
        ran.append((text, "after its release" if released else "before"))

    async def commit(connection, progress):
        await asyncio.sleep(0.01)
        return 1

    monkeypatch.setattr(executor, "commit", commit)
    transaction = Transaction(
        transaction="t",
        caller="u",
        server="s1",
        connection=SimpleNamespace(run=run, close=lambda: None),
        pool=SimpleNamespace(release=released.append),
        origin="h",
        last_used_at=0,
    )
    table = TransactionTable()
    table.open["t"] = transaction

    def ask(action):
        request = SimpleNamespace(transaction="t", caller="u", action=action, sql="")
        return table.run(request, 10**12, None)

    await asyncio.gather(
        ask(Action.COMMIT), ask(Action.ROLLBACK), return_exceptions=True
    )
    assert ("ROLLBACK", "after its release") not in ran
