"""How a call to a target ended, as placement and admission see it."""

import enum


class CallEnd(enum.Enum):
    """The end of one call."""

    OK = 'ok'
    SHED = 'shed'
    """The target refused it under its contract: it did not run."""
    FAILED = 'failed'
    """An error, or the connection was lost."""
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'
