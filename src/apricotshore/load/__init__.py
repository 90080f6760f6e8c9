"""Load generation: scenarios, open-loop traffic, histories and their checks."""

from .checker import Findings, check_history
from .history import Operation, Stored, Verdicts, read_history, write_history
from .runner import LoadResult, run_load
from .scenario import Scenario, Stream, load_scenario, parse_scenario
from .summary import find_percentile, summarize

__all__ = [
    "Findings",
    "LoadResult",
    "Operation",
    "Scenario",
    "Stored",
    "Stream",
    "Verdicts",
    "check_history",
    "find_percentile",
    "load_scenario",
    "parse_scenario",
    "read_history",
    "run_load",
    "summarize",
    "write_history",
]
