"""What the store may have lost when it came back from a copy.

The copy is some seconds old: it can show a target as ready that has said it
drains, list one that has gone, or lack an order to drain a zone.  Targets
and operators write such things again.  Until they have had time to, what
was known before stays in force where it keeps new flows away.
"""

REWRITE_S = 5.0
"""Time in which the store's last writes are repeated.  Targets write again
within about two seconds of its return, and the registration of one that has
ended lapses after three heartbeats (3.6 s)."""


class LostWrites:
    """Closed targets and zones as known before the last return.

    Time is an argument, in seconds of the process clock.

    :ivar zones_until: time until which remembered zones stay drained.
    """

    def __init__(self):
        """Remember nothing."""
        self._targets_until = float('-inf')
        self._targets = {}
        self.zones_until = float('-inf')
        self._zones = frozenset()

    def note_targets(self, targets, now):
        """Remember which targets took no new flows before a return."""
        self._targets = {target.name: target.born for target in targets}
        self._targets_until = now + REWRITE_S

    def note_zones(self, zones, now):
        """Remember which zones were drained before a return."""
        self._zones = frozenset(zones)
        self.zones_until = now + REWRITE_S

    def release_target(self, name):
        """Forget a target that has written since."""
        self._targets.pop(name, None)

    def release_zones(self, zones):
        """Forget zones whose orders are there again."""
        self._zones -= frozenset(zones)

    def is_closed(self, target, now):
        """Say whether a target took no new flows in this lifetime of it."""
        if now >= self._targets_until:
            return False
        return self._targets.get(target.name) == target.born

    def list_zones(self, now):
        """Return the zones that stay drained."""
        return self._zones if now < self.zones_until else frozenset()

    def list_ends(self):
        """Return the times at which something ceases to hold."""
        ends = []
        if self._targets:
            ends.append(self._targets_until)
        if self._zones:
            ends.append(self.zones_until)
        return ends
