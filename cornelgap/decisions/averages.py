"""Moving averages that forget, for estimates that must not get stuck."""

import math


class Average:
    """An exponentially weighted mean of samples, empty until the first.

    :param share: weight of each new sample, 0 to 1.
    """

    def __init__(self, share):
        """Start without any sample."""
        self._share = share
        self._mean = None

    def add(self, sample, share=None):
        """Take in one sample, in any unit.

        :param share: weight of this sample if it is not the usual one.
        """
        if self._mean is None:
            self._mean = sample
        else:
            weight = self._share if share is None else share
            self._mean += weight * (sample - self._mean)

    def read(self, default):
        """Return the mean, or ``default`` before the first sample."""
        return default if self._mean is None else self._mean


def decay_share(age_s, half_life_s):
    """Return what is left, 0 to 1, of a fact that is ``age_s`` old."""
    return math.exp2(-max(age_s, 0) / half_life_s)
