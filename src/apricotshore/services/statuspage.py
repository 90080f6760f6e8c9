"""HTTP server for the load balancer's health check and for metrics."""

import asyncio
import json
from collections.abc import Callable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

import h11
from aioprometheus import Registry
from aioprometheus.renderer import render

from ..exceptions import ApricotshoreError

READ_BYTES = 1 << 14
# Connections that send nothing, or only a part of a request, or that don't take the
# answer, are closed after this.
IDLE_S = 60.0
# Connections at once; further ones are closed.
MAX_CONNECTIONS = 64
METRICS_PATH = "/metrics"
ROUTE_PATH = "/route"

ReportRoute = Callable[[Mapping[str, str]], dict[str, object]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Page:
    """Answer to a request.

    Parameters
    ----------
    status, body
        HTTP status and body.
    headers
        Headers beside its length.
    """

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


class StatusPage:
    """Serves ``/health`` and ``/metrics``, and ``/route`` where there is a report.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    registry
        Registry of the metrics.
    is_ready
        Returns whether the load balancer should send callers to this host.
    refresh
        Updates the metrics before they are rendered.
    health_path
        Path of the health check.
    report_route
        Returns where a request with these parameters would go, None without a page.
    """

    def __init__(
        self,
        *,
        address: str,
        registry: Registry,
        is_ready: Callable[[], bool],
        refresh: Callable[[], None],
        health_path: str = "/health",
        report_route: ReportRoute | None = None,
    ) -> None:
        self.address = address
        self.registry = registry
        self.is_ready = is_ready
        self.refresh = refresh
        self.health_path = health_path
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self.server is None:
            return
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if len(self.writers) >= MAX_CONNECTIONS:
            writer.close()
            return
        self.writers.add(writer)
        try:
            with suppress(OSError, TimeoutError, h11.ProtocolError):
                await self._answer_requests(reader, writer)
        except asyncio.CancelledError:
            # The host stops.
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        state = h11.Connection(our_role=h11.SERVER)
        while True:
            async with asyncio.timeout(IDLE_S):
                request = await _read_request(state, reader)
                if request is None:
                    return
                _write_page(state, writer, self._make_page(request))
                await writer.drain()
            if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
                return
            state.start_next_cycle()

    def _make_page(self, request: h11.Request) -> Page:
        path, _, query = request.target.decode("latin-1").partition("?")
        if request.method != b"GET":
            return Page(status=405, body=b"use GET\n", headers={"Allow": "GET"})
        if path == self.health_path:
            if self.is_ready():
                return Page(status=200, body=b"ready\n")
            return Page(status=503, body=b"not ready\n")
        if path == METRICS_PATH:
            self.refresh()
            accepts = [
                v.decode("latin-1") for k, v in request.headers if k == b"accept"
            ]
            body, headers = render(self.registry, accepts)
            return Page(status=200, body=body, headers=dict(headers))
        if path == ROUTE_PATH and self.report_route is not None:
            return _make_route_page(self.report_route, dict(parse_qsl(query)))
        return Page(status=404, body=b"no such page\n")


def _make_route_page(report_route: ReportRoute, parameters: dict[str, str]) -> Page:
    headers = {"Content-Type": "application/json"}
    try:
        status, content = 200, report_route(parameters)
    except ApricotshoreError as error:
        status, content = 404, {"error": str(error)}
    return Page(status=status, body=json.dumps(content).encode(), headers=headers)


async def _read_request(
    state: h11.Connection, reader: asyncio.StreamReader
) -> h11.Request | None:
    """Read a request and drop its body; return None if the client has closed."""
    request: h11.Request | None = None
    while True:
        event = state.next_event()
        if event is h11.NEED_DATA:
            state.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            return request
        elif isinstance(event, h11.ConnectionClosed):
            return None


def _write_page(
    state: h11.Connection, writer: asyncio.StreamWriter, page: Page
) -> None:
    headers = {"Content-Type": "text/plain; charset=utf-8", **page.headers}
    headers["Content-Length"] = str(len(page.body))
    head = h11.Response(status_code=page.status, headers=list(headers.items()))
    writer.write(state.send(head) or b"")
    writer.write(state.send(h11.Data(data=page.body)) or b"")
    writer.write(state.send(h11.EndOfMessage()) or b"")
