"""Whether an availability zone that cannot serve leaves the rotation.

Load pattern: operators drain a zone, or all its targets are lost, and then
it is cut off from the other zones while its callers still reach it.  Nothing
may be opened at home and nothing is in reach elsewhere.  Callers repeat a
refused opening at once, so all their tries are gone within milliseconds, for
as long as the cut lasts; instances of other zones could serve all of them.

Routers use all instances of a zone while any is in rotation, and those of
other zones when none is.  So a zone leaves as a whole or not at all, and the
sums of the whole zone decide.  Flows that are open on the zone's targets
cannot be reached from elsewhere and are given up with it; they weigh against
what cannot be opened.  A cut that comes and goes must not make routers swap
back and forth: each return makes the next withdrawal need more evidence.
"""

from collections import deque

from msgspec import Struct

from cornelgap.decisions.backoff import compute_backoff

SPAN_S = 1.0
"""Span over which openings and served flows are counted."""

EVIDENCE_S = 0.5
"""Time for which a zone must be unable to serve.  Callers that are refused
have lost their request; a longer wait loses more of them."""

LONGEST_EVIDENCE_S = 16.0

UNDECIDED_S = 1.5
"""Longest time for which callers are kept waiting for a verdict; a first
withdrawal comes within it.  One that takes longer may never come, and callers
are better told at once."""

CALM_S = 60.0
"""Time for which a return makes the next withdrawal need more evidence."""

QUIET_S = 1.8
"""Silence of the zones beyond the cut.  Their hubs send a beat every 1 to
1.5 s; a zone whose instances are heard has lost its targets, not its links,
and could not serve either."""

HOLD_S = 3.0
"""Shortest stay outside.  Routers need up to a second to let go, and callers
up to 1.4 s to end the attempts that were lost meanwhile."""

LONGEST_S = 60.0
"""Longest stay without any sign that the cut is over.  The signs may be lost
themselves; a return that comes too early costs about two seconds."""

TRIES = 3
"""Openings of one request that is lost: the first one and two tries."""

WITNESSED = 3
"""Instances from which on two must have openings that they cannot serve."""


class Sight(Struct, frozen=True):
    """What one instance has seen in the last :data:`SPAN_S`.

    :param placed: openings that found a target in reach.
    :param unserved: openings for which all targets lie beyond a cut.
    :param served: open flows on targets that have answered, and openings
        that no other zone can serve, these times :data:`TRIES`.
    :param beyond: names of zones beyond the cut that could have served.
    """

    placed: int = 0
    unserved: int = 0
    served: int = 0
    beyond: frozenset = frozenset()


class Situation(Struct, frozen=True):
    """What is known of a zone at one moment.

    :param sights: :class:`Sight` by instance, of those for which zones are
        away.
    :param instances: instances that the zone had in the last minute; 0 while
        that is not known.
    :param heard_at: when another zone's instances were heard last, by zone.
    :param others: names of other zones whose targets may take new flows.
    :param home: names of the own zone's targets that may take new flows.
    """

    sights: dict
    instances: int = 0
    heard_at: dict = {}
    others: frozenset = frozenset()
    home: frozenset = frozenset()


class Totals(Struct, frozen=True):
    """Sums of a zone's sights.

    :param opening: instances that got an opening.
    :param witnesses: instances that could not serve one.
    """

    placed: int
    unserved: int
    served: int
    beyond: frozenset
    opening: int
    witnesses: int


def sum_sights(sights):
    """Sum up what the instances of a zone have seen."""
    sights = list(sights)
    beyond = (sight.beyond for sight in sights if sight.unserved)
    return Totals(
        placed=sum(sight.placed for sight in sights),
        unserved=sum(sight.unserved for sight in sights),
        served=sum(sight.served for sight in sights),
        beyond=frozenset().union(*beyond),
        opening=sum(sight.placed + sight.unserved > 0 for sight in sights),
        witnesses=sum(sight.unserved > 0 for sight in sights),
    )


def outweighs(totals):
    """Say whether what cannot be served is worth more than what is given up.

    One lost request makes up to three openings, and a zone stays outside for
    three seconds at least; so openings of one second compare with open flows
    one to one.  Openings that are placed here and that another zone could
    place too are not given up.
    """
    if totals.unserved < TRIES:
        return False
    return totals.unserved > totals.served


def list_serving(beyond, others):
    """Return the zones that serve while this one is out of rotation.

    :param beyond: zones for whose targets openings have asked.
    :param others: as in :class:`Situation`.
    """
    return beyond & others


