"""Routes and targets as this instance knows them, with revision and age.

The platform's store is the only source.  Facts arrive late, twice, or not
at all; the directory keeps the newest of each and how old its knowledge is.
"""

from msgspec import Struct
from msgspec.structs import replace

from cornelgap.forwarding.directory_view import (
    UNREADABLE,
    Target,
    View,
    add_cookie,
    is_zone_open,
    takes_flows,
)
from cornelgap.forwarding.lost_writes import LostWrites
from cornelgap.forwarding.stamps import (
    UNKNOWN,
    UNKNOWN_CONFIG,
    Stamp,
)

REGISTRATION_RETURN_S = 2.5
"""Time after an outage of the store during which a vanished registration
may come back.  Targets re-register within about two seconds of the store's
return (the platform's page on discovery); half a second is added for the
way to us."""

OUTAGE_SLACK_S = 1.0
"""Silence above the longest healthy wait after which vanished registrations
may be due to the store; below the three heartbeats (3.6 s) after which a
registration lapses."""


def is_newer(place, known):
    """Say whether a fact replaces a known one, by the store's history.

    A list that a lagging replica served, or a watch that repeats itself,
    must not bring back what a later version dropped.

    :param place: stamp of the fact; within one era, its revision.
    """
    return place > known


def compute_gone_at(target, now, outage_until):
    """Return when a target whose registration vanished counts as gone.

    While the store was away the target could not renew its registration;
    it may be alive and hold flows.  Were they reset, callers would lose
    answers that are on their way.

    :param outage_until: time until which registrations may come back.
    """
    if not target.draining and now < outage_until:
        return outage_until
    return now


class _Vanished(Struct):
    """A target without a registration.

    :param gone_at: when it counts as gone, process clock seconds.
    """

    target: Target
    gone_at: float


