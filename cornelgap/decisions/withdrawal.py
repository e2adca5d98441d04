"""Decides whether a zone that cannot serve is withdrawn from rotation.

Load pattern: operators drain a zone, or all its targets are lost, and then
it is cut off from the other zones while its callers still reach it.  No flow
may open on its own targets, and no other zone is reachable.  Callers retry a
refused opening at once, so all their tries are used up within milliseconds,
for as long as the cut lasts.  Instances of other zones could serve all of
these callers.

Routers use all instances of a zone while any of them is in rotation, and
those of other zones when none is.  So a zone is withdrawn as a whole or not
at all, by the totals over all its instances.  Open flows on the zone's
targets cannot be reached through another zone and are lost on withdrawal, so
they count against the openings that cannot be served.  An intermittent cut
must not make routers switch back and forth: after each return, the next
withdrawal takes longer.
"""

from collections import deque

from msgspec import Struct

from cornelgap.decisions.backoff import compute_backoff

OPENING_WINDOW_S = 1.0
"""Window in which openings and served flows are counted."""

UNSERVED_S = 0.5
"""Time for which a zone must be unable to serve before it is withdrawn.  Each
refused caller has lost its request, so a longer wait loses more requests."""

LONGEST_UNSERVED_S = 16.0

UNDECIDED_S = 1.5
"""Longest time for which callers wait for the decision; a first withdrawal is
decided within it.  One that takes longer may never be made, and callers are
better refused at once."""

FLAP_WINDOW_S = 60.0
"""Time for which a return to rotation makes the next withdrawal take
longer."""

MIN_SILENCE_S = 1.8
"""Time without a beat from the zones beyond the cut, before a withdrawal.
Their hubs send one every 1 to 1.5 s.  A zone whose beats still arrive has
lost its targets and not its links, and could not serve either."""

MIN_WITHDRAWN_S = 3.0
"""Shortest time out of rotation.  Routers take up to a second to stop using a
zone, and callers up to 1.4 s to end the attempts that were lost by then."""

MAX_WITHDRAWN_S = 60.0
"""Longest time out of rotation without any sign that the cut is over.  The
signs themselves may be lost; a return that comes too early costs about two
seconds."""

OPENINGS_PER_REQUEST = 3
"""Openings that a caller sends for one lost request: the first and two
retries."""

LARGE_ZONE_INSTANCES = 3
"""Size of a zone, in instances, from which on at least two of them must have
openings that they cannot serve."""


class OpeningReport(Struct, frozen=True):
    """What one instance counted in the last :data:`OPENING_WINDOW_S`.

    :param placed: openings that were placed on a reachable target.
    :param unserved: openings for which all targets lie beyond a cut.
    :param served: open flows on targets that have answered, plus
        :data:`OPENINGS_PER_REQUEST` times the openings that no other zone can
        serve.
    :param beyond: names of zones beyond the cut that could have served the
        unserved openings.
    """

    placed: int = 0
    unserved: int = 0
    served: int = 0
    beyond: frozenset = frozenset()


class Situation(Struct, frozen=True):
    """Input of a decision on one zone.

    :param reports: :class:`OpeningReport` by instance, of those that cannot
        reach some other zone.
    :param instances: number of instances that the zone had in the last
        minute; 0 while it is not known.
    :param heard_at: time of the last beat from another zone, by zone.
    :param other_zones: names of other zones whose targets may take new flows.
    :param local_targets: names of the own zone's targets that may take new
        flows.
    """

    reports: dict
    instances: int = 0
    heard_at: dict = {}
    other_zones: frozenset = frozenset()
    local_targets: frozenset = frozenset()


class Totals(Struct, frozen=True):
    """Totals over the instances of a zone; see :class:`OpeningReport`.

    :param opening: number of instances that received an opening.
    :param witnesses: number of instances that could not serve one.
    """

    placed: int
    unserved: int
    served: int
    beyond: frozenset
    opening: int
    witnesses: int


def sum_reports(reports):
    """Return the :class:`Totals` over the instances of a zone."""
    reports = list(reports)
    beyond = (report.beyond for report in reports if report.unserved)
    return Totals(
        placed=sum(report.placed for report in reports),
        unserved=sum(report.unserved for report in reports),
        served=sum(report.served for report in reports),
        beyond=frozenset().union(*beyond),
        opening=sum(report.placed + report.unserved > 0 for report in reports),
        witnesses=sum(report.unserved > 0 for report in reports),
    )


def is_withdrawal_worthwhile(totals):
    """Return whether a withdrawal would save more than it loses.

    One lost request causes up to three openings, and a zone stays out of
    rotation for at least three seconds, so the openings of one second compare
    one to one with open flows.  Openings placed here do not count as lost if
    another zone could place them too.
    """
    if totals.unserved < OPENINGS_PER_REQUEST:
        return False
    return totals.unserved > totals.served


def list_usable_zones(beyond, other_zones):
    """Return the zones that can serve while this one is out of rotation.

    :param beyond: zones that the unserved openings could have used.
    :param other_zones: as in :class:`Situation`.
    """
    return beyond & other_zones


