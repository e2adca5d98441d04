"""Writes that the store may have lost when it was restored from a backup.

The backup is some seconds old: it can show a target as ready that has said it
drains, list one that has gone, or lack an order to drain a zone.  Targets
and operators write such things again.  What was known before stays in force
where it keeps new flows away, until the store has been heard after the time
that they need for it.
"""

REWRITE_S = 5.0
"""Time in which the store's last writes are repeated.  Targets write again
within about two seconds of its return, and the registration of one that has
ended lapses after three heartbeats (3.6 s)."""


class LostWrites:
    """Closed targets and zones as known before the last restore.

    Time is an argument, in seconds of the process clock.

    :ivar zones: zones that were drained before the restore and whose orders
        have not been seen since.
    """

    def __init__(self):
        """Remember nothing."""
        self.zones = frozenset()
        self._targets = {}
        self._until = float('-inf')

    def note_targets(self, targets, now):
        """Remember which targets took no new flows before a restore."""
        self._targets = {target.name: target.born for target in targets}
        self._until = now + REWRITE_S

    def note_zones(self, zones, now):
        """Remember which zones were drained before a restore."""
        self.zones = frozenset(zones)
        self._until = now + REWRITE_S

    def release_target(self, name):
        """Forget a target that has written since."""
        self._targets.pop(name, None)

    def release_zones(self, zones):
        """Forget zones whose orders are there again."""
        self.zones -= frozenset(zones)

    def is_closed(self, target):
        """Say whether a target took no new flows in this lifetime of it."""
        return self._targets.get(target.name) == target.born

    def end(self, as_of):
        """Forget all, if what is known is as of late enough.

        :param as_of: time at which what is known was the newest.
        :returns: whether anything was forgotten.
        """
        if as_of < self._until or not (self._targets or self.zones):
            return False
        self._targets = {}
        self.zones = frozenset()
        return True
