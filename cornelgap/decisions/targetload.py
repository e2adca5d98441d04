"""What one entry knows of one target's load, first-hand and reported."""

from cornelgap.decisions.averages import Average, decay_share

_REPORT_HALF_LIFE_S = 2.0
"""A report speaks of requests that end within a second; two seconds later
half of it is a guess, and the mean of all targets is the better one."""

_TOOK_SHARE = 0.1
"""Ten requests tell a slow target from a few slow requests."""

_MAX_REPORTED_PER_SLOT = 4
"""A report beyond this is wrong or changes nothing."""


class TargetLoad:
    """Flows and requests at one target.

    :param slots: requests that it runs at the same time.
    :param since: when it joined, seconds; None if long ago.
    """

    def __init__(self, slots, since=None):
        """Start without flows, requests or reports."""
        self.slots = max(1, slots)
        self.since = since
        self.flows = 0
        self.in_flight = 0
        self.others = float(0)
        self.reports_draining = False
        self.took = Average(_TOOK_SHARE)
        self._reported_at = None

    def note_in_flight(self, now, change):
        """Count an own request that was sent (+1) or has ended (-1)."""
        self.in_flight = max(0, self.in_flight + change)

    def note_report(self, now, total):
        """Take in the requests at the target, all entries' together."""
        total = min(total, _MAX_REPORTED_PER_SLOT * self.slots)
        seen = max(0, total - self.in_flight)
        # Half of each report: one answer sees one instant only.
        self.others += 0.5 * (seen - self.others)
        self._reported_at = now

    def estimate(self, now, usual_others):
        """Return the requests expected at the target now.

        :param usual_others: other entries' requests at a mean target.
        """
        if self._reported_at is None:
            return self.in_flight + usual_others
        left = decay_share(now - self._reported_at, _REPORT_HALF_LIFE_S)
        return (
            self.in_flight + usual_others + left * (self.others - usual_others)
        )
