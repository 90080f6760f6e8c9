"""Tests of the start of the program as a process."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from standins.ports import find_free_port
from tests.soak.fleet import SETTINGS, survives

SERVE = Path(__file__).resolve().parents[2] / "platform" / "serve.py"


def write_settings(path: Path) -> None:
    ports = {
        name: find_free_port()
        for name in ("caller", "ready", "metrics", "peer", "store")
    }
    text = SETTINGS.format(name="h1", zone="a", grace=6, apply=3, leave=7, **ports)
    path.write_text(text)


async def wait_until_protected(pid: int) -> None:
    """Wait until SIGHUP no longer ends a process."""
    async with asyncio.timeout(20):
        while not survives(pid, signal.SIGHUP):
            await asyncio.sleep(0.002)


async def test_reload_signal_during_the_start_does_not_end_the_process(tmp_path):
    """SIGHUP is ignored before the imports, which take most of the start.

    Its default action would end a process that a reload reaches during its start.
    """
    path = tmp_path / "host.ini"
    write_settings(path)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(SERVE),
        env={**os.environ, "APRICOTSHORE_SETTINGS": str(path)},
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        await wait_until_protected(process.pid)
        assert "aiohttp" not in Path(f"/proc/{process.pid}/maps").read_text()
        for _ in range(4):
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.08)
        async with asyncio.timeout(20):
            line = await process.stdout.readline()
        assert b'"started"' in line
        assert process.returncode is None
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