def is_witnessed(totals, reports, instances):
    """Say whether the zone speaks, and not a few of its instances.

    :param reports: instances for which zones are away.
    :param instances: as in :class:`Situation`.
    """
    if 2 * reports <= instances or not instances:
        return False
    if instances >= WITNESSED and totals.witnesses < 2:
        return False
    return 2 * totals.witnesses > totals.opening


class Withdrawal:
    """The verdict on one zone, and what it was made from.

    :ivar withdrawn: whether the zone is to be out of rotation.
    :ivar changed_at: when that began; minus infinity if nobody has said.
    :ivar beyond: names of the zones that serve meanwhile.
    :ivar why: what made the last change.
    :ivar undecided: whether the zone cannot serve and may leave shortly.
    """

    def __init__(self):
        """Stay in rotation."""
        self.withdrawn = False
        self.changed_at = float('-inf')
        self.beyond = frozenset()
        self.why = ''
        self.undecided = False
        self.totals = sum_sights(())
        self._unserved_since = None
        self._decided_at = float('-inf')
        self._home = None
        self._returns = deque()

    def decide(self, situation, now):
        """Decide by what is known now.

        :param situation: :class:`Situation`.
        :returns: whether the verdict has changed.
        """
        self.totals = sum_sights(situation.sights.values())
        self.undecided = False
        self._note_turn(now)
        if self.withdrawn:
            why = self._find_return(situation, now)
            if why:
                self._change(False, now, why)
            return not self.withdrawn
        beyond = list_serving(self.totals.beyond, situation.others)
        if not self._is_due(situation, beyond, now):
            return False
        self.beyond = beyond
        self._home = situation.home
        self._change(True, now, 'unserved')
        return True

    def adopt(self, withdrawn, changed_at, beyond):
        """Take over a verdict that another instance has made."""
        self.beyond = beyond
        self._home = None
        self._change(withdrawn, changed_at, 'told')

    def forget_evidence(self):
        """Forget since when the zone cannot serve, as another one decides."""
        self._unserved_since = None
        self.undecided = False

    def forget(self):
        """Return to the state in which nobody has said anything."""
        self.withdrawn = False
        self.changed_at = float('-inf')
        self.why = 'unconfirmed'
        self.forget_evidence()

    def _note_turn(self, now):
        """Forget the evidence of before a standstill of the process."""
        if now - self._decided_at > SPAN_S:
            self.forget_evidence()
        self._decided_at = now

    def _change(self, withdrawn, changed_at, why):
        if self.withdrawn and not withdrawn:
            self._returns.append(changed_at)
        self.withdrawn = withdrawn
        self.changed_at = changed_at
        self.why = why
        self.forget_evidence()

    def _is_due(self, situation, beyond, now):
        reports = len(situation.sights)
        enough = outweighs(self.totals) and is_witnessed(
            self.totals, reports, situation.instances
        )
        if not (beyond and enough):
            self._unserved_since = None
            return False
        if self._unserved_since is None:
            self._unserved_since = now
        unserved_s = now - self._unserved_since
        needed_s = self._compute_needed(now)
        self.undecided = needed_s == EVIDENCE_S and unserved_s < UNDECIDED_S
        if unserved_s < needed_s:
            return False
        return not _list_heard(situation, beyond, now - QUIET_S)

    def _compute_needed(self, now):
        """Return for how long the zone must be unable to serve, seconds."""
        while self._returns and now - self._returns[0] > CALM_S:
            self._returns.popleft()
        return compute_backoff(
            EVIDENCE_S, len(self._returns) + 1, LONGEST_EVIDENCE_S
        )

    def _find_return(self, situation, now):
        """Return why the zone can serve again, or an empty text."""
        if not list_serving(self.beyond, situation.others):
            return 'no_other_zone'
        if self._home is None:
            self._home = situation.home
        outside_s = now - self.changed_at
        if outside_s < HOLD_S:
            return ''
        if situation.home - self._home:
            return 'targets_at_home'
        if _list_heard(situation, self.beyond, now - QUIET_S):
            return 'zone_heard'
        if situation.instances and not situation.sights:
            return 'zones_in_reach'
        if self.totals.placed and not self.totals.unserved:
            return 'openings_placed'
        return 'no_sign' if outside_s >= LONGEST_S else ''


def _list_heard(situation, zones, since):
    """Return the zones of which an instance was heard later than a time."""
    return [
        zone
        for zone in zones
        if situation.heard_at.get(zone, float('-inf')) > since
    ]
