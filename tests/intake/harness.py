"""One host process on loopback, with stand-ins for the store and a backend server."""

import asyncio
import os
import random
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from standins.ports import find_free_port
from tests.soak.fleet import SETTINGS
from tests.soak.model import Checker
from tests.soak.store import Store

SERVE = Path(__file__).resolve().parents[2] / "platform" / "serve.py"
LINE_LIMIT = 1 << 20
START_S = 30.0
# Attempts of the ordinary caller; there is no bound on the time of each.
ATTEMPTS = 40
ATTEMPT_S = 10.0
# A crowd's client gives up what the host doesn't take.
CLIENT_S = 8.0
ANSWER_ROWS = 16
ROW = "r" * 65_536


class Server:
    """Backend server that leads, and answers a read of ``big`` with 1 MiB."""

    def __init__(self) -> None:
        self.port = 0
        self.answered = 0

    async def start(self) -> None:
        """Start listening."""
        server = await asyncio.start_server(
            self._handle, "127.0.0.1", 0, limit=4 * LINE_LIMIT
        )
        self.port = server.sockets[0].getsockname()[1]

    async def _handle(self, reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n")
            writer.write(b"READY I 1.1\r\n")
            state = "I"
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                text = line.split(" ", 2)[2]
                state = {"BEGIN": "T", "ROLLBACK": "I", "COMMIT": "I"}.get(text, state)
                writer.write(self._answer(text, state).encode())
                self.answered += text.startswith("READ")
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    def _answer(self, text: str, state: str) -> str:
        rows = ""
        if text in ("STATUS", "RESUME"):
            rows = "ROW primary 1 1.1 0 0 0 0\r\n"
        elif text == "READ big":
            rows = f"ROW {ROW}\r\n" * ANSWER_ROWS
        elif text.startswith("READ"):
            rows = "ROW v\r\n"
        return f"{rows}COMPLETE 7.1\r\nREADY {state} 1.1\r\n"


class Host:
    """The host process under test.

    Parameters
    ----------
    process
        The process.
    port, metrics_port
        Ports for callers and for metrics.
    log
        File of its journal and its errors.
    """

    def __init__(self, *, process, port: int, metrics_port: int, log: Path) -> None:
        self.process = process
        self.port = port
        self.metrics_port = metrics_port
        self.log = log

    @property
    def peak_mb(self) -> float:
        """Largest resident memory so far (VmHWM)."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        kilobytes = text.split("VmHWM:")[1].split()[0]
        return int(kilobytes) / 1024

    @property
    def descriptors(self) -> int:
        """Open file descriptors now."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def connect(self, receive_buffer: int = 0):
        """Open a connection, with a receive buffer of a given size in bytes."""
        raw = socket.socket()
        if receive_buffer:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        raw.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(raw, ("127.0.0.1", self.port))
        return raw

    async def ask(self, text: str) -> str | None:
        """Run one statement in a session of its own; None when it was not served."""
        try:
            async with asyncio.timeout(ATTEMPT_S):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.port, limit=4 * LINE_LIMIT
                )
                try:
                    writer.write(b"STARTUP shop u1\r\n")
                    if not (await reader.readline()).startswith(b"READY"):
                        return None
                    writer.write(f"QUERY q1 {text}\r\n".encode())
                    lines = []
                    while line := (await reader.readline()).decode():
                        lines.append(line)
                        if line.startswith("READY"):
                            return "".join(lines)
                    return None
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return None

    async def ask_until_served(self, text: str = "READ k") -> bool:
        """Return whether a statement is served, in one of some attempts."""
        for _ in range(ATTEMPTS):
            answer = await self.ask(text)
            if answer is not None and "COMPLETE" in answer:
                return True
            await asyncio.sleep(0.25)
        return False

    async def read_metrics(self) -> str:
        """Return the page of metrics."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.metrics_port)
        writer.write(b"GET /metrics HTTP/1.0\r\nHost: h\r\n\r\n")
        page = await reader.read()
        writer.close()
        return page.decode()


@asynccontextmanager
async def running_host(folder: Path, limits: str = "") -> AsyncIterator[Host]:
    """Run a host with lines of settings added to its own."""
    server = Server()
    await server.start()
    store = Store(groups={}, checker=Checker(), random=random.Random(1))
    route = {"database": "shop", "service": "g", "type": "primary", "timeoutMs": 5000}
    store.write(
        "config",
        "main",
        {
            "version": 3,
            "routes": [{**route, "targetLatencyMs": 4000, "priority": 1}],
            "services": [{"name": "g", "maxConnections": 12}],
        },
    )
    address = f"127.0.0.1:{server.port}"
    spec = {"service": "g", "zone": "a", "slots": 8, "state": "ready"}
    store.write("servers", "s1", {**spec, "address": address, "dbRole": "primary"})
    names = ("caller", "ready", "metrics", "peer")
    ports = {name: find_free_port() for name in names}
    ports["store"] = await store.listen("h1")
    text = SETTINGS.format(name="h1", zone="a", grace=6, apply=3, leave=7, **ports)
    settings = folder / "host.ini"
    settings.write_text(text.replace("[regions]", f"{limits}\n[regions]"))
    environment = {**os.environ, "APRICOTSHORE_SETTINGS": str(settings)}
    environment.pop("PYTHONPATH", None)
    log = folder / "host.log"
    with log.open("wb") as output:
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(SERVE), env=environment, stdout=output, stderr=output
        )
    host = Host(
        process=process, port=ports["caller"], metrics_port=ports["metrics"], log=log
    )
    try:
        async with asyncio.timeout(START_S):
            while await host.ask("READ k") is None:
                await asyncio.sleep(0.1)
        yield host
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
