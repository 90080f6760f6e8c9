"""HTTP server for the load balancer's health check and for metrics."""

from collections.abc import Callable, Mapping

from aiohttp import web
from aioprometheus import Registry
from aioprometheus.renderer import render

from ..exceptions import ApricotshoreError


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
        report_route: Callable[[Mapping[str, str]], dict[str, object]] | None = None,
    ) -> None:
        self.address = address
        self.registry = registry
        self.is_ready = is_ready
        self.refresh = refresh
        self.health_path = health_path
        self.report_route = report_route
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start listening."""
        application = web.Application()
        application.router.add_get(self.health_path, self._handle_health)
        application.router.add_get("/metrics", self._handle_metrics)
        if self.report_route is not None:
            application.router.add_get("/route", self._handle_route)
        self.runner = web.AppRunner(application, access_log=None)
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

    async def _handle_route(self, request: web.Request) -> web.Response:
        assert self.report_route is not None
        try:
            return web.json_response(self.report_route(request.query))
        except ApricotshoreError as error:
            return web.json_response({"error": str(error)}, status=404)
