"""The routes and targets that this instance knows, with revision and age.

All of them come from the platform's store, directly or through other
instances.  Updates can arrive late, twice, or not at all; the directory
keeps the newest version of each and the time as of which it was current.
"""

from msgspec import Struct
from msgspec.structs import replace

from cornelgap.forwarding.directory_view import (
    UNREADABLE,
    Target,
    View,
    accepts_new_flows,
    index_by_cookie,
    is_zone_open,
)
from cornelgap.forwarding.lost_writes import LostWrites
from cornelgap.forwarding.stamps import (
    UNKNOWN,
    UNKNOWN_CONFIG,
    Stamp,
)

REREGISTRATION_GRACE_S = 2.5
"""Time after an outage of the store during which a missing registration may
come back.  Targets register again within about two seconds of the store's
return (the platform's page on discovery); half a second is added for the
registration to reach this instance."""

OUTAGE_MARGIN_S = 1.0
"""Added to the longest healthy wait between two confirmations: after a longer
silence, the store may have been away, and registrations may be missing for
that reason.  Less than the three heartbeats (3.6 s) after which a
registration lapses."""


def is_newer(position, known):
    """Tell whether an update is newer than what is known.

    A list from a lagging replica, or a watch that delivers a change twice,
    must not bring back what a later version removed.

    :param position: stamp of the update in the store's history; within one
        era, its revision.
    :param known: the same of what is known.
    """
    return position > known


def compute_gone_at(target, now, reregistration_until):
    """Return when a target whose registration is missing counts as gone.

    While the store was away, the target could not renew its registration; it
    may be alive and hold flows.  If these were reset, callers would lose
    answers that are on their way.

    :param reregistration_until: time until which registrations may come back.
    """
    if not target.draining and now < reregistration_until:
        return reregistration_until
    return now


class _UnregisteredTarget(Struct):
    """A target whose registration has disappeared.

    :param gone_at: when it counts as gone, in seconds of the process clock.
    """

    target: Target
    gone_at: float


