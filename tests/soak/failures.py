"""What a run of the soak tells of groups that broke a promise, for a test's output."""

import re
from collections.abc import Iterable

from .run import Result

GROUP_NAME = re.compile(r"\bg\d+\b")
NOTES_SHOWN = 80
LINES_SHOWN = 40
# Lines of a host that tell of its changes of primary.
TOLD_STEPS = ('"step":"handover"', '"step":"promotion"', '"step":"started"')


def print_failure(result: Result) -> None:
    """Print faults, notes and hosts' lines of the groups that a run's violations name.

    The folder of a run may be gone before anyone reads its logs.
    """
    if not result.violations:
        return
    named = {g for v in result.violations for g in GROUP_NAME.findall(v)}
    print(*result.violations, *result.injected, sep="\n")
    notes = (result.folder / "notes.txt").read_text().splitlines()
    print("-- notes", *_choose(notes, named)[-NOTES_SHOWN:], sep="\n")
    for path in sorted(result.folder.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()
        told = [line for line in lines if any(step in line for step in TOLD_STEPS)]
        print(f"-- {path.name}", *_choose(told, named)[-LINES_SHOWN:], sep="\n")


def _choose(lines: Iterable[str], groups: set[str]) -> list[str]:
    """Return the lines that name one of the groups, or all if none is asked for."""
    return [
        line for line in lines if not groups or groups & set(GROUP_NAME.findall(line))
    ]
