"""Detects targets that fail more of their requests than their peers.

Load pattern: a target still answers some callers but drops, delays or
refuses the requests of others, while its health endpoint reports it healthy.
Any answer proves that it is alive, so ``flow_health`` clears it after each
one.  If a fifth of a service's targets fail every second request, a tenth of
all requests fails for as long as this lasts, although the other targets have
capacity for all of them.

A target is compared with the other targets of its service by the share of
failed requests, as counted by all instances of a zone together.  A fault that
affects all targets alike, such as a lossy network or a slow instance, raises
the median and makes no target an outlier.  A target that is merely full fails
requests too, but then the requests that it serves have waited in its queue.
It is not avoided, as its load would overload the next target.
"""

import math
from bisect import bisect_left
from collections import deque

from msgspec import Struct, field

from cornelgap.decisions.backoff import compute_backoff

WINDOW_S = 3.0
"""Age up to which outcomes count.  A target serves some tens of requests in
this time, enough to tell a failure rate of one half from a few lost
packets."""

MAX_DEVIATIONS = 4.0
"""Standard deviations by which failures must exceed the number expected from
the median of the peers.  The variance is that of a random (Poisson) count,
plus one failure, since the median of a few peers is inexact: if the peers
have no failures, a target needs five.  With fewer deviations, chance alone
makes outliers over many checks when all targets of a service fail alike."""

MIN_REQUESTS = 4
"""Requests that a target needs before its share of failures is used."""

AVOID_S = 2.0
LONGEST_AVOID_S = 8.0
"""Time without new flows, doubled each time that the target becomes an
outlier again within :data:`BACKOFF_RESET_S`.  New flows after it show whether
the target has recovered."""

BACKOFF_RESET_S = 10.0
"""Time after which the doubling starts anew, counted from the end of the last
avoidance."""

MAX_AVOIDED_SHARE = 0.34
"""Largest share of a service's targets that may be avoided at a time.  The
others must carry their load, and if more targets fail, the cause is rarely
the targets themselves."""


class Outcomes(Struct):
    """Numbers of requests to one target, by how they ended.

    :param prompt: served about as fast as usual for their route.
    :param slow: served, but slower than that.
    :param failed: not served, or far slower than usual.
    """

    prompt: int = 0
    slow: int = 0
    failed: int = 0

    @property
    def total(self):
        """Return the number of requests."""
        return self.prompt + self.slow + self.failed

    def add(self, other):
        """Add the counts of another instance or period."""
        self.prompt += other.prompt
        self.slow += other.slow
        self.failed += other.failed


class _Record(Struct):
    """State of one target.

    :param recent: tuples (time, :class:`Outcomes`), oldest first.
    :param avoided_until: until when the target gets no new flow.
    :param avoided: how often in a row it was avoided; sets the backoff.
    """

    recent: deque = field(default_factory=deque)
    avoided_until: float = float('-inf')
    avoided: int = 0


class TargetOutliers:
    """Compares the outcomes of targets; keys are any hashable names."""

    def __init__(self):
        """Start with no outcomes and no outliers."""
        self._records = {}

    def note_outcomes(self, key, outcomes, now):
        """Record how requests to a target ended since the last call."""
        record = self._records.setdefault(key, _Record())
        record.recent.append((now, outcomes))

    def avoid_outliers(self, keys, now):
        """Find the outliers among the targets of one service, and avoid them.

        :param keys: the keys of all its targets.
        :returns: keys of the targets that are avoided from now on.
        """
        sums = {
            key: self._sum_recent(self._records[key], now)
            for key in keys
            if key in self._records
        }
        shares = {
            key: outcomes.failed / outcomes.total
            for key, outcomes in sums.items()
            if outcomes.total >= MIN_REQUESTS
        }
        if len(shares) < 2:
            return []
        ordered = sorted(shares.values())
        allowed = MAX_AVOIDED_SHARE * len(keys)
        allowed -= sum(self.is_avoided(key, now) for key in keys)
        outliers = []
        for key in sorted(shares, key=shares.get, reverse=True):
            if len(outliers) + 1 > allowed:
                break
            median = find_median_without(ordered, shares[key])
            if is_outlier(sums[key], median) and not self.is_avoided(key, now):
                self._avoid(self._records[key], now)
                outliers.append(key)
        return outliers

    def is_avoided(self, key, now):
        """Return whether a target should get no new flow now."""
        record = self._records.get(key)
        return record is not None and now < record.avoided_until

    def list_avoided(self, now):
        """Return the keys of targets that should get no new flow now."""
        return [
            key
            for key, record in self._records.items()
            if now < record.avoided_until
        ]

    def clear(self):
        """Discard all outcomes, for example after a stall of this process."""
        self._records = {}

    def forget(self, key):
        """Discard the state of one target."""
        self._records.pop(key, None)

    def keep(self, keys):
        """Discard the state of all targets but these."""
        for key in self._records.keys() - keys:
            self._records.pop(key)

    def _sum_recent(self, record, now):
        total = Outcomes()
        while record.recent and now - record.recent[0][0] > WINDOW_S:
            record.recent.popleft()
        for _, outcomes in record.recent:
            total.add(outcomes)
        return total

    def _avoid(self, record, now):
        if now - record.avoided_until > BACKOFF_RESET_S:
            record.avoided = 0
        record.avoided += 1
        record.avoided_until = now + compute_backoff(
            AVOID_S, record.avoided, LONGEST_AVOID_S
        )
        # Only outcomes from now on count for the next check.
        record.recent.clear()


def is_outlier(outcomes, median):
    """Return whether a target fails more than chance or its load explains.

    :param outcomes: its :class:`Outcomes`.
    :param median: median share of failed requests of its peers.
    """
    expected = outcomes.total * median
    if outcomes.failed <= expected + MAX_DEVIATIONS * math.sqrt(expected + 1):
        return False
    return not is_full(outcomes)


def find_median_without(ordered, value):
    """Return the median of a sorted list without one of its values.

    A service may have thousands of targets, and each is compared with all
    others.  Sorting the others again for each of them would delay packets by
    seconds.

    :param ordered: at least two numbers, ascending.
    :param value: the value to leave out, once.
    """
    excluded = bisect_left(ordered, value)
    count = len(ordered) - 1
    lower = (count - 1) // 2
    upper = count // 2
    lower_value = ordered[lower + (lower >= excluded)]
    upper_value = ordered[upper + (upper >= excluded)]
    return (lower_value + upper_value) / 2


def is_full(outcomes):
    """Return whether most served requests were slow, as on a full target."""
    return outcomes.slow > outcomes.prompt
