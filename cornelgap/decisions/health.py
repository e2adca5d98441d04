"""Passive health checks: ejects targets whose requests fail.

Load pattern: a broken target answers each request at once with an error.
It has nothing in flight, so it looks idle and attracts more and more work,
while its own health endpoint may still report it healthy.  Therefore only
the outcomes of real requests count.  A target whose requests fail is ejected
for some time, and is fully trusted again after a few successful probes.
"""

import enum
from dataclasses import dataclass, field

from cornelgap.decisions.averages import Average
from cornelgap.decisions.ends import CallEnd

_EJECTION_FAILURES = 4
"""At a failure rate of 10%, chance reaches this once in 10,000 requests."""

_MAX_FAILURE_RATE = 0.5
_SAMPLE_WEIGHT = 0.1
_MIN_SAMPLES = 10
"""Failure rate that ejects a target, weight of a request in its average, and
requests needed before it counts.  They catch a target that fails every second
request, but never four in a row."""

_FIRST_EJECTION_S = 2.0
_LONGEST_EJECTION_S = 30.0
_JITTER = 0.2
"""Random part of an ejection, either way, so that the six entries do not all
return to a target at the same moment."""

_PROBES = 3
"""Successful requests after which a returned target is trusted again."""

_FAILURE_ENDS = frozenset((CallEnd.FAILED, CallEnd.TIMEOUT))


class HealthState(enum.Enum):
    """Health of a target according to its outcomes."""

    GOOD = 'good'
    EJECTED = 'ejected'
    PROBING = 'probing'


@dataclass(slots=True)
class _Record:
    """Outcomes of one target.

    :param consecutive_failures: failures since the last success.
    :param samples: requests since the last ejection.
    :param failure_rate: average failure rate, 0 to 1.
    :param ejected_until: end of the last ejection, None without one.
    :param ejections: ejections in a row, without regaining trust between
        them; sets the length of the next one.
    :param probes_left: successes still needed to be trusted again.
    """

    consecutive_failures: int = 0
    samples: int = 0
    failure_rate: Average = field(
        default_factory=lambda: Average(_SAMPLE_WEIGHT)
    )
    ejected_until: float | None = None
    ejections: int = 0
    probes_left: int = 0


class Health:
    """Health of all targets of one service, as one entry instance sees it.

    :param rng: random generator for the jitter.
    """

    def __init__(self, rng):
        """Start with all targets healthy, as no outcome is known."""
        self._rng = rng
        self._records = {}

    def note_end(self, target, now, ended):
        """Record how a request to a target ended.

        Shed and cancelled requests do not count: a healthy target sheds
        requests when it is full.
        """
        record = self._records.setdefault(target, _Record())
        if ended is CallEnd.OK:
            self._record_success(record)
        elif ended in _FAILURE_ENDS:
            self._record_failure(record, now)

    def read_state(self, target, now):
        """Return the :class:`HealthState` of a target."""
        record = self._records.get(target)
        if record is None:
            return HealthState.GOOD
        if record.ejected_until is not None and now < record.ejected_until:
            return HealthState.EJECTED
        return HealthState.PROBING if record.probes_left else HealthState.GOOD

    def read_ejection_end(self, target):
        """Return the end of the last ejection, or None if there was none."""
        record = self._records.get(target)
        return None if record is None else record.ejected_until

    def forget(self, target):
        """Discard a target that was removed from the configuration."""
        self._records.pop(target, None)

    def _record_success(self, record):
        record.consecutive_failures = 0
        record.samples += 1
        record.failure_rate.add(0)
        if record.probes_left:
            record.probes_left -= 1
            if not record.probes_left:
                record.ejections = 0

    def _record_failure(self, record, now):
        if record.ejected_until is not None and now < record.ejected_until:
            # Requests sent before the ejection may fail during it; counting
            # them would extend each ejection to the maximum.
            return
        record.consecutive_failures += 1
        record.samples += 1
        record.failure_rate.add(1)
        if record.probes_left or _should_eject(record):
            self._eject(record, now)

    def _eject(self, record, now):
        record.ejections += 1
        ejection_s = _FIRST_EJECTION_S * 2 ** (record.ejections - 1)
        ejection_s = min(ejection_s, _LONGEST_EJECTION_S)
        jitter = 1 + _JITTER * (2 * self._rng.random() - 1)
        record.ejected_until = now + ejection_s * jitter
        record.probes_left = _PROBES
        record.consecutive_failures = 0
        record.samples = 0
        record.failure_rate = Average(_SAMPLE_WEIGHT)


def _should_eject(record):
    if record.consecutive_failures >= _EJECTION_FAILURES:
        return True
    fails_often = record.failure_rate.read(0) > _MAX_FAILURE_RATE
    return fails_often and record.samples >= _MIN_SAMPLES
