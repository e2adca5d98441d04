"""Defines how a call to a target ended, for the decision modules.

Placement, health checks and admission all use the outcomes of calls.  With
one enum, none of them has to interpret the status codes of the transport,
each in its own way.
"""

import enum


class CallEnd(enum.Enum):
    """Outcome of one call to a target."""

    OK = 'ok'
    """The request was run to completion."""

    SHED = 'shed'
    """The target refused the request; by contract it was not run."""

    FAILED = 'failed'
    """The target returned an error, or the connection was lost."""

    TIMEOUT = 'timeout'
    """The deadline passed before the call ended."""

    CANCELLED = 'cancelled'
    """The caller cancelled the request; says nothing about the target."""