def has_majority(totals, report_count, instances):
    """Return whether enough instances of the zone agree on the cut.

    More than half of all instances must report an unreachable zone, and more
    than half of those that received openings must have unserved ones.

    :param report_count: number of instances that cannot reach some other zone.
    :param instances: as in :class:`Situation`.
    """
    if 2 * report_count <= instances or not instances:
        return False
    if instances >= LARGE_ZONE_INSTANCES and totals.witnesses < 2:
        return False
    return 2 * totals.witnesses > totals.opening


class Withdrawal:
    """Decision on one zone, with the evidence that it rests on.

    :ivar withdrawn: whether the zone is to be out of rotation.
    :ivar changed_at: time of the last change; minus infinity if no decision
        is known.
    :ivar beyond: names of the zones that serve while this one is withdrawn.
    :ivar cause: cause of the last change; a field of the log line.
    :ivar undecided: whether the zone cannot serve and may be withdrawn within
        :data:`UNDECIDED_S`.
    :ivar totals: the :class:`Totals` of the last decision.
    """

    def __init__(self):
        """Start in rotation."""
        self.withdrawn = False
        self.changed_at = float('-inf')
        self.beyond = frozenset()
        self.cause = ''
        self.undecided = False
        self.totals = sum_reports(())
        self._unserved_since = None
        self._decided_at = float('-inf')
        self._local_targets = None
        self._returns = deque()

    def decide(self, situation, now):
        """Decide whether the zone is withdrawn or returns.

        :param situation: :class:`Situation`.
        :returns: whether the decision has changed.
        """
        self.totals = sum_reports(situation.reports.values())
        self.undecided = False
        self._drop_stale_evidence(now)
        if self.withdrawn:
            cause = self._find_return_cause(situation, now)
            if cause:
                self._set_withdrawn(False, now, cause)
            return not self.withdrawn
        beyond = list_usable_zones(self.totals.beyond, situation.other_zones)
        if not self._is_withdrawal_due(situation, beyond, now):
            return False
        self.beyond = beyond
        self._local_targets = situation.local_targets
        self._set_withdrawn(True, now, 'unserved')
        return True

    def adopt(self, withdrawn, changed_at, beyond):
        """Adopt the decision of another instance."""
        self.beyond = beyond
        self._local_targets = None
        self._set_withdrawn(withdrawn, changed_at, 'told')

    def forget_evidence(self):
        """Discard the evidence of the current cut.

        An instance that does not decide calls this, so that it starts without
        old evidence once it does.
        """
        self._unserved_since = None
        self.undecided = False

    def forget(self):
        """Discard a decision that no instance confirms any more."""
        self.withdrawn = False
        self.changed_at = float('-inf')
        self.cause = 'unconfirmed'
        self.forget_evidence()

    def _drop_stale_evidence(self, now):
        """Discard evidence from before a stall of this process."""
        if now - self._decided_at > OPENING_WINDOW_S:
            self.forget_evidence()
        self._decided_at = now

    def _set_withdrawn(self, withdrawn, changed_at, cause):
        if self.withdrawn and not withdrawn:
            self._returns.append(changed_at)
        self.withdrawn = withdrawn
        self.changed_at = changed_at
        self.cause = cause
        self.forget_evidence()

    def _is_withdrawal_due(self, situation, beyond, now):
        report_count = len(situation.reports)
        enough = is_withdrawal_worthwhile(self.totals) and has_majority(
            self.totals, report_count, situation.instances
        )
        if not (beyond and enough):
            self._unserved_since = None
            return False
        if self._unserved_since is None:
            self._unserved_since = now
        unserved_s = now - self._unserved_since
        required_s = self._compute_required(now)
        self.undecided = required_s == UNSERVED_S and unserved_s < UNDECIDED_S
        if unserved_s < required_s:
            return False
        return not _list_heard(situation, beyond, now - MIN_SILENCE_S)

    def _compute_required(self, now):
        """Return for how many seconds the zone must be unable to serve."""
        while self._returns and now - self._returns[0] > FLAP_WINDOW_S:
            self._returns.popleft()
        return compute_backoff(
            UNSERVED_S, len(self._returns) + 1, LONGEST_UNSERVED_S
        )

    def _find_return_cause(self, situation, now):
        """Return why the zone returns to rotation, or an empty string."""
        if not list_usable_zones(self.beyond, situation.other_zones):
            return 'no_other_zone'
        if self._local_targets is None:
            self._local_targets = situation.local_targets
        withdrawn_s = now - self.changed_at
        if withdrawn_s < MIN_WITHDRAWN_S:
            return ''
        if situation.local_targets - self._local_targets:
            return 'targets_at_home'
        if _list_heard(situation, self.beyond, now - MIN_SILENCE_S):
            return 'zone_heard'
        if situation.instances and not situation.reports:
            return 'zones_in_reach'
        if self.totals.placed and not self.totals.unserved:
            return 'openings_placed'
        return 'no_sign' if withdrawn_s >= MAX_WITHDRAWN_S else ''


def _list_heard(situation, zones, since):
    """Return the zones from which a beat has come after a time."""
    return [
        zone
        for zone in zones
        if situation.heard_at.get(zone, float('-inf')) > since
    ]
