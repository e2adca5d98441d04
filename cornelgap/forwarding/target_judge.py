"""What flows, here and at other instances, say of targets and zones.

Repeats speak against a target, acknowledgements for it, requests that stay
unanswered against it even so.  The decisions are ``flow_health`` for a
target that answers nobody, ``target_outliers`` for one that fails some,
``zone_reach`` for all targets of a zone and ``path_loss`` for this instance
itself; here they are fed, and what is seen here is kept for the others to
hear.  An instance that loses packets itself gives nobody up and is no
witness for others.
"""

from itertools import chain, repeat

from msgspec import Struct, field

from cornelgap.decisions.flow_health import FlowHealth
from cornelgap.decisions.path_loss import PathLoss
from cornelgap.decisions.target_outliers import Outcomes, TargetOutliers
from cornelgap.decisions.zone_reach import ZoneReach

WITNESSED = 3
"""Instances of a zone from which on two must see a target silent."""

YOUNG_S = 1.5
"""Time after the first packet, or a standstill, in which nobody is given up.
Long flows send about one request a second: an instance that has just started
has seen no answers yet, and repeats of what was lost while it was down would
speak against live targets."""

OWN = ''
"""Stands for this instance among those whose flows speak against a target."""


class Evidence(Struct):
    """What the flows of one instance say of targets.

    :param repeats: lists [cookie, flow number, whether again] of callers
        that repeated on open flows.
    :param copies: the same of callers that repeated an opening.
    :param answers: cookies of targets that answer nevertheless, or whose
        zone is back.
    :param ages: ages of these answers in milliseconds; 0 if left out.
    """

    repeats: list = field(default_factory=list)
    answers: list = field(default_factory=list)
    ages: list = field(default_factory=list)
    copies: list = field(default_factory=list)

    def __bool__(self):
        """Say whether there is anything to tell."""
        return bool(self.repeats or self.copies or self.answers)

    def add_answer(self, cookie, age_s=0):
        """Add an answer.

        :param age_s: seconds since it was seen.
        """
        self.answers.append(cookie)
        self.ages.append(round(age_s * 1000))

    def list_repeats(self):
        """Return tuples (cookie, flow number, again, opening)."""
        openings = ((*row, True) for row in self.copies)
        return [*((*row, False) for row in self.repeats), *openings]

    def list_answers(self, now):
        """Return tuples (cookie, time of the answer)."""
        ages = chain(self.ages, repeat(0))
        return [
            (cookie, now - max(0, age) / 1000)
            for cookie, age in zip(self.answers, ages, strict=False)
        ]


