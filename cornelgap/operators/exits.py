"""Exit codes of the command, which scripts branch on."""

import enum

from cornelgap.core.errors import Code


class Exit(enum.IntEnum):
    """How a command ended; the numbers are stable."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    RACE_LOST = 3
    NOT_IN_FORCE = 4
    UNSAFE = 5
    PLATFORM = 6
    UNKNOWN = 7
    AUDIT_BROKEN = 8


_EXITS = {
    Code.OPS_RACE_LOST: Exit.RACE_LOST,
    Code.OPS_NOT_IN_FORCE: Exit.NOT_IN_FORCE,
    Code.OPS_UNSAFE_CHANGE: Exit.UNSAFE,
    Code.OPS_NO_SUCH_STEP: Exit.UNSAFE,
    Code.OPS_AUDIT_BROKEN: Exit.AUDIT_BROKEN,
    Code.PLT_DOWN: Exit.PLATFORM,
    Code.PLT_CORRUPT: Exit.PLATFORM,
    Code.PLT_CONFLICT: Exit.PLATFORM,
    Code.PLT_ANSWER_LOST: Exit.UNKNOWN,
    Code.OPS_NO_SETTINGS: Exit.USAGE,
}


def choose_exit(code):
    """Choose the exit code for an error code."""
    return _EXITS.get(code, Exit.REFUSED)
