"""Failure detection for targets and zones from the flows of all instances.

A packet that a caller repeats is evidence against its target, an
acknowledgement is evidence for it.  A request that is never answered counts
against the target although its packets were acknowledged.

A cookie is the 32-bit number by which callers' packets name their target;
records are kept by cookie.

This module passes these observations on to four detectors: ``flow_health``
finds targets that answer nobody, ``target_outliers`` targets that fail more
than their peers, ``zone_reach`` zones that are out of reach, and
``path_loss`` packet loss on the way through this instance.  It also collects
the evidence that is sent to the other instances.  An instance that loses
packets itself gives no target up and reports no repeats to the others.

The module uses these terms:

- silent: a target of which several flows repeat, at least one for the second
  time, and none gets an answer.  It stays silent for a fixed time after the
  last such repeat, or until it answers.
- given up: a silent target, while no local fault (startup, or packet loss on
  the way through this instance) is possible.  Packets of its open flows are
  not forwarded, except probes, and these flows are reset.
- avoided: a target that gets no new flow for a while, as several of its flows
  repeat without an answer in between, or as it is an outlier.  Its open flows
  continue.
- away: a zone of which several targets do not answer second repeats, and no
  target answers at all.  It gets no new flow except probes.  Its open flows
  continue, but each of its targets becomes silent after fewer repeats.

All times are in seconds on the clock of this instance, which also advances
while the machine is suspended.  ``now`` is the time at which the present
packet or message is handled.
"""

from itertools import chain, repeat

from msgspec import Struct, field

from cornelgap.decisions.flow_health import FlowHealth
from cornelgap.decisions.path_loss import PathLoss
from cornelgap.decisions.target_outliers import Outcomes, TargetOutliers
from cornelgap.decisions.zone_reach import ZoneReach

TWO_REPORTERS_MIN_INSTANCES = 3
"""Number of instances in a zone from which on at least two of them must see
that a target is silent.  In smaller zones one instance is enough."""

STARTUP_S = 1.5
"""Time after the first packet, or after a stall of the process, in which no
target is given up.  Long flows send about one request a second, so an
instance that has just started has seen no answers yet, and callers still
repeat what was lost while it was down: live targets would look dead."""

LOCAL_INSTANCE = ''
"""Name under which this instance's own flows are recorded as evidence, next
to the names of other instances."""


class Evidence(Struct):
    """Observations from the flows of one instance.

    A flow number is the caller's port.  Together with the cookie and the
    reporting instance it tells flows apart.  Callers with the same port on
    the same target count as one flow there: the evidence against the target
    can only be weaker for it.

    :param repeats: lists [cookie, flow number, whether again] for packets
        that callers repeated on open flows.
    :param copies: the same for repeated openings.
    :param answers: cookies of targets that answer although another instance
        saw repeats, or whose zone is back in reach.
    :param ages: ages of these answers in milliseconds; 0 if left out.
    """

    repeats: list = field(default_factory=list)
    answers: list = field(default_factory=list)
    ages: list = field(default_factory=list)
    copies: list = field(default_factory=list)

    def __bool__(self):
        """Return whether there is anything to report."""
        return bool(self.repeats or self.copies or self.answers)

    def add_answer(self, cookie, age_s=0):
        """Add an answer of a target.

        :param age_s: seconds since the answer was seen.
        """
        self.answers.append(cookie)
        self.ages.append(round(age_s * 1000))

    def list_repeats(self):
        """Return all repeats as tuples (cookie, flow number, again, opening).

        ``again`` is whether the caller had repeated the same packet before,
        ``opening`` whether the packet is an opening.
        """
        openings = ((*row, True) for row in self.copies)
        return [*((*row, False) for row in self.repeats), *openings]

    def list_answers(self, now):
        """Return tuples (cookie, time of the answer on the own clock)."""
        ages = chain(self.ages, repeat(0))
        return [
            (cookie, now - max(0, age) / 1000)
            for cookie, age in zip(self.answers, ages, strict=False)
        ]


