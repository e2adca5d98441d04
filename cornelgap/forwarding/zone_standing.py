"""Whether the own zone is in rotation: who decides, and who is believed.

Each instance tells the hubs what it has seen; the first hub decides by the
sums of the zone.  Every beat within the zone carries the verdict, with the
time of its last change and of its last confirmation by a first hub.  The
latest change wins, and a verdict that nobody confirms lapses: so the next
hub goes on from it when the first one dies, an instance that starts learns
it from whomever it hears first, and one that hears nobody returns.
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
"""Age up to which a report counts; reports come twice a second, so this
takes two lost datagrams in a row."""

STALE_S = 3.0
"""Age of the last confirmation at which a verdict lapses.  The next hub takes
over within 1.3 s and confirms with its next beat."""

TOLD_S = 10.0
"""Time for which a return is told.  Who has not heard of it by then has let
the verdict lapse."""

START_S = 1.0
"""Longest wait for a first beat of the zone after the start, where the zone
has no target of its own.  Ready before it knows the verdict, one instance
brings its whole zone back into rotation."""

SNAPSHOT_S = 3.0
"""Further time before a verdict lapses that came with a snapshot.  Without
the key no beat can be read; seeds are asked one a second, and most of them
are of other zones."""

LEAVE_S = 2.0
"""Time after the verdict in which routers let go: two missed questions, half
a second apart, and the last copy of a SYN after 0.6 s.  Openings that still
come after that have no other way, and are better told at once."""

IN_ROTATION, WITHDRAWN, UNDECIDED = range(3)
"""What a beat says of the zone; the last one only as the first hub's."""

HELLO_S = 1.0
"""Pause between two questions to hubs of the zones beyond the cut.  The
others of them have been forgotten by then, and would be found again late."""

_LOG = logging.getLogger('cornelgap.directory')


class DropOpenings(Struct, frozen=True):
    """Message: drop the openings that cannot be served, for some seconds.

    A reset uses up a caller's tries at once; its copies reach an instance of
    another zone when routers have let go of this one.
    """

    for_s: float