class Directory:
    """Collects facts and makes views of them.

    Revisions and eras are the store's; time is an argument, in seconds.
    Targets are known as of one era, and the revisions of their entries are
    of that era.
    """

    def __init__(self, wait_s=1.0):
        """Know nothing: neither a route nor a target.

        :param wait_s: longest healthy wait between two confirmations.
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
        self._returned = {}
        self._routes = {}
        self._dropped = set()
        self._targets = {}
        self._seen_at = {}
        self._listed_at = 0
        self._vanished = {}
        self._outage_until = 0
        self._lost_writes = LostWrites()

    @property
    def complete(self):
        """Say whether both routes and targets have been learnt."""
        return self.routes_as_of is not None and self.targets_as_of is not None

    def set_wait(self, wait_s):
        """Judge from now on by another wait when the store was away."""
        self._outage_s = wait_s + OUTAGE_SLACK_S

    def adopt_routes(self, routes, stamp, as_of, warmups=None):
        """Put a whole configuration in force if it is newer.

        :param routes: iterable of :class:`Route`.
        :param stamp: :class:`~cornelgap.forwarding.stamps.ConfigStamp`.
        :param warmups: :class:`Warmup` by service; None if it is not told.
        :returns: whether anything changed.
        """
        self.routes_as_of = max(as_of, self.routes_as_of or as_of)
        if not is_newer(stamp, self.routes_stamp):
            return False
        self.routes_stamp = stamp
        fresh = {(route.address, route.port): route for route in routes}
        self._dropped |= self._routes.keys()
        self._dropped -= fresh.keys()
        self._routes = fresh
        if warmups is not None:
            self.warmups = warmups
        return True

    def adopt_drained(self, zones, stamp, now):
        """Put the orders to drain zones in force if they are newer.

        :param zones: names of all zones that are to be drained.
        :param stamp: :class:`~cornelgap.forwarding.stamps.Stamp` as of which
            these are all.
        :returns: whether anything changed.
        """
        if not is_newer(stamp, self.drained_stamp):
            return False
        before = self.list_drained()
        is_restored = UNKNOWN.era < self.drained_stamp.era < stamp.era
        self.drained_stamp = stamp
        self.drained_zones = frozenset(zones)
        if is_restored:
            self._lost_writes.note_zones(before, now)
        self._lost_writes.release_zones(self.drained_zones)
        drained = self.list_drained()
        self._note_returned(before - drained, now)
        return before != drained

    def list_drained(self):
        """Return the zones that get no new flow by order of an operator."""
        return self.drained_zones | self._lost_writes.zones

    def confirm_routes(self, as_of):
        """Note that the known configuration was the newest at that time."""
        if self.routes_as_of is not None:
            self.routes_as_of = max(as_of, self.routes_as_of)

    def adopt_targets(self, targets, stamp, as_of, now):
        """Replace all targets by a newer complete list.

        :param targets: dict name -> (Target, revision of its entry).
        :param stamp: :class:`~cornelgap.forwarding.stamps.Stamp` as of which
            these are all.
        :returns: whether the view changes.
        """
        if stamp.era < self.targets_stamp.era:
            return False
        ended = self.confirm_targets(as_of, now)
        if stamp < self.targets_stamp:
            return ended
        missing = self._targets.keys() - targets.keys()
        changed = bool(missing)
        if stamp.era > self.targets_stamp.era:
            changed |= self._begin_era(now)
        self.targets_stamp = stamp
        for name in missing:
            self._forget(name, now)
        for name, (target, entry_revision) in targets.items():
            changed |= self._put(name, target, entry_revision)
        # The list covers all that happened up to its revision, so single
        # removals before it need not be remembered any more.
        self._listed_at = stamp.revision
        for name in self._seen_at.keys() - targets.keys():
            self._seen_at.pop(name)
        if changed:
            # A list does not say when something vanished; up to its own
            # revision is the safe answer.
            self.targets_changed = stamp.revision
        return changed or ended

    def apply_targets(self, changes, stamp, as_of, now):
        """Apply changes that follow the known ones, in order.

        Those of another era follow on nothing that is known: only a list
        leads from one era to the next.

        :param changes: tuples (name, Target or None, revision of entry).
        :param stamp: :class:`~cornelgap.forwarding.stamps.Stamp` that is
            known with them.
        :returns: whether the view changes.
        """
        if stamp.era != self.targets_stamp.era:
            return False
        ended = self.confirm_targets(as_of, now)
        changed = False
        for name, target, entry_revision in changes:
            if target is None:
                changed |= self._remove(name, entry_revision, now)
            else:
                self._lost_writes.release_target(name)
                changed |= self._put(name, target, entry_revision)
        self.targets_stamp = max(stamp, self.targets_stamp)
        if changed:
            self.targets_changed = self.targets_stamp.revision
        return changed or ended

    def confirm_targets(self, as_of, now):
        """Note that the known targets were the newest at that time.

        :returns: whether that changes the view.
        """
        before = self.targets_as_of
        if before is not None and as_of - before > self._outage_s:
            self._outage_until = now + REGISTRATION_RETURN_S
        self.targets_as_of = as_of if before is None else max(as_of, before)
        return self._end_lost_writes(now)

    def make_view(self, now):
        """Make the picture that packets are handled by."""
        by_cookie = {}
        by_service = {}
        fallback = {}
        drained_services = set()
        drained_zones = self.list_drained()
        taken = {target.address for target in self._targets.values()}
        gone = {}
        for item in self._vanished.values():
            target = item.target
            if target.address in taken:
                # A new lifetime at the same address proves the old one dead.
                gone[target.cookie] = None
                continue
            if item.gone_at <= now:
                gone[target.cookie] = target
                continue
            is_open = is_zone_open(target.zone, drained_zones)
            if is_open and takes_flows(target):
                fallback.setdefault(target.service, []).append(target)
            add_cookie(by_cookie, target)
        for target in self._targets.values():
            if self._lost_writes.is_closed(target):
                target = replace(target, draining=True)
            add_cookie(by_cookie, target)
            if not is_zone_open(target.zone, drained_zones):
                drained_services.add(target.service)
            elif takes_flows(target):
                by_service.setdefault(target.service, []).append(target)
        return View(
            routes=self._routes,
            routes_known=self.routes_as_of is not None,
            dropped=frozenset(self._dropped),
            by_cookie=by_cookie,
            gone=gone,
            by_service=by_service,
            fallback=fallback,
            drained_zones=drained_zones,
            drained_services=frozenset(drained_services),
            warmups=self.warmups,
            returned={
                zone: until
                for zone, until in self._returned.items()
                if until > now
            },
        )

    def next_change(self, now):
        """Return when a vanished target turns gone, None if none does."""
        times = [
            item.gone_at
            for item in self._vanished.values()
            if item.gone_at > now
        ]
        return min(times, default=None)

    def compute_age(self, now):
        """Return the age of the older of both facts; infinite if none."""
        if not self.complete:
            return float('inf')
        return now - min(self.routes_as_of, self.targets_as_of)

    def knows_later(self, name, stamp):
        """Say whether a target is known as of later than a stamp."""
        return stamp < Stamp(self.targets_stamp.era, self._find_seen(name))

    def list_routes(self):
        """Return all routes, to tell others."""
        return list(self._routes.values())

    def list_targets(self):
        """Return dict name -> (Target, revision), to tell others."""
        return {
            name: (target, self._seen_at[name])
            for name, target in self._targets.items()
        }

    def _note_returned(self, zones, now):
        """Note that the targets of zones may get new flows, cold, from now."""
        longest = max(
            (warmup.seconds for warmup in self.warmups.values()), default=0
        )
        for zone in zones:
            self._returned[zone] = now + longest

    def _end_lost_writes(self, now):
        """Let the store's word alone hold again, once it is late enough.

        :returns: whether that changes the view.
        """
        if not self.complete:
            return False
        before = self.list_drained()
        as_of = min(self.routes_as_of, self.targets_as_of)
        ended = self._lost_writes.end(as_of)
        self._note_returned(before - self.list_drained(), now)
        return ended

    def _begin_era(self, now):
        """Go over to an era of the store whose first list has come.

        :returns: whether that alone changes the view.
        """
        self._seen_at.clear()
        self._listed_at = 0
        self.targets_changed = 0
        if self.targets_stamp == UNKNOWN:
            return False
        self._outage_until = now + REGISTRATION_RETURN_S
        known = list(self._targets.values())
        known += [item.target for item in self._vanished.values()]
        closed = [
            target
            for target in known
            if not takes_flows(target) or self._lost_writes.is_closed(target)
        ]
        closed += [
            item.target
            for item in self._vanished.values()
            if item.gone_at <= now
        ]
        self._lost_writes.note_targets(closed, now)
        return bool(closed)

    def _put(self, name, target, revision):
        if not is_newer(revision, self._find_seen(name)):
            return False
        self._seen_at[name] = revision
        known = self._targets.get(name)
        if target is UNREADABLE:
            return self._put_unreadable(name, known)
        self._vanished.pop(name, None)
        self._targets[name] = target
        return known != target

    def _put_unreadable(self, name, known):
        """Let a target whose entry names none any more get no new flows.

        Another writer has taken its entry.  The target may be alive: taken
        as gone, its open flows would be reset.  It writes its entry anew
        with its next heartbeat, or the entry lapses.
        """
        if known is None or known.draining:
            return False
        self._targets[name] = replace(known, draining=True)
        return True

    def _remove(self, name, revision, now):
        if revision < self._find_seen(name):
            return False
        self._seen_at[name] = revision
        if name not in self._targets:
            return False
        self._forget(name, now)
        return True

    def _find_seen(self, name):
        """Return the revision of what is known of a target, gone or not."""
        seen = self._seen_at.get(name)
        return self._listed_at if seen is None else seen

    def _forget(self, name, now):
        target = self._targets.pop(name)
        gone_at = compute_gone_at(target, now, self._outage_until)
        if self._lost_writes.is_closed(target):
            # The backup may lack a registration whose target has open flows.
            gone_at = max(gone_at, self._outage_until)
        self._vanished[name] = _Vanished(target, gone_at)
