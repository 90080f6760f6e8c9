"""Host processes, started with the command of the deploy file."""

import asyncio
import os
import signal
import socket
import sys
import tomllib
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
READY_STEP_S = 0.1
SETTINGS = """[pooling-host]
name = {name}
data-centre = {zone}
caller-address = 127.0.0.1:{front}
ready-address = 127.0.0.1:{ready}
metrics-address = 127.0.0.1:{metrics}
peer-address = 127.0.0.1:{peer}
store-address = 127.0.0.1:{store}
promotion-address = 127.0.0.1:{promotions}
grace = 6 s
apply-within = 3000 ms
leave-within = 7000 ms
stability-window = 5000 ms
fenced = yes

[regions]
braga-a = minho
regua-a = douro
lisboa-a = lisboa
"""


def find_free_port() -> int:
    """Return a loopback port that is free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def read_command() -> list[str]:
    """Return the words that start a host, from the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    words = tomllib.loads(text)["roles"]["entry"]["run"].split()
    return [sys.executable if words[0] == "python3" else words[0], *words[1:]]


class Host:
    """A host: its settings and its process.

    Parameters
    ----------
    name, zone
        Name and zone.
    folder
        Folder of its settings and its log.
    store_port, promotion_port
        Ports of the platform's store and of its promotion API.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        folder: Path,
        store_port: int,
        promotion_port: int,
    ) -> None:
        self.name = name
        self.zone = zone
        self.front_port = find_free_port()
        self.ready_port = find_free_port()
        self.settings = folder / f"{name}.ini"
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                front=self.front_port,
                ready=self.ready_port,
                metrics=find_free_port(),
                peer=find_free_port(),
                store=store_port,
                promotions=promotion_port,
            )
        )

    async def start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "APRICOTSHORE_SETTINGS": str(self.settings),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *read_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def _is_ready(self) -> bool:
        url = f"http://127.0.0.1:{self.ready_port}/-/readiness"
        try:
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    async def wait_until_ready(self, limit_s: float) -> bool:
        """Return whether the host reports itself ready within a time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + limit_s
        while loop.time() < until:
            if await asyncio.to_thread(self._is_ready):
                return True
            await asyncio.sleep(READY_STEP_S)
        return False

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
