"""Counts of durations by upper bound, as Prometheus' histograms have them."""

BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5)
"""Upper bounds in seconds; among them customary latency objectives."""


class Buckets:
    """Cumulative counts; the last one counts all."""

    def __init__(self):
        """Count nothing yet."""
        self.counts = dict.fromkeys((*map(str, BOUNDS_S), '+Inf'), 0)

    def add(self, seconds):
        """Count one duration."""
        self.counts['+Inf'] += 1
        for bound in BOUNDS_S:
            if seconds <= bound:
                self.counts[str(bound)] += 1
