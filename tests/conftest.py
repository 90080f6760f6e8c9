"""Hypothesis profiles for all tests, and what runs in parallel processes needs.

With `pytest -n`, any worker takes any test, save for those that start fleets of
processes: one worker runs these one after the other, so that they neither share the
machine with each other nor wait for each other's processes.
"""

import os
from types import SimpleNamespace

import pytest
from hypothesis import HealthCheck, settings, strategies

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile("default", deadline=None, derandomize=True)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "default"))

# Imports its module now: CPython 3.11 can't parse one amid a test while the error of a
# collected object is formatted, which parses as well.
strategies.randoms(use_true_random=False).validate()

FLEET_TESTS = ("tests/live/", "tests/soak/test_soak.py", "tests/intake/test_crowds.py")


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config, log):
    """Assign each test by itself, and all tests that start fleets together.

    In place of `--dist loadgroup`, which changes names of tests in a way that this
    pytest doesn't notice: with xdist 3.8.0 and pytest 9.2.0 its groups are ignored.
    """
    from xdist.scheduler import LoadScopeScheduling

    class FleetScheduling(LoadScopeScheduling):
        def _split_scope(self, nodeid):
            return "fleets" if nodeid.startswith(FLEET_TESTS) else nodeid

    return FleetScheduling(config, log)


def pytest_deselected(items):
    for item in items:
        output = getattr(item.config, "workeroutput", None)
        if output is not None:
            output.setdefault("deselected", []).append(item.nodeid)


@pytest.hookimpl(optionalhook=True)
def pytest_testnodedown(node):
    """Count the deselected tests in the closing line, as without workers.

    All workers collect the same tests, so the list of any of them is the whole.
    """
    reporter = node.config.pluginmanager.get_plugin("terminalreporter")
    names = getattr(node, "workeroutput", {}).get("deselected", [])
    if names:
        # Plugins expect objects among the reporter's figures, not bare names.
        reporter.stats["deselected"] = [SimpleNamespace(nodeid=n) for n in names]
