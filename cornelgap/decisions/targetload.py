"""Load of one target, as counted by one entry instance and as reported."""

from cornelgap.decisions.averages import Average, compute_decay

_REPORT_HALF_LIFE_S = 2.0
"""Half-life of a load report.  The requests that it counts end within a
second; after two seconds the mean of all targets is the better estimate."""

_DURATION_WEIGHT = 0.1
"""Weight of one request's duration: about ten requests are averaged, which
tells a slow target from a few slow requests."""

_MAX_REPORTED_PER_SLOT = 4
"""Upper limit of a reported load, in requests per slot; a higher report is
wrong or makes no difference."""


class TargetLoad:
    """Flows and requests at one target.

    :param slots: requests that the target runs at the same time.
    :param since: when it joined, seconds; None if long ago.
    :ivar other_requests: estimated requests of other entry instances.
    :ivar durations: mean duration of a request, seconds.
    """

    def __init__(self, slots, since=None):
        """Start without flows, requests or reports."""
        self.slots = max(1, slots)
        self.since = since
        self.flows = 0
        self.in_flight = 0
        self.other_requests = float(0)
        self.reports_draining = False
        self.durations = Average(_DURATION_WEIGHT)
        self._reported_at = None

    def note_in_flight(self, now, change):
        """Count a request of this instance as sent (+1) or ended (-1)."""
        self.in_flight = max(0, self.in_flight + change)

    def note_report(self, now, total):
        """Record a reported number of requests from all entry instances."""
        total = min(total, _MAX_REPORTED_PER_SLOT * self.slots)
        reported_others = max(0, total - self.in_flight)
        # A report shows a single instant, so it is averaged with weight 0.5.
        self.other_requests += 0.5 * (reported_others - self.other_requests)
        self._reported_at = now

    def estimate(self, now, usual_others):
        """Return the number of requests expected at the target now.

        :param usual_others: mean number of other entry instances' requests
            at a target.
        """
        if self._reported_at is None:
            return self.in_flight + usual_others
        weight = compute_decay(now - self._reported_at, _REPORT_HALF_LIFE_S)
        return (
            self.in_flight
            + usual_others
            + weight * (self.other_requests - usual_others)
        )
