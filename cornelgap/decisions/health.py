"""Which targets to trust, judged by outcomes of real requests alone.

Load pattern: a broken target answers each request at once with an error.
It has nothing in flight, so it looks idle and draws ever more work; its own
health endpoint may still call it healthy.  Outcomes cannot lie: a target
is ejected for a while when its requests fail, and returns by a few probes.
"""

import enum
from dataclasses import dataclass, field

from cornelgap.decisions.averages import Average
from cornelgap.decisions.ends import CallEnd

_FAILURES_IN_A_ROW = 4
"""Rare by chance: at 10% failures once in 10,000 requests."""

_FAIL_SHARE = 0.5
_SAMPLE_SHARE = 0.1
_MIN_SAMPLES = 10
"""For a target that fails every other time, never four times in a row."""

_FIRST_EJECTION_S = 2.0
_LONGEST_EJECTION_S = 30.0
_JITTER = 0.2
"""Six entries must not all return to a target in the same instant."""

_PROBES = 3
"""Good ends that turn a returned target into a trusted one."""

_BAD_ENDS = frozenset((CallEnd.FAILED, CallEnd.TIMEOUT))


class HealthState(enum.Enum):
    """What outcomes say of a target."""

    GOOD = 'good'
    EJECTED = 'ejected'
    PROBING = 'probing'


@dataclass(slots=True)
class _Record:
    """Outcomes of one target.

    :param in_a_row: failures since the last success.
    :param probes_left: successes that are missing to be trusted again.
    :param ejections: ejections without a trusted time between them.
    """

    in_a_row: int = 0
    samples: int = 0
    fails: Average = field(default_factory=lambda: Average(_SAMPLE_SHARE))
    ejected_until: float | None = None
    ejections: int = 0
    probes_left: int = 0


class Health:
    """Outcomes of all targets of one service, as one entry sees them.

    :param rng: generator for jitter.
    """

    def __init__(self, rng):
        """Trust everybody: a new entry knows of no failure."""
        self._rng = rng
        self._records = {}

    def note_end(self, target, now, ended):
        """Take in the end of one request.

        Shed and cancelled requests say nothing about health: shedding is
        what a healthy target does when it is full.
        """
        record = self._records.setdefault(target, _Record())
        if ended is CallEnd.OK:
            self._note_good(record)
        elif ended in _BAD_ENDS:
            self._note_bad(record, now)

    def read_state(self, target, now):
        """Return the :class:`HealthState` of a target."""
        record = self._records.get(target)
        if record is None:
            return HealthState.GOOD
        if record.ejected_until is not None and now < record.ejected_until:
            return HealthState.EJECTED
        return HealthState.PROBING if record.probes_left else HealthState.GOOD

    def read_returned_at(self, target):
        """Return when the last ejection ended or ends, None if none did."""
        record = self._records.get(target)
        return None if record is None else record.ejected_until

    def forget(self, target):
        """Drop what is known of a target that left the configuration."""
        self._records.pop(target, None)

    def _note_good(self, record):
        record.in_a_row = 0
        record.samples += 1
        record.fails.add(0)
        if record.probes_left:
            record.probes_left -= 1
            if not record.probes_left:
                record.ejections = 0

    def _note_bad(self, record, now):
        if record.ejected_until is not None and now < record.ejected_until:
            # Requests sent before the ejection end after it; counting them
            # would lengthen each ejection to the longest.
            return
        record.in_a_row += 1
        record.samples += 1
        record.fails.add(1)
        if record.probes_left or _is_bad(record):
            self._eject(record, now)

    def _eject(self, record, now):
        record.ejections += 1
        length = _FIRST_EJECTION_S * 2 ** (record.ejections - 1)
        length = min(length, _LONGEST_EJECTION_S)
        spread = 1 + _JITTER * (2 * self._rng.random() - 1)
        record.ejected_until = now + length * spread
        record.probes_left = _PROBES
        record.in_a_row = 0
        record.samples = 0
        record.fails = Average(_SAMPLE_SHARE)


def _is_bad(record):
    if record.in_a_row >= _FAILURES_IN_A_ROW:
        return True
    often = record.fails.read(0) > _FAIL_SHARE
    return often and record.samples >= _MIN_SAMPLES
