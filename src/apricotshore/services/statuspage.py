"""HTTP server for the load balancer's health check and for metrics."""

from collections.abc import Callable

from aiohttp import web
from aioprometheus import Registry
from aioprometheus.renderer import render

# Connections that send nothing, or only a part of a request, are closed after this.
IDLE_S = 60.0


class StatusPage:
    """Serves ``/health`` and ``/metrics``.

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
    """

    def __init__(
        self,
        *,
        address: str,
        registry: Registry,
        is_ready: Callable[[], bool],
        refresh: Callable[[], None],
        health_path: str = "/health",
    ) -> None:
        self.address = address
        self.registry = registry
        self.is_ready = is_ready
        self.refresh = refresh
        self.health_path = health_path
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start listening."""
        application = web.Application()
        application.router.add_get(self.health_path, self._handle_health)
        application.router.add_get("/metrics", self._handle_metrics)
        self.runner = web.AppRunner(
            application, access_log=None, keepalive_timeout=IDLE_S
        )
        await self.runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, host, int(port)).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def _handle_health(self, request: web.Request) -> web.Response:
        if self.is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _handle_metrics(self, request: web.Request) -> web.Response:
        self.refresh()
        accepts = request.headers.getall("Accept", [])
        body, headers = render(self.registry, accepts)
        return web.Response(body=body, headers=headers)