class Directory:
    """Collects updates of routes, targets and drain orders, and makes views.

    Revisions and eras are the store's; time is an argument, in seconds of the
    process clock.  All targets belong to one era, and so do the revisions of
    their entries.
    """

    def __init__(self, wait_s=1.0):
        """Start without routes and targets.

        :param wait_s: longest healthy wait between two confirmations, in
            seconds.
        """
        self.set_wait(wait_s)
        self.routes_stamp = UNKNOWN_CONFIG
        self.targets_stamp = UNKNOWN
        self.targets_changed = 0
        self.routes_as_of = None
        self.targets_as_of = None
        self.drained_stamp = UNKNOWN
        self.drained_zones = frozenset()
        self.warmups = {}
        self._cold_until_by_zone = {}
        self._routes = {}
        self._removed_routes = set()
        self._targets = {}
        self._entry_revisions = {}
        self._listed_revision = 0
        self._unregistered = {}
        self._reregistration_until = 0
        self._lost_writes = LostWrites()

    @property
    def complete(self):
        """Tell whether both routes and targets have been received."""
        return self.routes_as_of is not None and self.targets_as_of is not None

    def set_wait(self, wait_s):
        """Set the longest healthy wait between two confirmations.

        A longer silence than this, with a margin, counts as an outage of the
        store.
        """
        self._outage_threshold_s = wait_s + OUTAGE_MARGIN_S

    def adopt_routes(self, routes, stamp, as_of, warmups=None):
        """Replace the whole configuration if the given one is newer.

        :param routes: iterable of
            :class:`~cornelgap.forwarding.directory_view.Route`.
        :param stamp: :class:`~cornelgap.forwarding.stamps.ConfigStamp`.
        :param as_of: time at which the given configuration was the newest.
        :param warmups: :class:`~cornelgap.forwarding.directory_view.Warmup`
            by service; None if the sender does not state them.
        :returns: whether anything changed.
        """
        self.routes_as_of = max(as_of, self.routes_as_of or as_of)
        if not is_newer(stamp, self.routes_stamp):
            return False
        self.routes_stamp = stamp
        routes_by_address = {
            (route.address, route.port): route for route in routes
        }
        self._removed_routes |= self._routes.keys()
        self._removed_routes -= routes_by_address.keys()
        self._routes = routes_by_address
        if warmups is not None:
            self.warmups = warmups
        return True

    def adopt_drained_zones(self, zones, stamp, now):
        """Replace the orders to drain zones if the given ones are newer.

        :param zones: names of all zones that are to be drained.
        :param stamp: :class:`~cornelgap.forwarding.stamps.Stamp` as of
            which the names are complete.
        :returns: whether the set of drained zones changes.
        """
        if not is_newer(stamp, self.drained_stamp):
            return False
        before = self.list_drained_zones()
        is_restored = UNKNOWN.era < self.drained_stamp.era < stamp.era
        self.drained_stamp = stamp
        self.drained_zones = frozenset(zones)
        if is_restored:
            self._lost_writes.record_zones(before, now)
        self._lost_writes.release_zones(self.drained_zones)
        drained = self.list_drained_zones()
        self._mark_zones_cold(before - drained, now)
        return before != drained

    def list_drained_zones(self):
        """Return the zones that get no new flows by order of an operator.

        They include zones whose order the store may have lost in a restore.
        """
        return self.drained_zones | self._lost_writes.zones

    def confirm_routes(self, as_of):
        """Record that the known configuration was the newest at a time."""
        if self.routes_as_of is not None:
            self.routes_as_of = max(as_of, self.routes_as_of)

    def adopt_targets(self, targets, stamp, as_of, now):
        """Replace all targets if the given complete list is newer.

        :param targets: dict name -> (Target, revision of its entry).
        :param stamp: :class:`~cornelgap.forwarding.stamps.Stamp` as of
            which the list is complete.
        :param as_of: time at which the list was the newest.
        :returns: whether the view changes.
        """
        if stamp.era < self.targets_stamp.era:
            return False
        released = self.confirm_targets(as_of, now)
        if stamp < self.targets_stamp:
            return released
        missing = self._targets.keys() - targets.keys()
        changed = bool(missing)
        if stamp.era > self.targets_stamp.era:
            changed |= self._begin_era(now)
        self.targets_stamp = stamp
        for name in missing:
            self._unregister_target(name, now)
        for name, (target, entry_revision) in targets.items():
            changed |= self._put_target(name, target, entry_revision)
        # The list covers everything up to its revision, so the revisions of
        # removals before it are no longer needed.
        self._listed_revision = stamp.revision
        for name in self._entry_revisions.keys() - targets.keys():
            self._entry_revisions.pop(name)
        if changed:
            # A list does not say when a missing entry was removed; its own
            # revision is the latest possible one, and so the safe choice.
            self.targets_changed = stamp.revision
        return changed or released

    def apply_targets(self, changes, stamp, as_of, now):
        """Apply changes that follow directly on the known state, in order.

        Changes of another era are ignored, since they do not follow on the
        known state: only a complete list leads from one era to the next.

        :param changes: tuples (name, Target or None, revision of entry); None
            means that the entry was removed.
        :param stamp: :class:`~cornelgap.forwarding.stamps.Stamp` up to which
            the targets are known once the changes are applied.
        :param as_of: time at which that state was the newest.
        :returns: whether the view changes.
        """
        if stamp.era != self.targets_stamp.era:
            return False
        released = self.confirm_targets(as_of, now)
        changed = False
        for name, target, entry_revision in changes:
            if target is None:
                changed |= self._apply_removal(name, entry_revision, now)
            else:
                self._lost_writes.release_target(name)
                changed |= self._put_target(name, target, entry_revision)
        self.targets_stamp = max(stamp, self.targets_stamp)
        if changed:
            self.targets_changed = self.targets_stamp.revision
        return changed or released

    def confirm_targets(self, as_of, now):
        """Record that the known targets were the newest at a time.

        :returns: whether this changes the view.
        """
        before = self.targets_as_of
        if before is not None and as_of - before > self._outage_threshold_s:
            self._reregistration_until = now + REREGISTRATION_GRACE_S
        self.targets_as_of = as_of if before is None else max(as_of, before)
        return self._release_lost_writes(now)

    def make_view(self, now):
        """Make the immutable view by which packets are forwarded."""
        by_cookie = {}
        by_service = {}
        fallback_by_service = {}
        drained_services = set()
        drained_zones = self.list_drained_zones()
        used_addresses = {target.address for target in self._targets.values()}
        gone_by_cookie = {}
        for item in self._unregistered.values():
            target = item.target
            if target.address in used_addresses:
                # A registered target at the same address proves that the
                # unregistered one has ended.
                gone_by_cookie[target.cookie] = None
                continue
            if item.gone_at <= now:
                gone_by_cookie[target.cookie] = target
                continue
            is_open = is_zone_open(target.zone, drained_zones)
            if is_open and accepts_new_flows(target):
                fallback_by_service.setdefault(target.service, []).append(
                    target
                )
            index_by_cookie(by_cookie, target)
        for target in self._targets.values():
            if self._lost_writes.is_closed(target):
                target = replace(target, draining=True)
            index_by_cookie(by_cookie, target)
            if not is_zone_open(target.zone, drained_zones):
                drained_services.add(target.service)
            elif accepts_new_flows(target):
                by_service.setdefault(target.service, []).append(target)
        return View(
            routes=self._routes,
            routes_known=self.routes_as_of is not None,
            removed_routes=frozenset(self._removed_routes),
            by_cookie=by_cookie,
            gone_by_cookie=gone_by_cookie,
            by_service=by_service,
            fallback_by_service=fallback_by_service,
            drained_zones=drained_zones,
            drained_services=frozenset(drained_services),
            warmups=self.warmups,
            cold_until_by_zone={
                zone: until
                for zone, until in self._cold_until_by_zone.items()
                if until > now
            },
        )

    def compute_next_gone_at(self, now):
        """Return when the next unregistered target counts as gone.

        :returns: a time, or None if no target is due to count as gone.
        """
        times = [
            item.gone_at
            for item in self._unregistered.values()
            if item.gone_at > now
        ]
        return min(times, default=None)

    def compute_age(self, now):
        """Return the age of the routes or the targets, whichever is older.

        :returns: seconds; infinite while either of them is unknown.
        """
        if not self.complete:
            return float('inf')
        return now - min(self.routes_as_of, self.targets_as_of)

    def has_newer_target(self, name, stamp):
        """Tell whether what is known of a target is newer than a stamp."""
        return stamp < Stamp(
            self.targets_stamp.era, self._find_entry_revision(name)
        )

    def list_routes(self):
        """Return all routes, to send them to other instances."""
        return list(self._routes.values())

    def list_targets(self):
        """Return all targets, to send them to other instances.

        :returns: dict name -> (Target, revision of its entry).
        """
        return {
            name: (target, self._entry_revisions[name])
            for name, target in self._targets.items()
        }

    def _mark_zones_cold(self, zones, now):
        """Let the targets of zones get new flows again, as cold targets.

        They count as cold for the longest warm-up of any service.
        """
        longest = max(
            (warmup.seconds for warmup in self.warmups.values()), default=0
        )
        for zone in zones:
            self._cold_until_by_zone[zone] = now + longest

    def _release_lost_writes(self, now):
        """Stop guarding against lost writes once the state is recent enough.

        From then on, only what the store says is in force.

        :returns: whether this changes the view.
        """
        if not self.complete:
            return False
        before = self.list_drained_zones()
        as_of = min(self.routes_as_of, self.targets_as_of)
        released = self._lost_writes.clear_if_expired(as_of)
        self._mark_zones_cold(before - self.list_drained_zones(), now)
        return released

    def _begin_era(self, now):
        """Begin a new era of the store, at its first list of targets.

        Targets that got no new flows before it still get none until the store
        has had time to receive its lost writes again.

        :returns: whether this alone changes the view.
        """
        self._entry_revisions.clear()
        self._listed_revision = 0
        self.targets_changed = 0
        if self.targets_stamp == UNKNOWN:
            return False
        self._reregistration_until = now + REREGISTRATION_GRACE_S
        known = list(self._targets.values())
        known += [item.target for item in self._unregistered.values()]
        closed = [
            target
            for target in known
            if not accepts_new_flows(target)
            or self._lost_writes.is_closed(target)
        ]
        closed += [
            item.target
            for item in self._unregistered.values()
            if item.gone_at <= now
        ]
        self._lost_writes.record_targets(closed, now)
        return bool(closed)

    def _put_target(self, name, target, revision):
        if not is_newer(revision, self._find_entry_revision(name)):
            return False
        self._entry_revisions[name] = revision
        known = self._targets.get(name)
        if target is UNREADABLE:
            return self._drain_unreadable(name, known)
        self._unregistered.pop(name, None)
        self._targets[name] = target
        return known != target

    def _drain_unreadable(self, name, known):
        """Stop new flows to a target whose entry no longer describes it.

        Another writer has overwritten the entry.  The target may be alive; if
        it counted as gone, its open flows would be reset.  It rewrites its
        entry with its next heartbeat, or the entry lapses.
        """
        if known is None or known.draining:
            return False
        self._targets[name] = replace(known, draining=True)
        return True

    def _apply_removal(self, name, revision, now):
        if revision < self._find_entry_revision(name):
            return False
        self._entry_revisions[name] = revision
        if name not in self._targets:
            return False
        self._unregister_target(name, now)
        return True

    def _find_entry_revision(self, name):
        """Return the newest known revision of an entry, removed or not."""
        seen = self._entry_revisions.get(name)
        return self._listed_revision if seen is None else seen

    def _unregister_target(self, name, now):
        target = self._targets.pop(name)
        gone_at = compute_gone_at(target, now, self._reregistration_until)
        if self._lost_writes.is_closed(target):
            # The backup may lack the registration of a target that has open
            # flows.
            gone_at = max(gone_at, self._reregistration_until)
        self._unregistered[name] = _UnregisteredTarget(target, gone_at)