class ZoneStanding:
    """The verdict as this instance knows it.

    :param neighbours: :class:`~cornelgap.forwarding.neighbours.Neighbours`.
    :param tell: function that tells the packet actor a message.
    :param on_change: function of whether this instance must not be ready.
    """

    def __init__(self, neighbours, tell, on_change):
        """Be in rotation, as far as it is known."""
        self._neighbours = neighbours
        self._tell = tell
        self._on_change = on_change
        self._withdrawal = Withdrawal()
        self._confirmed_at = float('-inf')
        self._own = None
        self._reports = {}
        self._heard_at = {}
        self._others = frozenset()
        self._home = frozenset()
        self._far_hosts = []
        self._hello_at = float('-inf')
        self._begun = False
        self._met = False
        self._waits_until = None
        self._shown = (False, IN_ROTATION)
        self._undecided_until = float('-inf')

    @property
    def withdrawn(self):
        """Say whether the zone is to be out of rotation."""
        return self._withdrawal.withdrawn

    def take_opening_report(self, report):
        """Take what this instance has seen, None if all zones are in reach.

        :returns: whether the hubs are to hear of it at once.
        """
        before, self._own = self._own, report
        return _has_unserved(report) and not _has_unserved(before)

    def take_view(self, view, now):
        """Take another picture of the directory."""
        zone = self._neighbours.zone
        listed = [
            target for group in view.by_service.values() for target in group
        ]
        self._others = frozenset(
            target.zone for target in listed if target.zone != zone
        )
        self._home = frozenset(
            target.name for target in listed if target.zone == zone
        )
        if not self._begun:
            self._begun = True
            if self._others and not self._home and not self._met:
                self._waits_until = now + START_S
        self._show(now)

    def take_beat(self, beat, now):
        """Take what a beat says of its sender's zone."""
        if beat.zone != self._neighbours.zone:
            self._heard_at[beat.zone] = now
            return
        if beat.name == self._neighbours.name:
            return
        if beat.leaving:
            self._reports.pop(beat.name, None)
            return
        self._reports[beat.name] = (now, _read_opening_report(beat))
        self._hear(beat, beat.name, now)

    def take_snapshot(self, snapshot, host, now):
        """Take what a snapshot says of its teller's zone.

        :param host: the teller's address.
        """
        if snapshot.zone == self._neighbours.zone:
            self._hear(snapshot, host, now, SNAPSHOT_S)

    def tick(self, now, is_heard=True):
        """Decide if that is this instance's part.

        :param is_heard: whether the others can hear this instance.
        :returns: whether the verdict has changed and is to be told at once.
        """
        withdrawal = self._withdrawal
        if withdrawal.withdrawn and now - self._confirmed_at > STALE_S:
            withdrawal.forget()
            self._log(self._neighbours.name, now)
        if self._waits_until is not None and now >= self._waits_until:
            self._waits_until = None
        self._reports = {
            name: told
            for name, told in self._reports.items()
            if now - told[0] <= REPORT_MAX_AGE_S
        }
        changed = False
        undecided = withdrawal.undecided
        # Without a picture of the directory no other zone seems to serve.
        if self._begun and is_heard and self._neighbours.is_first_hub:
            self._confirmed_at = now
            changed = withdrawal.decide(self._make_situation(now), now)
        else:
            withdrawal.forget_evidence()
        if changed:
            self._log(self._neighbours.name, now)
        if withdrawal.undecided:
            self._undecided_until = now + UNDECIDED_S
        self._show(now)
        return changed or withdrawal.undecided > undecided

    def report(self, now):
        """Return the fields of a beat to instances of the own zone."""
        parts = {}
        withdrawal = self._withdrawal
        beyond = frozenset()
        own = self._own
        if own is not None:
            parts['openings'] = [own.placed, own.unserved, own.served]
            beyond = own.beyond
        told_s = now - withdrawal.changed_at
        if withdrawal.undecided:
            parts['withdrawal'] = [UNDECIDED, 0, 0]
        elif withdrawal.withdrawn or told_s < TOLD_S:
            parts['withdrawal'] = [
                int(withdrawal.withdrawn),
                max(0, round(told_s * 1000)),
                max(0, round((now - self._confirmed_at) * 1000)),
            ]
        if withdrawal.withdrawn:
            beyond = withdrawal.beyond
        if beyond:
            parts['beyond'] = sorted(beyond)
        return parts

    def list_lost_hosts(self, now):
        """Return hosts of other zones to ask whether the cut is over."""
        if not self._neighbours.is_hub:
            return []
        if not self.withdrawn:
            hosts = self._neighbours.list_far_hubs()
            self._far_hosts = hosts or self._far_hosts
            return []
        due = now - self._hello_at >= HELLO_S
        if not self._neighbours.is_first_hub or not due:
            return []
        self._hello_at = now
        return self._far_hosts

    def _hear(self, told, by, now, spare_s=0):
        """Take what another instance of the zone has told.

        :param told: beat or snapshot.
        :param spare_s: further time before a verdict lapses.
        """
        self._met = True
        self._waits_until = None
        if told.withdrawal:
            self._compare(told, by, now, spare_s)
        self._show(now)

    def _compare(self, told, by, now, spare_s):
        state, changed_ms, confirmed_ms = told.withdrawal
        if state == UNDECIDED:
            self._undecided_until = now + UNDECIDED_S
            return
        withdrawn = state == WITHDRAWN
        changed_at = now - changed_ms / 1000
        confirmed_at = now - confirmed_ms / 1000 + spare_s
        withdrawal = self._withdrawal
        if withdrawn and now - confirmed_at > STALE_S:
            return
        if withdrawn == withdrawal.withdrawn:
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
        elif changed_at > withdrawal.changed_at:
            self._confirmed_at = confirmed_at
            beyond = frozenset(told.beyond)
            withdrawal.adopt(withdrawn, changed_at, beyond)
            self._log(by, now)

    def _make_situation(self, now):
        neighbours = self._neighbours
        reports = {
            name: report
            for name, (_, report) in self._reports.items()
            if report is not None
        }
        if self._own is not None:
            reports[neighbours.name] = self._own
        return Situation(
            reports,
            len(neighbours.list_recent(now)),
            self._heard_at,
            self._others,
            self._home,
        )

    def _show(self, now):
        """Tell readiness and the packet actor what has changed."""
        state = IN_ROTATION
        if self.withdrawn:
            state = WITHDRAWN
        elif now < self._undecided_until:
            state = UNDECIDED
        out = self.withdrawn or self._waits_until is not None
        before, self._shown = self._shown, (out, state)
        if out != before[0]:
            self._on_change(out)
        if state != before[1]:
            self._tell(DropOpenings((0, LEAVE_S, UNDECIDED_S)[state]))

    def _log(self, by, now):
        withdrawal = self._withdrawal
        totals = withdrawal.totals
        fields = {
            'by': by,
            'cause': withdrawal.cause,
            'beyond': sorted(withdrawal.beyond),
        }
        if by == self._neighbours.name:
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
