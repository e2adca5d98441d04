"""Whether a target fails more of its requests than its peers do.

Load pattern: a target goes on answering some callers and swallows, delays or
refuses the requests of others, while its health endpoint says well.  Any
answer proves that it is alive, so ``flow_health`` trusts it again after each
one; a fifth of a service's targets that fail every second request then cost
a tenth of all requests for as long as it lasts, though the other targets
have room for all of them.

A target is compared with all others of its service by the share of requests
that failed, as counted by all instances of a zone together.  What harms all
of them alike, as a network that loses packets or a slow instance of ours
does, raises the median and makes nobody stand out.  A target that is merely
full fails requests too, but then those that it serves have waited in its
queue; taken away, its load would run down the next one.
"""

import math
from bisect import bisect_left
from collections import deque

from msgspec import Struct, field

from cornelgap.decisions.backoff import compute_backoff

WINDOW_S = 3.0
"""Age up to which outcomes count.  A target serves some tens of requests in
that, enough to tell a half that fails from a few lost packets."""

SPREAD = 4.0
"""Standard deviations above the peers' share, of a count that chance makes,
with one failure more in the variance since the median of few is rough: where
the peers have none, five failures.  With fewer deviations, judged again and
again, chance takes targets away while all of a service fail alike."""

LEAST_REQUESTS = 4
"""Requests from which on the share of a peer counts for the median."""

AVOID_S = 2.0
LONGEST_AVOID_S = 8.0
"""Time without new flows, doubled each time that the target stands out again
soon after; then new flows show whether it serves."""

FORGIVE_S = 10.0
"""Time without standing out after which the next time counts as the first."""

MOST_SHARE = 0.34
"""Share of a service's targets that may be avoided at a time.  The others
must carry their load, and more of them rarely fail alone."""


class Outcomes(Struct):
    """How requests to one target have ended.

    :param prompt: served about as fast as usual on their route.
    :param slow: served, but later.
    :param failed: not served, or not within a time that is far from usual.
    """

    prompt: int = 0
    slow: int = 0
    failed: int = 0

    @property
    def total(self):
        """Return the number of requests."""
        return self.prompt + self.slow + self.failed

    def add(self, other):
        """Add the requests of another instance or time."""
        self.prompt += other.prompt
        self.slow += other.slow
        self.failed += other.failed


class _Record(Struct):
    """What is known of one target.

    :param told: tuples (time, :class:`Outcomes`), oldest first.
    """

    told: deque = field(default_factory=deque)
    avoided_until: float = float('-inf')
    avoided: int = 0


class TargetOutliers:
    """Compares targets by their outcomes; keys are any hashable names."""

    def __init__(self):
        """Trust everybody."""
        self._records = {}

    def note_outcomes(self, key, outcomes, now):
        """Note how requests to a target have ended since the last time."""
        record = self._records.setdefault(key, _Record())
        record.told.append((now, outcomes))

    def judge(self, keys, now):
        """Judge the targets of one service by what was noted.

        :param keys: the keys of all its targets.
        :returns: keys of those that are avoided from now on.
        """
        sums = {
            key: self._sum(self._records[key], now)
            for key in keys
            if key in self._records
        }
        shares = {
            key: found.failed / found.total
            for key, found in sums.items()
            if found.total >= LEAST_REQUESTS
        }
        if len(shares) < 2:
            return []
        ordered = sorted(shares.values())
        room = MOST_SHARE * len(keys)
        room -= sum(self.is_avoided(key, now) for key in keys)
        chosen = []
        for key in sorted(shares, key=shares.get, reverse=True):
            if len(chosen) + 1 > room:
                break
            usual = find_median_without(ordered, shares[key])
            if stands_out(sums[key], usual) and not self.is_avoided(key, now):
                self._avoid(self._records[key], now)
                chosen.append(key)
        return chosen

    def is_avoided(self, key, now):
        """Say whether a target should get no new flow now."""
        record = self._records.get(key)
        return record is not None and now < record.avoided_until

    def list_avoided(self, now):
        """Return the keys of targets that get no new flow now."""
        return [
            key
            for key, record in self._records.items()
            if now < record.avoided_until
        ]

    def clear(self):
        """Forget all that was noted, as after a standstill of our own."""
        self._records = {}

    def forget(self, key):
        """Forget what was noted of one target."""
        self._records.pop(key, None)

    def keep(self, keys):
        """Forget all targets but these."""
        for key in self._records.keys() - keys:
            self._records.pop(key)

    def _sum(self, record, now):
        total = Outcomes()
        while record.told and now - record.told[0][0] > WINDOW_S:
            record.told.popleft()
        for _, outcomes in record.told:
            total.add(outcomes)
        return total

    def _avoid(self, record, now):
        if now - record.avoided_until > FORGIVE_S:
            record.avoided = 0
        record.avoided += 1
        record.avoided_until = now + compute_backoff(
            AVOID_S, record.avoided, LONGEST_AVOID_S
        )
        # It is judged anew by what it does from then on.
        record.told.clear()


def stands_out(outcomes, usual):
    """Say whether a target fails more than chance and its load explain.

    :param outcomes: its :class:`Outcomes`.
    :param usual: share of requests that its peers fail.
    """
    expected = outcomes.total * usual
    if outcomes.failed <= expected + SPREAD * math.sqrt(expected + 1):
        return False
    return not is_full(outcomes)


def find_median_without(ordered, value):
    """Return the median of a sorted list without one of its values.

    A service may have thousands of targets, and each is compared with all
    others: sorting them anew for each would hold up packets for seconds.

    :param ordered: at least two numbers, ascending.
    """
    left_out = bisect_left(ordered, value)
    rest = len(ordered) - 1
    lower = (rest - 1) // 2
    upper = rest // 2
    lower_value = ordered[lower + (lower >= left_out)]
    upper_value = ordered[upper + (upper >= left_out)]
    return (lower_value + upper_value) / 2


def is_full(outcomes):
    """Say whether a target serves late what it serves, as a full one does."""
    return outcomes.slow > outcomes.prompt
