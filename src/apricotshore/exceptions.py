"""Errors that end a command; each knows its exit code and how to show itself."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TextIO

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4


class ApricotshoreError(Exception):
    """Base of all errors shown to an operator.

    Parameters
    ----------
    message
        Text for the operator.
    """

    exit_code = EXIT_FAILURE

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the text to show."""
        return self.message

    def show(self, stream: TextIO | None = None) -> None:
        """Write the error to standard error or to ``stream``."""
        print(f"Error: {self.format_message()}", file=stream or sys.stderr)


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """One fault in a file.

    Parameters
    ----------
    source
        File that holds it.
    section, key
        Where it is; ``key`` may be empty.
    expected
        What was expected instead.
    """

    source: str
    section: str
    key: str
    expected: str

    def describe(self) -> str:
        """Return one line for the operator."""
        place = f"[{self.section}] {self.key}".rstrip()
        return f"{self.source}: {place}: {self.expected}"


class InvalidFileError(ApricotshoreError):
    """A settings or bundle file with faults; all of them are listed.

    Parameters
    ----------
    problems
        Every fault found.
    """

    exit_code = EXIT_USAGE

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("\n".join(p.describe() for p in problems))
        self.problems = tuple(problems)


class SignatureError(ApricotshoreError):
    """A bundle whose signatures do not hold."""

    exit_code = EXIT_USAGE


class ConflictError(ApricotshoreError):
    """Another operator's change came first."""

    exit_code = EXIT_CONFLICT


class PlatformError(ApricotshoreError):
    """The platform did not answer or refused."""

    exit_code = EXIT_UNAVAILABLE


class PlatformConflictError(PlatformError):
    """A conditional update lost: the object has another version.

    Parameters
    ----------
    version
        Version that the object has.
    """

    exit_code = EXIT_CONFLICT

    def __init__(self, version: int) -> None:
        super().__init__(f"the object has version {version}")
        self.version = version


class NotProvedError(ApricotshoreError):
    """A withdrawal without complete evidence."""
