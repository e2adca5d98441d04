"""Exponentially weighted averages and exponential decay."""

import math


class Average:
    """An exponentially weighted moving average, empty until the first sample.

    Old samples lose weight, so that an estimate follows lasting changes.

    :param weight: weight of each new sample, 0 to 1.
    """

    def __init__(self, weight):
        """Start without any sample."""
        self._weight = weight
        self._mean = None

    def add(self, sample, weight=None):
        """Add one sample, in any unit.

        :param weight: weight of this sample, 0 to 1, instead of the default.
        """
        if self._mean is None:
            self._mean = sample
        else:
            applied = self._weight if weight is None else weight
            self._mean += applied * (sample - self._mean)

    def read(self, default):
        """Return the mean, or ``default`` before the first sample."""
        return default if self._mean is None else self._mean


def compute_decay(age_s, half_life_s):
    """Return the weight, 0 to 1, of an observation that is ``age_s`` old."""
    return math.exp2(-max(age_s, 0) / half_life_s)
