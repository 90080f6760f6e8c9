"""MySQL error codes and SQLSTATEs that express the verdict on a request."""

from mysql_mimic.errors import SQLSTATES, ErrorCode, MysqlError

from ..verdicts import Failure, Reason, Verdict

COMMIT_UNRESOLVED = 1180
ROLLED_BACK = 1213
SERVER_SHUTDOWN = 1053

_BY_VERDICT = {
    Verdict.NOT_RUN: (ROLLED_BACK, b"40001"),
    Verdict.MAY_HAVE_RUN: (COMMIT_UNRESOLVED, b"08007"),
    Verdict.RAN: (1105, b"HY000"),
}


def _make_code(number: int, sqlstate: bytes) -> ErrorCode:
    # The library's packet writer accepts only members of its own enum type.
    try:
        return ErrorCode(number)
    except ValueError:
        code = int.__new__(ErrorCode, number)
        code._name_ = f"SERVER_ERROR_{number}"
        code._value_ = number
        SQLSTATES.setdefault(code, sqlstate)
        return code


def make_error(failure: Failure) -> MysqlError:
    """Return the MySQL error that reports a failure to the caller.

    "Not run" becomes 1213 (40001, retry the transaction) and "may have run" 1180
    (08007, transaction resolution unknown). A draining host answers 1053 and
    closes the connection: the request did not run. Errors of the backend server
    keep their own code.
    """
    if failure.reason is Reason.BAD_REQUEST:
        code = ErrorCode.PARSE_ERROR
    elif failure.reason is Reason.CALLER_REFUSED:
        code = ErrorCode.ACCESS_DENIED_ERROR
    elif failure.reason is Reason.DRAINING:
        code = _make_code(SERVER_SHUTDOWN, b"08S01")
    elif failure.error_code:
        code = _make_code(failure.error_code, b"HY000")
    else:
        code = _make_code(*_BY_VERDICT[failure.verdict])
    return MysqlError(failure.describe(), code)
