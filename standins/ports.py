"""Free ports on loopback, of which no two processes are given the same."""

import socket

_kept: list[socket.socket] = []


def reserve_port() -> socket.socket:
    """Return a socket that is bound to a free port and never listens.

    Until it is closed, the system gives its port to nobody who asks for any port, be
    it as a listener or as the near end of a connection. A server that asks for this
    very port gets it, as long as both allow the address to be reused.
    """
    probe = socket.socket()
    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    probe.bind(("127.0.0.1", 0))
    return probe


def find_free_port() -> int:
    """Return a free port, reserved until this process ends."""
    _kept.append(reserve_port())
    return _kept[-1].getsockname()[1]
