"""Writes that the store may have lost when it was restored from a backup.

The backup is some seconds old: it can list a draining target as ready, list a
target that has gone, or lack an order to drain a zone.  Targets and operators
repeat such writes.  Until they have had time to do so, restrictions that were
known before the restore stay in force: new flows avoid these targets and
zones until data has been read from the store that is newer than that time.
"""

REWRITE_S = 5.0
"""Time within which lost writes are repeated.  Targets write again within
about two seconds of the store's return, and the registration of a target that
has ended expires after three heartbeats (3.6 s)."""


class LostWrites:
    """Targets and zones that took no new flows before the last restore.

    Time is an argument, in seconds of the process clock.

    :ivar zones: zones that were drained before the restore and whose drain
        orders the store has not listed since.
    """

    def __init__(self):
        """Start empty, as if there had been no restore."""
        self.zones = frozenset()
        self._targets = {}
        self._until = float('-inf')

    def record_targets(self, targets, now):
        """Record the targets that took no new flows before a restore."""
        self._targets = {target.name: target.born for target in targets}
        self._until = now + REWRITE_S

    def record_zones(self, zones, now):
        """Record the zones that were drained before a restore."""
        self.zones = frozenset(zones)
        self._until = now + REWRITE_S

    def release_target(self, name):
        """Remove a target that has written to the store since."""
        self._targets.pop(name, None)

    def release_zones(self, zones):
        """Remove zones whose drain orders the store lists again."""
        self.zones -= frozenset(zones)

    def is_closed(self, target):
        """Say whether a target took no new flows before the restore.

        A target that has restarted since then is not closed.
        """
        return self._targets.get(target.name) == target.born

    def clear_if_expired(self, as_of):
        """Drop all records once the repeated writes must have been read.

        :param as_of: time at which the known facts were up to date.
        :returns: whether any record was dropped.
        """
        if as_of < self._until or not (self._targets or self.zones):
            return False
        self._targets = {}
        self.zones = frozenset()
        return True