class FailureDetector:
    """Detects failed targets, by cookie, and unreachable zones, by name.

    :ivar silent: cookies of the targets found silent by the last
        :meth:`update_silent` without a possible local fault.
    :ivar overloaded: whether this instance limits the openings of any
        service because its targets shed load.  The engine sets it after each
        step of admission control.  Under such load a full target may leave
        packets unanswered, and full links may lose them, so a repeat does not
        count against open flows; see :func:`concerns_openings_only`.
    """

    def __init__(self):
        """Trust all targets and zones."""
        self._health = FlowHealth()
        self._reach = ZoneReach()
        self._outliers = TargetOutliers()
        self._path_loss = PathLoss()
        self._evidence = Evidence()
        self._outcomes = {}
        self._began_at = None
        self.silent = frozenset()
        self.overloaded = False

    def set_instances(self, count, rank):
        """Set the number of instances in the zone, including this one.

        From :data:`TWO_REPORTERS_MIN_INSTANCES` on, two of them must see
        repeats before a target is silent or a zone away; for a target of a
        zone that is away, one is enough.

        :param rank: number of instances that precede this one, without those
            that seem to be down.  The instances take turns in this order to
            probe a zone that is away.
        """
        self._health.min_reporters = (
            2 if count >= TWO_REPORTERS_MIN_INSTANCES else 1
        )
        self._reach.min_reporters = self._health.min_reporters
        self._reach.instances = count
        self._reach.rank = rank

    def keep(self, cookies):
        """Drop the records of all targets but these."""
        self._health.keep(cookies)
        self._outliers.keep(cookies)
        self._path_loss.keep(cookies)

    def forget(self, cookie):
        """Drop what is known of one target, because it has restarted.

        What happened before the restart must not count against it.  Kept are
        repeats in ``path_loss`` and ``zone_reach``, which judge the path and
        the zone, and evidence and outcomes that have not been taken yet.
        """
        self._health.forget(cookie)
        self._outliers.forget(cookie)

    def clear(self):
        """Drop the observations of all detectors, as after a stall.

        The startup time begins again with the next packet.  Kept are the
        settings of :meth:`set_instances`, ``overloaded``, evidence and
        outcomes that have not been taken yet, and ``silent``, so that
        :meth:`update_silent` goes on from its last result.
        """
        self._health.clear()
        self._outliers.clear()
        self._reach.clear()
        self._path_loss.clear()
        self._began_at = None

    def note_packet(self, now):
        """Record a packet; the time of the first one counts as the start."""
        if self._began_at is None:
            self._began_at = now

    def note_request(self, now):
        """Record that a caller sent a request through this instance."""
        self._path_loss.note_request(now)

    def note_repeat(self, cookie, target, packet, again, now, opening=False):
        """Record that a caller repeated a packet forwarded here before.

        While packets are lost on the way through this instance, a repeat is
        no evidence against the target.  A repeat to a zone that is away says
        nothing about that loss.

        :param target: the target of the cookie, None if it is not known.
        :param again: whether the caller had repeated this packet before.
        :param opening: whether the flow is not open yet.
        """
        if target is None or not self._reach.is_away(target.zone):
            self._path_loss.note_repeat(cookie, now, again)
        if self._path_loss.is_lossy(now):
            return
        flow = (LOCAL_INSTANCE, packet.flow)
        if self._evaluate_repeat(cookie, target, flow, again, opening, now):
            evidence = self._evidence
            rows = evidence.copies if opening else evidence.repeats
            rows.append([cookie, packet.source_port, int(again)])

    def note_outcome(self, cookie, kind):
        """Count a request through this instance by how it has ended.

        :param kind: ``prompt`` (served about as fast as usual), ``slow``
            (served, but slower) or ``failed`` (not served, or far slower);
            the fields of
            :class:`~cornelgap.decisions.target_outliers.Outcomes`.
        """
        outcomes = self._outcomes.setdefault(cookie, Outcomes())
        setattr(outcomes, kind, getattr(outcomes, kind) + 1)

    def take_outcomes(self):
        """Return and reset the :class:`Outcomes` by cookie.

        The packet actor takes them at each tick.  They are reported to the
        first hub of the zone, which adds up those of all instances.  The sums
        come back to each instance, and so to :meth:`note_zone_outcomes`.
        """
        found, self._outcomes = self._outcomes, {}
        return found

    def note_zone_outcomes(self, by_service, outcomes, now):
        """Record how requests through all instances of the zone have ended.

        Targets that fail more than their peers are then avoided for a while.
        Outcomes that arrive during startup are ignored.

        :param by_service: targets by service.
        :param outcomes: sums of :class:`Outcomes` by cookie; they include
            those that this instance returned from :meth:`take_outcomes`.
        """
        if self._is_starting(now):
            return
        for cookie, found in outcomes.items():
            self._outliers.note_outcomes(cookie, found, now)
        for targets in by_service.values():
            cookies = [target.cookie for target in targets]
            if not outcomes.keys().isdisjoint(cookies):
                self._outliers.avoid_outliers(cookies, now)

    def note_answer(self, cookie, target, answered_at, opened_at, now):
        """Record an answer of a target.

        :param answered_at: time of the answer, if the caller's packet only
            acknowledges it: that of the packet.  A packet with data may
            acknowledge it late; then it is the time of the answered request,
            the earliest possible one, or 0 if no request was waiting.
        :param opened_at: when the flow of the answer was first seen here.
        """
        away_since = self._record_answer(cookie, target, answered_at)
        self._path_loss.note_answer(cookie, answered_at, now)
        if away_since is not None and opened_at > away_since:
            # The instances take turns to probe, so that a zone that is away
            # gets one probe per interval from all together.  The others have
            # no flow in the zone and would avoid it until their own turn, so
            # the answer is reported to them.  A flow opened before the zone
            # was cut off may still show an answer that was on its way then;
            # reported to all instances, it would hide that the zone is
            # unreachable.
            self._evidence.add_answer(cookie)

    def take_evidence(self):
        """Return and reset the :class:`Evidence` collected here."""
        found, self._evidence = self._evidence, Evidence()
        return found

    def note_evidence(self, by_cookie, instance, evidence, now):
        """Record the observations of another instance.

        :param by_cookie: target by cookie.
        :param instance: name of that instance.
        :param evidence: :class:`Evidence` of that instance.
        :returns: :class:`Evidence` for that instance: answers seen here of
            targets to which packets were repeated there.
        """
        for cookie, answered_at in evidence.list_answers(now):
            target = by_cookie.get(cookie)
            self._record_answer(cookie, target, answered_at, reported=True)
        answering = Evidence()
        for cookie, number, again, opening in evidence.list_repeats():
            age = self._health.find_answer(cookie, now)
            if age is not None:
                answering.add_answer(cookie, age)
                continue
            if self._path_loss.is_lossy(now):
                continue
            flow = (instance, number)
            target = by_cookie.get(cookie)
            self._evaluate_repeat(
                cookie, target, flow, bool(again), opening, now
            )
        return answering

    def choose_avoided_zones(self, now):
        """Return the zones that must get no new flow now.

        From time to time an unreachable zone is left out of the list, so
        that one new flow probes it.
        """
        return [
            zone
            for zone in self._reach.list_away()
            if not self._reach.take_probe(zone, now)
        ]

    def is_away(self, zone):
        """Return whether a zone is unreachable, even if a probe is due."""
        return self._reach.is_away(zone)

    def is_lossy(self, now):
        """Return whether packets are lost on the way through this instance."""
        return self._path_loss.is_lossy(now)

    def list_away(self):
        """Return the names of the unreachable zones, sorted."""
        return self._reach.list_away()

    def is_avoided(self, cookie, now):
        """Return whether a target should get no new flow now.

        This alone does not affect its open flows.
        """
        return self._health.is_avoided(
            cookie, now
        ) or self._outliers.is_avoided(cookie, now)

    def list_outliers(self, now):
        """Return the cookies of targets that fail more than their peers."""
        return self._outliers.list_avoided(now)

    def is_given_up(self, cookie, now):
        """Return whether a packet must not be forwarded to its target.

        From time to time one packet to a silent target is let through as a
        probe: an answer to it shows that the target is back.
        """
        if self._may_be_local_fault(now) or not self._health.is_silent(
            cookie, now
        ):
            return False
        return not self._health.take_probe(cookie, now)

    def update_silent(self, cookies, now):
        """Return the targets that have become silent since the last check.

        While a local fault is possible, during startup or packet loss, none
        is returned and ``silent`` is left as it was.  The next check without
        such a fault compares with it.

        :param cookies: the targets to check.
        """
        if self._may_be_local_fault(now):
            return frozenset()
        silent = frozenset(
            cookie for cookie in cookies if self._health.is_silent(cookie, now)
        )
        newly_silent = silent - self.silent
        self.silent = silent
        return newly_silent

    def _record_answer(self, cookie, target, answered_at, reported=False):
        """Record an answer.

        :param reported: whether another instance has reported it.
        :returns: since when the zone was unreachable if this answer shows
            that it is back, else None.
        """
        self._health.note_answer(cookie, answered_at, reported)
        if target is None:
            return None
        away_since = self._reach.note_answer(target.zone, answered_at)
        if away_since is not None:
            self._path_loss.forget_repeats()
        return away_since

    def _evaluate_repeat(self, cookie, target, flow, again, opening, now):
        """Pass a repeat on to the detectors of silent targets and zones.

        :param flow: tuple (instance that saw the repeat, name of the flow).
        :returns: whether the repeat counts as evidence; it does not just
            after an answer of the target.  Repeats seen here are reported to
            the other instances only if they count.
        """
        away = False
        if target is not None:
            if again:
                self._reach.note_repeat(target.zone, cookie, flow[0], now)
            away = self._is_away_after_startup(target.zone, now)
        openings_only = concerns_openings_only(opening, self.overloaded, away)
        return self._health.note_repeat(
            cookie, flow, now, again, away, openings_only
        )

    def _is_away_after_startup(self, zone, now):
        """Return whether a zone is unreachable and this is no startup effect.

        An instance that has just started sees no answers from zones to which
        it has few flows, but sees callers repeat what was lost while it was
        down.
        """
        return self._reach.is_away(zone) and not self._is_starting(now)

    def _may_be_local_fault(self, now):
        """Return whether this instance itself may cause what is observed."""
        return self._is_starting(now) or self._path_loss.is_lossy(now)

    def _is_starting(self, now):
        return self._began_at is None or now - self._began_at < STARTUP_S


def concerns_openings_only(opening, overloaded, away):
    """Return whether a repeat is no evidence against a target's open flows.

    Such a repeat has no weight in making the target silent.  It still helps
    to make it avoided, so that the target gets no new flow.

    Overload explains a repeat as well as a failure does, but not that a whole
    zone answers nothing.  Repeats to a zone that is away therefore count in
    full, except openings.

    :param opening: whether the repeated packet is an opening.
    :param overloaded: whether targets are known to shed load; see
        :class:`FailureDetector`.
    :param away: whether the target's whole zone is unreachable.
    """
    return opening or (overloaded and not away)
