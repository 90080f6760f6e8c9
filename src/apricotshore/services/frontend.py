"""MySQL protocol front end: accepts callers and keeps their sessions."""

import asyncio
import ssl
from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass
from weakref import WeakSet

from mysql_mimic import MysqlServer
from mysql_mimic.auth import (
    AuthPlugin,
    IdentityProvider,
    NativePasswordAuthPlugin,
    User,
)
from mysql_mimic.constants import DEFAULT_SERVER_CAPABILITIES
from mysql_mimic.types import Capabilities

from ..bundles import Bundle, Contract
from ..identifiers import CallerId
from ..requests import Request
from ..settings import Settings
from ..shutdown import Work
from ..verdicts import Failure
from .callersession import CallerSession, OpenTransaction, SessionContext
from .callerwriter import CallerWriter
from .clock import read_monotonic_ms
from .router import RoutedOutcome, Router

IDLE_BEFORE_CLOSE_MS = 3_000

_current_writer: ContextVar[CallerWriter] = ContextVar("writer")


@dataclass(kw_only=True)
class FrontendHooks:
    """Callbacks of the front end into the application."""

    get_bundle: Callable[[], Bundle]
    on_refused: Callable[[str], None]
    on_served: Callable[[Request, Failure | None, float], None]
    may_begin: Callable[[Work, int], bool]
    limit_timeout: Callable[[int], int]


class _BundleIdentityProvider(IdentityProvider):
    """Identity provider that reads users from the bundle in force."""

    def __init__(self, frontend: "Frontend") -> None:
        self.frontend = frontend

    def get_plugins(self) -> list[AuthPlugin]:
        return [NativePasswordAuthPlugin()]

    async def get_user(self, username: str) -> User | None:
        contract = self.frontend.find_contract(username)
        if contract is None:
            self.frontend.hooks.on_refused(username)
            return None
        return User(
            name=username,
            auth_string=contract.password_hash,
            auth_plugin="mysql_native_password",
        )


class _LimitedServer(MysqlServer):
    """MySQL server that limits the number of connections."""

    frontend: "Frontend"

    async def _client_connected_cb(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        frontend = self.frontend
        if (
            frontend.connection_count >= frontend.settings.max_callers
            or frontend.draining
        ):
            writer.close()
            return
        frontend.connection_count += 1
        caller_writer = CallerWriter(reader=reader, writer=writer)
        frontend.transports.add(writer.transport)
        _current_writer.set(caller_writer)
        try:
            await super()._client_connected_cb(reader, caller_writer)
        except (OSError, EOFError, AssertionError, ValueError, IndexError):
            # The library raises these on malformed packets; only this connection
            # is closed.
            writer.close()
        finally:
            frontend.connection_count -= 1


class Frontend:
    """Accepts connections of callers and keeps their sessions.

    Parameters
    ----------
    settings
        Settings of this host.
    router
        Routes requests to the owners of their databases.
    hooks
        Callbacks into the application.
    context
        TLS context; None for plain TCP.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        router: Router,
        hooks: FrontendHooks,
        context: ssl.SSLContext | None,
    ) -> None:
        self.settings = settings
        self.router = router
        self.hooks = hooks
        self.sessions: set[CallerSession] = set()
        self.login_timers: dict[CallerSession, asyncio.TimerHandle] = {}
        self.connection_count = 0
        self.draining = False
        self.transports: WeakSet[asyncio.WriteTransport] = WeakSet()
        self.jobs: set[asyncio.Task[RoutedOutcome]] = set()
        self.context = SessionContext(
            router=router,
            get_bundle=hooks.get_bundle,
            may_begin=hooks.may_begin,
            limit_timeout=hooks.limit_timeout,
            on_login=self.register_session,
            on_close=self.remove_session,
            on_served=hooks.on_served,
            roll_back=self.roll_back,
        )
        self.server = _LimitedServer(
            session_factory=self._open_session,
            # Some drivers fail if the server announces CLIENT_DEPRECATE_EOF.
            capabilities=DEFAULT_SERVER_CAPABILITIES
            & ~Capabilities.CLIENT_DEPRECATE_EOF,
            identity_provider=_BundleIdentityProvider(self),
            ssl=context,
        )
        self.server.frontend = self

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.settings.caller_address.rpartition(":")
        await self.server.start_server(host=host, port=int(port))

    def find_contract(self, username: str) -> Contract | None:
        """Return a caller's contract in the bundle in force."""
        return self.hooks.get_bundle().callers.get(CallerId(username))

    def _open_session(self) -> CallerSession:
        writer = _current_writer.get()
        session = CallerSession(context=self.context, writer=writer)
        self.login_timers[session] = asyncio.get_running_loop().call_later(
            self.settings.login_ms / 1000, writer.transport.abort
        )
        return session

    def register_session(self, session: CallerSession) -> None:
        """Stop a session's login timer and register the session."""
        timer = self.login_timers.pop(session, None)
        if timer is not None:
            timer.cancel()
        self.sessions.add(session)

    def remove_session(self, session: CallerSession) -> None:
        """Remove a closed session."""
        self.sessions.discard(session)

    def roll_back(self, request: Request, open_transaction: OpenTransaction) -> None:
        """Roll back the transaction of a disconnected caller, in the background."""
        job = asyncio.create_task(self.router.route(request, open_transaction.target))
        self.jobs.add(job)
        job.add_done_callback(self.jobs.discard)

    def close_withdrawn(self) -> int:
        """Close the connections of callers without a contract; return their number."""
        closed = 0
        for session in list(self.sessions):
            if self.find_contract(session.username or "") is None:
                if session.connection is not None:
                    session.connection.kill()
                closed += 1
        return closed

    def stop_accepting(self) -> None:
        """Stop listening and refuse new connections."""
        self.draining = True
        if self.server._server is not None:
            self.server._server.close()

    def abort_transactions(self) -> None:
        """Roll back the transactions of sessions between two statements."""
        for session in list(self.sessions):
            if not session.at_work:
                session.abort_transaction()

    def count_open(self) -> int:
        """Count connections, with those in their handshake or with unsent answers."""
        return self.connection_count + self.has_unsent()

    def has_unsent(self) -> bool:
        """Return whether answers have yet to reach their sockets."""
        return any(t.get_write_buffer_size() for t in self.transports)

    def list_at_work(self) -> list[CallerSession]:
        """Return the sessions with a statement that isn't answered whole."""
        return [session for session in self.sessions if session.at_work]

    def close_idle(self, at_once: bool) -> int:
        """Close sessions that have no statement or transaction in progress.

        Parameters
        ----------
        at_once
            Whether to close sessions that were used within
            ``IDLE_BEFORE_CLOSE_MS`` as well.

        Returns
        -------
        int
            Number of sessions that remain, with those that are leaving.
        """
        oldest = read_monotonic_ms() - IDLE_BEFORE_CLOSE_MS
        for session in list(self.sessions):
            idle = not session.at_work and session.open_transaction is None
            if idle and (at_once or session.last_used_ms <= oldest):
                session.leave()
        return len(self.sessions)
