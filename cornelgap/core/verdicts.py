"""What a caller may conclude about a request, in one type used everywhere.

A refusal is only useful if it is true.  Every place that ends a request
builds a :class:`Verdict`, so that "was it run?", "may I send the same id
again?" and "when may I come back?" are always answered together.
"""

import enum
from dataclasses import dataclass


class Ran(enum.IntEnum):
    """Whether the request has run, as far as the speaker can know."""

    UNKNOWN = 0
    """The speaker cannot tell; only the same id may be sent again."""

    NOT_RUN = 1
    """It did not run and never will under this id."""

    MAY_HAVE_RUN = 2
    """It may or may not have run; a new id could run it twice."""

    DONE = 3
    """It ran to its end."""


@dataclass(frozen=True, slots=True)
class Verdict:
    """The final answer about one request id.

    :param ran: what the caller may conclude.
    :param code: error code from :mod:`cornelgap.core.errors`, empty if done.
    :param same_id: whether the same id may be sent again.
    :param retry_after_ms: earliest useful time to come back, in
        milliseconds from now; 0 means at once.
    :param text: one short sentence for a person.
    """

    ran: Ran
    code: str = ''
    same_id: bool = False
    retry_after_ms: int = 0
    text: str = ''


def refuse_not_run(code, retry_after_ms=0, text=''):
    """Build the verdict of a request that did not and will not run."""
    return Verdict(
        ran=Ran.NOT_RUN, code=code, retry_after_ms=retry_after_ms, text=text
    )


def report_doubt(code, retry_after_ms=0, text=''):
    """Build the verdict of a request that may have run."""
    return Verdict(
        ran=Ran.MAY_HAVE_RUN,
        code=code,
        retry_after_ms=retry_after_ms,
        text=text,
    )


def ask_same_id(code, retry_after_ms=0, text=''):
    """Build the verdict of a speaker who cannot know; the id stays usable."""
    return Verdict(
        ran=Ran.UNKNOWN,
        code=code,
        same_id=True,
        retry_after_ms=retry_after_ms,
        text=text,
    )


def confirm_done():
    """Build the verdict of a request that ran to its end."""
    return Verdict(ran=Ran.DONE)
