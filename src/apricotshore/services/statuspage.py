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
from .sockets import enable_keepalive

READ_BYTES = 1 << 14
# Connections that send nothing, or only a part of a request, or that don't take the
# answer, are closed after this.
IDLE_S = 60.0
# Connections at once. A further one closes the one that was used longest ago, so that
# idle clients can't keep out health checks.
MAX_CONNECTIONS = 64
READING_METHODS = (b"GET", b"HEAD")
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
        Returns where a request with these parameters would go; None serves no
        ``/route``.
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
        self.report_route = report_route
        self.server: asyncio.Server | None = None
        self.writers: dict[asyncio.StreamWriter, None] = {}

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
            next(iter(self.writers)).transport.abort()
        self.writers[writer] = None
        enable_keepalive(writer.get_extra_info("socket"))
        try:
            with suppress(OSError, h11.ProtocolError):
                await self._answer_requests(reader, writer)
        except TimeoutError:
            # An answer that isn't taken would keep the connection open.
            writer.transport.abort()
        except asyncio.CancelledError:
            # The host stops.
            return
        finally:
            self.writers.pop(writer, None)
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
                # Connections that were used longest ago are closed first.
                self.writers[writer] = self.writers.pop(writer, None)
                _write_page(state, writer, request, self._make_page(request))
                await writer.drain()
            if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
                return
            state.start_next_cycle()

    def _make_page(self, request: h11.Request) -> Page:
        path, _, query = request.target.decode("latin-1").partition("?")
        if request.method not in READING_METHODS:
            headers = {"Allow": "GET, HEAD"}
            return Page(status=405, body=b"use GET\n", headers=headers)
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
    state: h11.Connection,
    writer: asyncio.StreamWriter,
    request: h11.Request,
    page: Page,
) -> None:
    headers = {"Content-Type": "text/plain; charset=utf-8", **page.headers}
    headers["Content-Length"] = str(len(page.body))
    head = h11.Response(status_code=page.status, headers=list(headers.items()))
    writer.write(state.send(head) or b"")
    if request.method != b"HEAD":
        writer.write(state.send(h11.Data(data=page.body)) or b"")
    writer.write(state.send(h11.EndOfMessage()) or b"")
