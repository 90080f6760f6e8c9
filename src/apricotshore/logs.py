"""Structured logging in human-readable or JSON format."""

import json
import sys

from logbook import Handler, Logger, LogRecord, StreamHandler


def _format_human(record: LogRecord, handler: Handler) -> str:
    extra = " ".join(f"{key}={value}" for key, value in record.extra.items())
    time = record.time.isoformat(timespec="milliseconds")
    return f"{time} {record.level_name} {record.message} {extra}"


def _format_json(record: LogRecord, handler: Handler) -> str:
    return json.dumps(
        {
            "time": record.time.isoformat(),
            "level": record.level_name,
            "channel": record.channel,
            "message": record.message,
            **{key: str(value) for key, value in record.extra.items()},
        }
    )


def make_handler(log_format: str) -> StreamHandler:
    """Return a handler that writes to standard error.

    Parameters
    ----------
    log_format
        ``human`` or ``json``.
    """
    handler = StreamHandler(sys.stderr, level="INFO")
    handler.formatter = _format_json if log_format == "json" else _format_human
    return handler


def make_logger(channel: str) -> Logger:
    """Return the logger of one component."""
    return Logger(channel)
