"""How a call to a target ended, as far as decisions care.

Placement, health and admission all learn from outcomes.  One small enum
keeps them from reading status codes of a transport, each in its own way.
"""

import enum


class CallEnd(enum.Enum):
    """The end of one call to a target."""

    OK = 'ok'
    """It ran to its end."""

    SHED = 'shed'
    """The target refused it by contract: it was not run."""

    FAILED = 'failed'
    """An error, or the connection was lost."""

    TIMEOUT = 'timeout'
    """The deadline passed first."""

    CANCELLED = 'cancelled'
    """The caller gave it up; it says nothing about the target."""
