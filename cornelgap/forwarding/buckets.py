"""Histogram of durations with cumulative buckets, as in Prometheus."""

BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5)
"""Upper bounds of the buckets in seconds, which include common latency
objectives."""


class DurationHistogram:
    """Cumulative counts of durations by upper bound.

    :ivar counts: number of durations up to each bound, by the bound as text;
        the last one, ``+Inf``, counts all.
    """

    def __init__(self):
        """Start with empty buckets."""
        self.counts = dict.fromkeys((*map(str, BOUNDS_S), '+Inf'), 0)

    def add(self, seconds):
        """Count one duration in each bucket that includes it."""
        self.counts['+Inf'] += 1
        for bound in BOUNDS_S:
            if seconds <= bound:
                self.counts[str(bound)] += 1
