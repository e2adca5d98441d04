"""What callers received, and the figures made of it."""

import enum
from collections import defaultdict
from dataclasses import dataclass, field


class Outcome(enum.Enum):
    """The fate of one request, as its caller sees it."""

    IN_TIME = 'in time'
    REFUSED = 'refused'
    LATE = 'late'
    LOST = 'lost'


@dataclass(slots=True)
class Tally:
    """Every request's fate.

    :param rows: (arrival, outcome, seconds until the answer).
    :param cut: requests that their target failed or took with it; those
        lost besides were still running at their deadline.
    """

    rows: list = field(default_factory=list)
    runs: dict = field(default_factory=lambda: defaultdict(int))
    cut: int = 0
    moves: int = 0
    late_work: int = 0

    def add(self, arrival, outcome, took_s):
        """Write down one request's fate."""
        self.rows.append((arrival, outcome, took_s))

    def count(self, outcome):
        """Return how many requests met this fate."""
        return sum(row[1] is outcome for row in self.rows)

    def share(self, outcome, keep=None):
        """Return the share of requests that met this fate."""
        rows = [row for row in self.rows if keep is None or keep(row[0])]
        met = sum(row[1] is outcome for row in rows)
        return met / max(1, len(rows))

    def sum_good_work(self, end_s):
        """Return slot seconds of requests answered in time before the end."""
        return sum(
            arrival.work_s
            for arrival, outcome, took_s in self.rows
            if outcome is Outcome.IN_TIME and arrival.at + took_s <= end_s
        )

    def find_percentile(self, share, keep=None):
        """Return the time within which this share of answers came."""
        times = sorted(
            took_s
            for arrival, outcome, took_s in self.rows
            if outcome in _ANSWERED and (keep is None or keep(arrival))
        )
        if not times:
            return float('inf')
        return times[min(len(times) - 1, int(share * len(times)))]


_ANSWERED = frozenset((Outcome.IN_TIME, Outcome.LATE))


def measure_imbalance(amounts):
    """Return the largest over the mean."""
    amounts = list(amounts)
    mean = sum(amounts) / len(amounts)
    return max(amounts) / mean if mean else 1.0
