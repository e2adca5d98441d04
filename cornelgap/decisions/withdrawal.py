"""Decides whether a zone that cannot serve is withdrawn from rotation.

Failure: an availability zone is left without targets that take new flows,
because operators drain it or all its targets are lost.  Then a network
partition between zones, here called a cut, separates it from the other zones,
while its callers still reach its instances.  No opening (request of a caller
for a new flow) can be placed: neither on the zone's own targets nor on those
of another zone.  A caller whose opening is refused retries at once, so it uses
up all its tries within milliseconds and loses the request.  This happens to
every caller until the cut ends, although instances of other zones could serve
all of them.  A withdrawn zone is out of rotation, and routers send its callers
to those zones.

Routers use all instances of a zone while any of them is in rotation, and
those of other zones when none is.  So a zone is withdrawn as a whole or not
at all, by totals over its instances (see :class:`Totals`).  Open flows on the
zone's targets cannot be reached through another zone and are lost on
withdrawal, so they count against the openings that cannot be served.  An
intermittent cut must not make routers switch back and forth: after each
return, the next withdrawal takes longer.

One instance, the first hub of the zone, decides (:meth:`Withdrawal.decide`);
the other instances copy its decision from heartbeats, also called beats
(:meth:`Withdrawal.adopt`).  Hubs are the instances that exchange heartbeats
with other zones; see :mod:`cornelgap.forwarding.neighbours`.

Times and durations are in seconds.  Nothing here reads a clock: ``now`` and
all other times are passed in, and all of one instance are on the same clock.
The caller passes the process clock (``CLOCK_BOOTTIME``), which also counts
while the machine is suspended.
"""

from collections import deque

from msgspec import Struct

from cornelgap.decisions.backoff import compute_backoff

OPENING_WINDOW_S = 1.0
"""Length in seconds of the window that ends now, in which openings are
counted.  An open flow counts if its target has answered within it."""

UNSERVED_S = 0.5
"""Seconds for which a zone must be unable to serve without a break before it
is withdrawn, if it has not returned lately (see :data:`FLAP_WINDOW_S`).  Each
refused caller has lost its request, so a longer wait loses more requests."""

LONGEST_UNSERVED_S = 16.0
"""Upper bound, in seconds, of the time for which a zone must be unable to
serve.  :data:`UNSERVED_S` doubles with each return that counts, and reaches
this bound after five."""

UNDECIDED_S = 1.5
"""Longest time, in seconds, for which callers are kept waiting for the
decision.  It counts from the moment at which the conditions for a withdrawal
are met, apart from :data:`UNSERVED_S` and :data:`MIN_SILENCE_S`.  While it
runs, instances drop the openings that they cannot serve instead of refusing
them, so that callers repeat them, and the repeats reach another zone if this
one is withdrawn meanwhile.

A first withdrawal is decided within this time, though it needs 1.8 s of
silence (:data:`MIN_SILENCE_S`): the silence is counted from the last
heartbeat, which came before the cut.  Openings become unserved only when the
other zone is found unreachable, which takes second repeats of callers and so
about 0.6 s from the cut or more.

If the decision takes longer, heartbeats still arrive and it may never be made.
Callers are then better refused at once.  The same holds after a return, when
more than :data:`UNSERVED_S` is required: callers are not kept waiting."""

FLAP_WINDOW_S = 60.0
"""Seconds for which a return to rotation counts.  Each return that counts
doubles the time for which the zone must be unable to serve before the next
withdrawal, so that routers do not switch zones with every short cut."""

MIN_SILENCE_S = 1.8
"""Seconds without a heartbeat from any of the other zones that would serve
(``beyond``), before this zone is withdrawn.  The first hub of each of them
sends one to the hubs of this zone every 1 to 1.5 s.  A zone whose heartbeats
still arrive is not cut off; its targets are unreachable because they are
lost, so its instances could not serve the callers either.

A withdrawn zone returns when a heartbeat from one of them has come within
this time (cause ``zone_heard``)."""

MIN_WITHDRAWN_S = 3.0
"""Shortest time out of rotation, in seconds, unless no other zone can serve
any more.  Routers take up to a second to stop using a zone, and callers up to
1.4 s to end the attempts that were lost by then, so a withdrawal shows its
full effect only after both have passed."""

MAX_WITHDRAWN_S = 60.0
"""Longest time out of rotation, in seconds, without any sign that the cut is
over (see the causes of :class:`Withdrawal`).  The signs themselves may be
lost, and the zone must not stay out for good.  A return that comes too early
costs about two seconds, until the zone is withdrawn again."""

OPENINGS_PER_REQUEST = 3
"""Number of openings that a caller sends for one request that is lost: the
first and two retries."""

