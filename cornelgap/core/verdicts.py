"""Verdicts: what a caller may conclude about a request.

Every place that ends or refuses a request builds a :class:`Verdict`, so that
three questions are always answered together: has the request run, may the
same request id be sent again, and how long should the caller wait before it
retries.  A verdict must be true: a caller that is told "not run" sends the
request again under a new id.
"""

import enum
from dataclasses import dataclass


class RunState(enum.IntEnum):
    """Whether the request has run, as far as the sender can know."""

    UNKNOWN = 0
    """The sender cannot tell; only the same id may be sent again."""

    NOT_RUN = 1
    """It did not run and never will under this id."""

    MAY_HAVE_RUN = 2
    """It may or may not have run; under a new id it could run twice."""

    DONE = 3
    """It ran to completion."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """The final answer about one request id.

    :param ran: whether the request has run.
    :param code: error code from :mod:`cornelgap.core.errors`, empty if done.
    :param same_id: whether the same id may be sent again.
    :param retry_after_ms: milliseconds from now before which a retry is
        useless; 0 means that the caller may retry at once.
    :param text: explanation for people in one short sentence.
    """

    ran: RunState
    code: str = ''
    same_id: bool = False
    retry_after_ms: int = 0
    text: str = ''


def refuse_not_run(code, retry_after_ms=0, text=''):
    """Build the verdict on a request that did not run and never will."""
    return Verdict(
        ran=RunState.NOT_RUN,
        code=code,
        retry_after_ms=retry_after_ms,
        text=text,
    )


def report_may_have_run(code, retry_after_ms=0, text=''):
    """Build the verdict on a request that may have run."""
    return Verdict(
        ran=RunState.MAY_HAVE_RUN,
        code=code,
        retry_after_ms=retry_after_ms,
        text=text,
    )


def report_unknown(code, retry_after_ms=0, text=''):
    """Build the verdict of a sender that cannot know whether it has run.

    The caller may send the same request id again.
    """
    return Verdict(
        ran=RunState.UNKNOWN,
        code=code,
        same_id=True,
        retry_after_ms=retry_after_ms,
        text=text,
    )


def confirm_done():
    """Build the verdict on a request that ran to completion."""
    return Verdict(ran=RunState.DONE)
