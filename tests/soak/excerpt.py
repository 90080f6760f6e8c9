"""What the users' record shows of hosts' logs: ``python -m tests.soak.excerpt FOLDER``.

For each host it has the last lines of its log that are no served requests, cut off.
"""

import argparse
import json
import re
import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path

EXCERPT_BYTES = 900
LINE_CHARACTERS = 200
SERVED = '"step":"request-served"'
STARTED = '"step":"started"'
_SUMMARY = re.compile(
    r'"step":"promotion","group":"(?P<group>[^"]+)"(?:,"short":\d+)?'
    r',"to":"(?P<target>[^"@~?]+)@(?P<end>[\d.]+)"'
    r',"lost":"[^"@~?*]+(?:[@~*][\d.]+|\?)","by":"\w+ [^"]+"'
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Ordered:
    """A promotion that a host ordered.

    Parameters
    ----------
    group, target
        The group and the server to be promoted.
    end
        End of its log.
    """

    group: str
    target: str
    end: str


def cut_excerpt(lines: Iterable[str]) -> list[str]:
    """Return the lines of one host's log that the record shows."""
    shown: list[str] = []
    room = EXCERPT_BYTES
    for line in reversed([line for line in lines if SERVED not in line]):
        cut = line[:LINE_CHARACTERS]
        room -= len(cut) + 1
        if room < 0:
            break
        shown.append(cut)
    return shown[::-1]


def list_processes(lines: Iterable[str]) -> list[list[str]]:
    """Return the lines of each process that wrote to one log in turn."""
    processes: list[list[str]] = []
    for line in lines:
        if STARTED in line or not processes:
            processes.append([])
        processes[-1].append(line)
    return processes


def list_ordered(lines: Iterable[str]) -> set[Ordered]:
    """Return the promotions whose orders stand in a whole log."""
    return {
        Ordered(group=row["group"], target=row["server"], end=row["mark"])
        for row in _read_phases(lines)
        if row["phase"] == "promoting"
    }


def list_told(excerpt: Sequence[str]) -> set[Ordered]:
    """Return the promotions of which an excerpt has target, ends and proof."""
    found = [_SUMMARY.search(line) for line in excerpt]
    summed = {
        Ordered(group=told["group"], target=told["target"], end=told["end"])
        for told in found
        if told is not None
    }
    return summed | _list_told_by_phases(excerpt)


def _list_told_by_phases(excerpt: Sequence[str]) -> set[Ordered]:
    """Return the promotions that the lines of their changes tell."""
    told = set()
    sealed: set[str] = set()
    ends: set[str] = set()
    for row in _read_phases(excerpt):
        group = row["group"]
        if row["phase"] == "began":
            sealed.discard(group)
            ends.discard(group)
        elif row["phase"] == "sealed":
            sealed.add(group)
        elif row["phase"] == "yielded" or row.get("command") == "pause":
            ends.add(group)
        elif row["phase"] == "promoting" and group in sealed & ends:
            told.add(Ordered(group=group, target=row["server"], end=row["mark"]))
    return told


def _read_phases(lines: Iterable[str]) -> list[dict]:
    rows = []
    for line in lines:
        start = line.find('{"time"')
        try:
            row = json.loads(line[start:]) if start >= 0 else {}
        except ValueError:
            continue
        if row.get("step") == "handover" and "phase" in row:
            rows.append(row)
    return rows


def count_told(processes: Iterable[Sequence[str]]) -> tuple[int, int]:
    """Return how many promotions the ends of processes' logs tell, of how many."""
    told = ordered = 0
    for lines in processes:
        in_log = list_ordered(lines)
        told += len(in_log & list_told(cut_excerpt(lines)))
        ordered += len(in_log)
    return told, ordered


def main() -> int:
    """Print the excerpts of a folder of logs, and what they tell."""
    parser = argparse.ArgumentParser(prog="python -m tests.soak.excerpt")
    parser.add_argument("folder", type=Path)
    parser.add_argument("--quiet", action="store_true", help="print the counts only")
    options = parser.parse_args()
    logs = {
        path: path.read_text(errors="replace").splitlines()
        for path in sorted(options.folder.rglob("*.log"))
    }
    processes = [p for lines in logs.values() for p in list_processes(lines)]
    for lines in [] if options.quiet else processes:
        print("\n".join(["--", *cut_excerpt(lines)]))
    for name, parts in (("process", processes), ("log", logs.values())):
        told, ordered = count_told(parts)
        print(f"told at the end of each {name}: {told} of {ordered} promotions")
    return 0


if __name__ == "__main__":
    sys.exit(main())
