"""Errors that end a command, with their exit codes."""

import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TextIO

EXIT_FAILURE = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4


class ApricotshoreError(Exception):
    """Base class of all errors that are shown to an operator.

    Parameters
    ----------
    message
        Message for the operator.
    """

    exit_code = EXIT_FAILURE

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message

    def format_message(self) -> str:
        """Return the message to show."""
        return self.message

    def show(self, stream: TextIO | None = None) -> None:
        """Write the error to standard error or to ``stream``."""
        print(f"Error: {self.format_message()}", file=stream or sys.stderr)


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """One error in a settings, bundle or scenario file.

    Parameters
    ----------
    source
        Name of the file.
    section, key
        Location in the file; ``key`` may be empty.
    expected
        What was expected at this location.
    """

    source: str
    section: str
    key: str
    expected: str

    def describe(self) -> str:
        """Return the problem as one line of text."""
        place = f"[{self.section}] {self.key}".rstrip()
        return f"{self.source}: {place}: {self.expected}"


class InvalidFileError(ApricotshoreError):
    """A settings, bundle or scenario file with errors.

    Parameters
    ----------
    problems
        All errors that were found.
    """

    exit_code = EXIT_USAGE

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("\n".join(p.describe() for p in problems))
        self.problems = tuple(problems)


class SignatureError(ApricotshoreError):
    """A missing or invalid signature or digest."""

    exit_code = EXIT_USAGE


class ConflictError(ApricotshoreError):
    """A conflict with an earlier change by another operator."""

    exit_code = EXIT_CONFLICT


class PlatformError(ApricotshoreError):
    """The platform did not answer or rejected the call."""

    exit_code = EXIT_UNAVAILABLE


class PlatformConflictError(PlatformError):
    """A conditional update failed: the object has another version.

    Parameters
    ----------
    version
        Current version of the object.
    """

    exit_code = EXIT_CONFLICT

    def __init__(self, version: int) -> None:
        super().__init__(f"the object has version {version}")
        self.version = version


class NotProvedError(ApricotshoreError):
    """A withdrawal whose evidence is incomplete."""