LARGE_ZONE_INSTANCES = 3
"""Number of instances of a zone from which on at least two of them must have
openings that they cannot serve, before the zone is withdrawn."""


class OpeningReport(Struct, frozen=True):
    """What one instance counted in the last :data:`OPENING_WINDOW_S`.

    An instance reports only while the targets of at least one zone, be it its
    own or another, are unreachable from it.

    :param placed: number of openings sent to a target, without those that
        count as unserved.
    :param unserved: number of openings that other zones have targets for, but
        all targets for them are unreachable from this instance.  Openings
        that were sent to such a target as a probe are among them.
    :param served: what a withdrawal would lose: the number of open flows on
        reachable targets that have answered within the window, plus
        :data:`OPENINGS_PER_REQUEST` times the number of placed openings that
        only the own zone has targets for.  ``unserved`` counts several
        openings for each lost request, but a placed opening is a whole
        request, so it is multiplied to weigh as much; see
        :func:`is_withdrawal_worthwhile`.
    :param beyond: names of the other zones that have targets for the unserved
        openings.  They are beyond the cut, as seen from this instance.
    """

    placed: int = 0
    unserved: int = 0
    served: int = 0
    beyond: frozenset = frozenset()


class Situation(Struct, frozen=True):
    """Input of a decision on one zone, as the deciding instance sees it.

    :param reports: :class:`OpeningReport` by instance name, of the zone's
        instances that report; instances that reach all zones do not.
    :param instances: number of instances that the zone had in the last
        minute, reporting or not; 0 while it is not known.
    :param heard_at: time of the last heartbeat that this instance received
        from any instance of another zone, by name of that other zone.
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
    """Totals over the instances of a zone that report.

    Instances that reach all zones do not report, and what they place and
    serve is not counted.  The totals are enough all the same: such an
    instance has no unserved openings, and a zone is withdrawn only if more
    than half of all its instances report (see :func:`has_majority`).

    :param placed: sum of ``placed`` in :class:`OpeningReport`.
    :param unserved: sum of ``unserved``.
    :param served: sum of ``served``.
    :param beyond: names of all zones that have targets for unserved openings
        of any reporting instance and are beyond the cut as seen from it.
    :param opening: number of reporting instances that received an opening.
    :param witnesses: number of reporting instances that could not serve one.
    """

    placed: int
    unserved: int
    served: int
    beyond: frozenset
    opening: int
    witnesses: int


def sum_reports(reports):
    """Return the :class:`Totals` of the reports of a zone.

    :param reports: iterable of :class:`OpeningReport`.
    """
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
    """Return whether a withdrawal would save more requests than it loses.

    One lost request causes up to three openings
    (:data:`OPENINGS_PER_REQUEST`), and a zone stays out of rotation for at
    least three seconds (:data:`MIN_WITHDRAWN_S`).  The totals are counted in
    one second (:data:`OPENING_WINDOW_S`), so both threes cancel out::

        saved = unserved openings per second / 3 openings per request * 3 s
              = unserved, in requests
        lost  = open flows * 1 request per flow
                + only here per second * 3 s
              = served, in requests

    "Only here" are the placed openings that only this zone has targets for,
    each of them one request; ``served`` contains them times three.  Other
    openings placed here do not count as lost, as another zone could place
    them too.  Fewer than three unserved openings are less than one lost
    request, and never reason enough.

    :param totals: :class:`Totals`.
    """
    if totals.unserved < OPENINGS_PER_REQUEST:
        return False
    return totals.unserved > totals.served


def list_usable_zones(beyond, other_zones):
    """Return the zones that can serve while this one is out of rotation.

    :param beyond: names of the zones beyond the cut, as seen from this zone,
        that have targets for the openings that it cannot serve.
    :param other_zones: as in :class:`Situation`.
    """
    return beyond & other_zones


def has_majority(totals, report_count, instances):
    """Return whether enough instances of the zone agree on the cut.

    More than half of all instances must report an unreachable zone, and more
    than half of the reporting ones that received openings must have unserved
    ones.  In a zone of :data:`LARGE_ZONE_INSTANCES` or more, at least two
    must have unserved ones.

    :param totals: :class:`Totals`.
    :param report_count: number of instances that report.
    :param instances: as in :class:`Situation`.
    """
    if 2 * report_count <= instances or not instances:
        return False
    if instances >= LARGE_ZONE_INSTANCES and totals.witnesses < 2:
        return False
    return 2 * totals.witnesses > totals.opening


class Withdrawal:
    """Decision on one zone, with the evidence that it rests on.

    Each instance holds one for its own zone.  Only the zone's first hub calls
    :meth:`decide`, at every tick, and thereby confirms the decision.  The
    other instances copy the latest change from heartbeats within the zone
    (:meth:`adopt`) and hold no evidence (:meth:`forget_evidence`).  A
    withdrawal stays in force while a first hub confirms it; once the last
    confirmation that an instance knows of is older than ``STALE_S`` of
    :mod:`cornelgap.forwarding.zone_standing`, the instance returns to rotation
    (:meth:`forget`).

    Values of ``cause``, for a withdrawal:

    - ``unserved``: the zone could not serve for the required time.

    For a return; all but the first and the last only after
    :data:`MIN_WITHDRAWN_S`:

    - ``no_other_zone``: none of the zones that served meanwhile has targets
      for new flows any more.
    - ``targets_at_home``: the own zone has a target for new flows that it did
      not have when it was withdrawn or, if the deciding instance has adopted
      the withdrawal, when that instance first decided.
    - ``zone_heard``: a heartbeat has come from a zone beyond the cut.
    - ``zones_in_reach``: no instance of the zone reports an unreachable zone.
    - ``openings_placed``: the reporting instances have placed openings and had
      no unserved one.
    - ``no_sign``: :data:`MAX_WITHDRAWN_S` have passed without such a sign.
    - ``unconfirmed``: no first hub confirms the withdrawal any more.

    For either:

    - ``told``: copied from another instance.

    It is the empty string until the first change.

    :ivar withdrawn: whether the zone is to be out of rotation.
    :ivar changed_at: time of the last change in seconds, on the clock of
        ``now``; minus infinity if no decision is known.
    :ivar beyond: names of the zones that serve while this one is withdrawn:
        those beyond the cut, as seen from this zone, that had targets for its
        unserved openings at the decision.
    :ivar cause: cause of the last change; a field of the log line.
    :ivar undecided: whether the zone cannot serve and may be withdrawn within
        :data:`UNDECIDED_S`, so that callers are kept waiting.
    :ivar totals: the :class:`Totals` of the last call of :meth:`decide`.
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
        self._last_called_at = float('-inf')
        self._local_targets = None
        self._returned_at = deque()

    def decide(self, situation, now):
        """Decide whether the zone is withdrawn or returns.

        The zone's first hub calls this at every tick.  Evidence from before a
        pause of more than :data:`OPENING_WINDOW_S` between two calls is
        discarded.

        :param situation: :class:`Situation`.
        :param now: current time in seconds, on the process clock.
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
        """Adopt the decision of another instance.

        The caller makes sure that it is later than the own one.  An adopted
        return counts for :data:`FLAP_WINDOW_S` like one decided here.

        :param withdrawn: whether the zone is to be out of rotation.
        :param changed_at: time of that change in seconds, on the clock of this
            instance.
        :param beyond: names of the zones that serve while this one is
            withdrawn: those beyond the cut, as seen from this zone by the
            instance that decided.
        """
        self.beyond = beyond
        self._local_targets = None
        self._set_withdrawn(withdrawn, changed_at, 'told')

    def forget_evidence(self):
        """Discard the evidence of the current cut; the decision stays.

        An instance that is not the first hub calls this at every tick, so that
        it starts without old evidence once it decides.
        """
        self._unserved_since = None
        self.undecided = False

    def forget(self):
        """Return to rotation, as no first hub confirms the withdrawal.

        This does not count as a return for :data:`FLAP_WINDOW_S`.
        """
        self.withdrawn = False
        self.changed_at = float('-inf')
        self.cause = 'unconfirmed'
        self.forget_evidence()

    def _drop_stale_evidence(self, now):
        """Discard evidence from before a stall of this process.

        :param now: as in :meth:`decide`.
        """
        if now - self._last_called_at > OPENING_WINDOW_S:
            self.forget_evidence()
        self._last_called_at = now

    def _set_withdrawn(self, withdrawn, changed_at, cause):
        if self.withdrawn and not withdrawn:
            self._returned_at.append(changed_at)
        self.withdrawn = withdrawn
        self.changed_at = changed_at
        self.cause = cause
        self.forget_evidence()

    def _is_withdrawal_due(self, situation, beyond, now):
        """Return whether the zone is to be withdrawn; update the evidence.

        :param beyond: names of the zones beyond the cut, as seen from this
            zone, that could serve the unserved openings and take new flows.
        """
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
        while self._returned_at and now - self._returned_at[0] > FLAP_WINDOW_S:
            self._returned_at.popleft()
        return compute_backoff(
            UNSERVED_S, len(self._returned_at) + 1, LONGEST_UNSERVED_S
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
    """Return the zones from which a heartbeat has come after a time.

    :param zones: names of other zones.
    :param since: time in seconds, on the clock of ``heard_at``.
    """
    return [
        zone
        for zone in zones
        if situation.heard_at.get(zone, float('-inf')) > since
    ]
