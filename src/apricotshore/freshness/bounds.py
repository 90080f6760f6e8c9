"""Bounds on the age of proofs, and the times that follow from them."""

from dataclasses import dataclass

# Part of the bound that is left for a statement between its check and its start.
MARGIN_MS = 250
# Share of a short bound that the margin takes at most.
MARGIN_DIVISOR = 4
ASK_PERIOD_MS = 600
ASK_TIMEOUT_MS = 150
ASKED_PER_ROUND = 2
# Time from the end of a round of requests to the end of the next one.
ROUND_MS = ASK_PERIOD_MS + ASKED_PER_ROUND * ASK_TIMEOUT_MS
# A watch may have missed changes for this long before it stops being answered.
MISSED_CHANGES_MS = 1_300
# Time in messages and in answers of the store that counts as age of a proof.
LATENCY_MS = 100
SHORTEST_WAIT_MS = 100
CONFIGURATION_WAIT_MS = 1_000
SERVERS_WAIT_MS = 3_000
# Pauses after a watch that reported changes, in which further ones accumulate.
CONFIGURATION_PAUSE_MS = 250
SERVERS_PAUSE_MS = 1_500
# A host goes on watching this long after the last request of another host.
ASKED_MS = 2_000
# Time for which a response is held back until the store has answered; together with
# a round trip between regions it is below the timeout of the request.
ANSWER_WAIT_MS = 80


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Bounds on the age of what a host knows, in milliseconds.

    Parameters
    ----------
    serve_ms
        Age of the configuration's proof up to which keyed requests are served; 0
        where there is no such bound.
    configuration_ms, servers_ms
        Ages that the proofs of the configuration and of the servers should never
        reach: a host watches the store itself in time.
    """

    serve_ms: int = 0
    configuration_ms: int = 0
    servers_ms: int = 0

    @property
    def needs_lists(self) -> bool:
        """Whether the configuration must be listed, as a watch proves too little."""
        oldest_ms = MISSED_CHANGES_MS + 2 * SHORTEST_WAIT_MS + LATENCY_MS
        return self.configuration_ms < oldest_ms

    @property
    def configuration_wait_ms(self) -> int:
        """Wait of a voucher's watch of the configuration."""
        return _choose_wait_ms(
            self.configuration_ms, CONFIGURATION_PAUSE_MS, CONFIGURATION_WAIT_MS
        )

    @property
    def servers_wait_ms(self) -> int:
        """Wait of a voucher's watch of the servers."""
        return _choose_wait_ms(self.servers_ms, SERVERS_PAUSE_MS, SERVERS_WAIT_MS)


def derive_bounds(
    revoke_ms: int,
    apply_ms: int,
    leave_ms: int,
    window_ms: int,
    *,
    is_shared: bool = False,
) -> Bounds:
    """Derive the bounds from the settings of a host.

    Parameters
    ----------
    revoke_ms
        Time within which a revoked key must run nothing; 0 without such a bound.
    apply_ms, leave_ms
        Times within which a configuration and a leaving server must be known.
    window_ms
        Time without a fault after which those two hold again.
    is_shared
        Whether hosts may vouch for each other where no key is ever revoked.
    """
    if revoke_ms <= 0:
        if not is_shared:
            return Bounds()
        return Bounds(
            configuration_ms=max(apply_ms, window_ms),
            servers_ms=max(leave_ms, window_ms),
        )
    serve_ms = revoke_ms - min(MARGIN_MS, revoke_ms // MARGIN_DIVISOR)
    return Bounds(
        serve_ms=serve_ms,
        configuration_ms=min(serve_ms, max(apply_ms, window_ms)),
        servers_ms=max(leave_ms, window_ms),
    )


def _choose_wait_ms(bound_ms: int, pause_ms: int, longest_ms: int) -> int:
    """Return a wait with which others still have time for a round of requests.

    The proof of a watch is as old as its wait when the answer arrives, and is in use
    until the next answer.
    """
    left_ms = bound_ms - (MISSED_CHANGES_MS + LATENCY_MS + pause_ms)
    if left_ms - ROUND_MS >= 2 * SHORTEST_WAIT_MS:
        left_ms -= ROUND_MS
    # Else no proof of another host lasts for a round, and each host watches.
    return max(SHORTEST_WAIT_MS, min(left_ms // 2, longest_ms))
