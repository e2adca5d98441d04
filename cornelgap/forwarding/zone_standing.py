"""Agreement within a zone on whether the zone is in rotation.

Each instance reports its openings to the hubs, and the first hub decides
from the sums of the zone.  Every beat within the zone carries the verdict,
with the time of its last change and the time at which a first hub last
confirmed it.  The latest change wins, and a verdict that is no longer
confirmed lapses.  So the next hub continues from it when the first one dies,
an instance that starts learns it from the first beat or snapshot of its zone,
and an instance that hears nobody returns into rotation.
"""

import logging

from msgspec import Struct

from cornelgap.decisions.withdrawal import (
    UNDECIDED_S,
    OpeningReport,
    Situation,
    Withdrawal,
)

REPORT_MAX_AGE_S = 1.3
"""Age up to which a report counts.  Reports come twice a second, so two
datagrams in a row may be lost."""

VERDICT_LIFETIME_S = 3.0
"""Age of the last confirmation at which a verdict lapses.  If the first hub
fails, the next one takes over within 1.3 s and confirms with its next beat."""

RETURN_REPORT_S = 10.0
"""Time for which beats report a return into rotation.  At an instance that
has not heard of it by then, the withdrawal has lapsed."""

FIRST_BEAT_WAIT_S = 1.0
"""Longest time after the start for which an instance stays unready and waits
for a first beat of its zone, if the zone has no target of its own.  A single
instance that is ready before it knows the verdict brings its whole zone back
into rotation."""

SNAPSHOT_GRACE_S = 3.0
"""Additional time before a verdict from a snapshot lapses.  An instance that
has no key yet can't read beats; it asks one seed a second, and most seeds are
in other zones."""

ROUTER_SWITCH_S = 2.0
"""Time after a withdrawal for which openings are dropped.  Routers stop using
the zone after two failed checks, half a second apart, and callers send the
last copy of a SYN after 0.6 s.  Openings that still come later can't reach
another zone, so they are refused at once."""

IN_ROTATION, WITHDRAWN, UNDECIDED = range(3)
"""State of the zone in a beat; only the first hub sends ``UNDECIDED``."""

CUT_PROBE_INTERVAL_S = 1.0
"""Interval at which hubs of the zones beyond the cut are asked whether they
can be reached again.  The other instances there have been forgotten by then
and would be found again late."""

_LOG = logging.getLogger('cornelgap.directory')


class DropOpenings(Struct, frozen=True):
    """Message: drop openings that cannot be served, for ``for_s`` seconds.

    A caller repeats a reset opening at once and so uses up its tries.  If the
    opening is dropped instead, the repeated SYN reaches an instance of
    another zone as soon as routers have stopped using this one.
    """

    for_s: float