class TargetJudge:
    """Judges targets by cookie and zones by name.

    :ivar silent: cookies of the targets that were given up last.
    :ivar overloaded: whether targets are known to shed; full ones are silent,
        and links beside them lose packets.
    """

    def __init__(self):
        """Trust everybody."""
        self._health = FlowHealth()
        self._reach = ZoneReach()
        self._outliers = TargetOutliers()
        self._path = PathLoss()
        self._evidence = Evidence()
        self._outcomes = {}
        self._began_at = None
        self.silent = frozenset()
        self.overloaded = False

    def set_instances(self, count, rank):
        """Note how many instances the zone has, this one included.

        :param rank: how many of them precede this one.
        """
        self._health.min_reporters = 2 if count >= WITNESSED else 1
        self._reach.min_reporters = self._health.min_reporters
        self._reach.instances = count
        self._reach.rank = rank

    def keep(self, cookies):
        """Forget all targets but these."""
        self._health.keep(cookies)
        self._outliers.keep(cookies)
        self._path.keep(cookies)

    def forget(self, cookie):
        """Forget one target, as it has started anew."""
        self._health.forget(cookie)
        self._outliers.forget(cookie)

    def clear(self):
        """Forget all that was noted, as after a standstill of our own."""
        self._health.clear()
        self._outliers.clear()
        self._reach.clear()
        self._path.clear()
        self._began_at = None

    def note_packet(self, now):
        """Note that a packet has come; the first one counts as the start."""
        if self._began_at is None:
            self._began_at = now

    def note_request(self, now):
        """Note that a caller sent a request through here."""
        self._path.note_request(now)

    def note_repeat(self, cookie, target, packet, again, now, opening=False):
        """Note that a caller repeated a packet that had passed here.

        :param target: the target of the cookie, None if it is not known.
        :param again: whether it had repeated the same before.
        :param opening: whether the flow is not open yet.
        """
        if target is None or not self._reach.is_away(target.zone):
            self._path.note_repeat(cookie, now, again)
        if self._path.is_lossy(now):
            return
        flow = (OWN, packet.flow)
        if self._judge_repeat(cookie, target, flow, again, opening, now):
            kept = self._evidence
            rows = kept.copies if opening else kept.repeats
            rows.append([cookie, packet.source_port, int(again)])

    def note_outcome(self, cookie, kind):
        """Note how a request through here has ended.

        :param kind: name of a field of
            :class:`~cornelgap.decisions.target_outliers.Outcomes`.
        """
        outcomes = self._outcomes.setdefault(cookie, Outcomes())
        setattr(outcomes, kind, getattr(outcomes, kind) + 1)

    def take_outcomes(self):
        """Return :class:`Outcomes` by cookie since the last call."""
        found, self._outcomes = self._outcomes, {}
        return found

    def note_zone_outcomes(self, by_service, outcomes, now):
        """Note how requests through all instances of the zone have ended.

        :param by_service: targets by service.
        :param outcomes: :class:`Outcomes` by cookie.
        """
        if self._is_young(now):
            return
        for cookie, found in outcomes.items():
            self._outliers.note_outcomes(cookie, found, now)
        for targets in by_service.values():
            cookies = [target.cookie for target in targets]
            if not outcomes.keys().isdisjoint(cookies):
                self._outliers.avoid_outliers(cookies, now)

    def note_answer(self, cookie, target, answered_at, opened_at, now):
        """Note since when a target is known to have answered.

        :param opened_at: when the flow of the answer was first seen here.
        """
        away_since = self._take_answer(cookie, target, answered_at)
        self._path.note_answer(cookie, answered_at, now)
        if away_since is not None and opened_at > away_since:
            # One instance probes for all: the others have no flow there, and
            # would stay out of the zone until their own turn.  A flow that
            # was open before may show an answer that was on its way when the
            # zone was cut off; told to all, it would hide the cut.
            self._evidence.add_answer(cookie)

    def take_evidence(self):
        """Return the :class:`Evidence` that was seen since the last call."""
        found, self._evidence = self._evidence, Evidence()
        return found

    def note_evidence(self, by_cookie, instance, evidence, now):
        """Note what flows through another instance say of targets.

        :param by_cookie: target by cookie.
        :param evidence: :class:`Evidence` of that instance.
        :returns: :class:`Evidence` of targets that have repeats there and
            answers here.
        """
        for cookie, answered_at in evidence.list_answers(now):
            target = by_cookie.get(cookie)
            self._take_answer(cookie, target, answered_at, reported=True)
        alive = Evidence()
        for cookie, number, again, opening in evidence.list_repeats():
            age = self._health.find_answer(cookie, now)
            if age is not None:
                alive.add_answer(cookie, age)
                continue
            if self._path.is_lossy(now):
                continue
            flow = (instance, number)
            target = by_cookie.get(cookie)
            self._judge_repeat(cookie, target, flow, bool(again), opening, now)
        return alive

    def choose_avoided_zones(self, now):
        """Return the zones that get no new flow now.

        One that is away is left out of these now and then, as a probe.
        """
        return [
            zone
            for zone in self._reach.list_away()
            if not self._reach.take_probe(zone, now)
        ]

    def is_away(self, zone):
        """Say whether a zone is away, be it due for a probe or not."""
        return self._reach.is_away(zone)

    def is_lossy(self, now):
        """Say whether packets are lost on the way through this instance."""
        return self._path.is_lossy(now)

    def list_away(self):
        """Return the names of zones that are away, in order."""
        return self._reach.list_away()

    def is_avoided(self, cookie, now):
        """Say whether a target should get no new flow now."""
        return self._health.is_avoided(
            cookie, now
        ) or self._outliers.is_avoided(cookie, now)

    def list_outliers(self, now):
        """Return the cookies of targets that fail more than their peers."""
        return self._outliers.list_avoided(now)

    def is_given_up(self, cookie, now):
        """Say whether a flow's packet must not go to its target.

        One packet now and then may, so that an answer can show that the
        target is back.
        """
        if self._is_doubtful(now) or not self._health.is_silent(cookie, now):
            return False
        return not self._health.take_probe(cookie, now)

    def find_fresh_silent(self, cookies, now):
        """Return those of some targets that have fallen silent just now."""
        if self._is_doubtful(now):
            return frozenset()
        silent = frozenset(
            cookie for cookie in cookies if self._health.is_silent(cookie, now)
        )
        fresh = silent - self.silent
        self.silent = silent
        return fresh

    def _take_answer(self, cookie, target, answered_at, reported=False):
        """Note an answer; return since when its zone was away, if it was."""
        self._health.note_answer(cookie, answered_at, reported)
        if target is None:
            return None
        away_since = self._reach.note_answer(target.zone, answered_at)
        if away_since is not None:
            self._path.forget_repeats()
        return away_since

    def _judge_repeat(self, cookie, target, flow, again, opening, now):
        away = False
        if target is not None:
            if again:
                self._reach.note_repeat(target.zone, cookie, flow[0], now)
            away = self._is_surely_away(target.zone, now)
        weak = is_weak(opening, self.overloaded, away)
        return self._health.note_repeat(cookie, flow, now, again, away, weak)

    def _is_surely_away(self, zone, now):
        """Say whether a zone is away by more than the repeats of a start.

        An instance that has just started sees no answer from zones to which
        few of its flows lead, and repeats of what was lost while it was down.
        """
        return self._reach.is_away(zone) and not self._is_young(now)

    def _is_doubtful(self, now):
        """Say whether what is seen here may be a fault on our own side."""
        return self._is_young(now) or self._path.is_lossy(now)

    def _is_young(self, now):
        return self._began_at is None or now - self._began_at < YOUNG_S


def is_weak(opening, overloaded, away):
    """Say whether a repeat says nothing of its target's open flows.

    :param opening: whether it asks for a flow that is not open yet.
    :param overloaded: whether targets are known to shed.
    :param away: whether the target's whole zone is out of reach.
    """
    return opening or (overloaded and not away)