class ZoneStanding:
    """The verdict on the own zone, as known to this instance.

    :param neighbours: :class:`~cornelgap.forwarding.neighbours.Neighbours`.
    :param send: function that sends a message to the packet actor.
    :param on_unready_change: called with whether this instance must be
        unready, each time that this changes.
    """

    def __init__(self, neighbours, send, on_unready_change):
        """Start in rotation, until a verdict is known."""
        self._neighbours = neighbours
        self._send = send
        self._on_unready_change = on_unready_change
        self._withdrawal = Withdrawal()
        self._confirmed_at = float('-inf')
        self._own_openings = None
        self._reports = {}
        self._heard_at = {}
        self._other_zones = frozenset()
        self._local_targets = frozenset()
        self._remote_hub_hosts = []
        self._cut_probed_at = float('-inf')
        self._has_view = False
        self._heard_own_zone = False
        self._unready_until = None
        self._announced = (False, IN_ROTATION)
        self._undecided_until = float('-inf')

    @property
    def withdrawn(self):
        """Return whether the zone is withdrawn from rotation."""
        return self._withdrawal.withdrawn

    def take_opening_report(self, report):
        """Take the openings seen here, None if all zones are in reach.

        :returns: whether the hubs must be informed at once.
        """
        before, self._own_openings = self._own_openings, report
        return _has_unserved(report) and not _has_unserved(before)

    def take_view(self, view, now):
        """Take a new view of the directory."""
        zone = self._neighbours.zone
        targets = [
            target for group in view.by_service.values() for target in group
        ]
        self._other_zones = frozenset(
            target.zone for target in targets if target.zone != zone
        )
        self._local_targets = frozenset(
            target.name for target in targets if target.zone == zone
        )
        if not self._has_view:
            self._has_view = True
            if (
                self._other_zones
                and not self._local_targets
                and not self._heard_own_zone
            ):
                self._unready_until = now + FIRST_BEAT_WAIT_S
        self._announce(now)

    def take_beat(self, beat, now):
        """Take the state of the sender's zone from a beat."""
        if beat.zone != self._neighbours.zone:
            self._heard_at[beat.zone] = now
            return
        if beat.name == self._neighbours.name:
            return
        if beat.leaving:
            self._reports.pop(beat.name, None)
            return
        self._reports[beat.name] = (now, _read_opening_report(beat))
        self._take_verdict(beat, beat.name, now)

    def take_snapshot(self, snapshot, host, now):
        """Take the state of the sender's zone from a snapshot.

        :param host: address of the sender.
        """
        if snapshot.zone == self._neighbours.zone:
            self._take_verdict(snapshot, host, now, SNAPSHOT_GRACE_S)

    def tick(self, now, is_heard=True):
        """Expire old data, and decide if this instance is the first hub.

        :param is_heard: whether other instances can hear this one.
        :returns: whether the verdict has changed and must be sent at once.
        """
        withdrawal = self._withdrawal
        if (
            withdrawal.withdrawn
            and now - self._confirmed_at > VERDICT_LIFETIME_S
        ):
            withdrawal.forget()
            self._log(self._neighbours.name, now)
        if self._unready_until is not None and now >= self._unready_until:
            self._unready_until = None
        self._reports = {
            name: dated
            for name, dated in self._reports.items()
            if now - dated[0] <= REPORT_MAX_AGE_S
        }
        changed = False
        undecided = withdrawal.undecided
        # Without a view of the directory no other zone seems to serve.
        if self._has_view and is_heard and self._neighbours.is_first_hub:
            self._confirmed_at = now
            changed = withdrawal.decide(self._make_situation(now), now)
        else:
            withdrawal.forget_evidence()
        if changed:
            self._log(self._neighbours.name, now)
        if withdrawal.undecided:
            self._undecided_until = now + UNDECIDED_S
        self._announce(now)
        return changed or withdrawal.undecided > undecided

    def make_beat_fields(self, now):
        """Return the fields for beats and snapshots within the own zone."""
        fields = {}
        withdrawal = self._withdrawal
        beyond = frozenset()
        own = self._own_openings
        if own is not None:
            fields['openings'] = [own.placed, own.unserved, own.served]
            beyond = own.beyond
        since_change_s = now - withdrawal.changed_at
        if withdrawal.undecided:
            fields['withdrawal'] = [UNDECIDED, 0, 0]
        elif withdrawal.withdrawn or since_change_s < RETURN_REPORT_S:
            fields['withdrawal'] = [
                int(withdrawal.withdrawn),
                max(0, round(since_change_s * 1000)),
                max(0, round((now - self._confirmed_at) * 1000)),
            ]
        if withdrawal.withdrawn:
            beyond = withdrawal.beyond
        if beyond:
            fields['beyond'] = sorted(beyond)
        return fields

    def list_cut_probe_hosts(self, now):
        """Return hosts of other zones to ask whether the cut is over.

        While the zone is in rotation, a hub only remembers the hubs of the
        other zones for that; while it is withdrawn, the first hub asks them.
        """
        if not self._neighbours.is_hub:
            return []
        if not self.withdrawn:
            hosts = self._neighbours.list_other_zone_hubs()
            self._remote_hub_hosts = hosts or self._remote_hub_hosts
            return []
        due = now - self._cut_probed_at >= CUT_PROBE_INTERVAL_S
        if not self._neighbours.is_first_hub or not due:
            return []
        self._cut_probed_at = now
        return self._remote_hub_hosts

    def _take_verdict(self, message, source, now, extra_s=0):
        """Take the verdict that another instance of the zone has sent.

        :param message: beat or snapshot.
        :param source: name or address of the sender.
        :param extra_s: additional time before the verdict lapses.
        """
        self._heard_own_zone = True
        self._unready_until = None
        if message.withdrawal:
            self._merge_verdict(message, source, now, extra_s)
        self._announce(now)

    def _merge_verdict(self, message, source, now, extra_s):
        state, changed_ms, confirmed_ms = message.withdrawal
        if state == UNDECIDED:
            self._undecided_until = now + UNDECIDED_S
            return
        withdrawn = state == WITHDRAWN
        changed_at = now - changed_ms / 1000
        confirmed_at = now - confirmed_ms / 1000 + extra_s
        withdrawal = self._withdrawal
        if withdrawn and now - confirmed_at > VERDICT_LIFETIME_S:
            return
        if withdrawn == withdrawal.withdrawn:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
        elif changed_at > withdrawal.changed_at:
            self._confirmed_at = confirmed_at
            beyond = frozenset(message.beyond)
            withdrawal.adopt(withdrawn, changed_at, beyond)
            self._log(source, now)

    def _make_situation(self, now):
        neighbours = self._neighbours
        reports = {
            name: report
            for name, (_, report) in self._reports.items()
            if report is not None
        }
        if self._own_openings is not None:
            reports[neighbours.name] = self._own_openings
        return Situation(
            reports,
            len(neighbours.list_recent(now)),
            self._heard_at,
            self._other_zones,
            self._local_targets,
        )

    def _announce(self, now):
        """Report changes to the readiness check and to the packet actor."""
        state = IN_ROTATION
        if self.withdrawn:
            state = WITHDRAWN
        elif now < self._undecided_until:
            state = UNDECIDED
        unready = self.withdrawn or self._unready_until is not None
        before, self._announced = self._announced, (unready, state)
        if unready != before[0]:
            self._on_unready_change(unready)
        if state != before[1]:
            self._send(DropOpenings((0, ROUTER_SWITCH_S, UNDECIDED_S)[state]))

    def _log(self, source, now):
        withdrawal = self._withdrawal
        totals = withdrawal.totals
        fields = {
            'by': source,
            'cause': withdrawal.cause,
            'beyond': sorted(withdrawal.beyond),
        }
        if source == self._neighbours.name:
            fields.update(
                placed=totals.placed,
                unserved=totals.unserved,
                served=totals.served,
                witnesses=totals.witnesses,
                instances=len(self._neighbours.list_recent(now)),
                heard_s={
                    zone: round(now - at, 3)
                    for zone, at in sorted(self._heard_at.items())
                },
            )
        _LOG.warning(
            'forwarding: zone withdrawn'
            if withdrawal.withdrawn
            else 'forwarding: zone returned',
            extra=fields,
        )


def _has_unserved(report):
    return report is not None and report.unserved > 0


def _read_opening_report(beat):
    if not beat.openings:
        return None
    return OpeningReport(*beat.openings, frozenset(beat.beyond))
