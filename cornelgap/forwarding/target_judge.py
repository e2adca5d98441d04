"""What flows, here and at other instances, say of targets and zones.

Repeats speak against a target, acknowledgements for it.  The decisions are
``flow_health`` for one target and ``zone_reach`` for all targets of a zone;
here they are fed, and what is seen here is kept for the others to hear.
"""

from cornelgap.decisions.flow_health import FlowHealth
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


class TargetJudge:
    """Judges targets by cookie and zones by name.

    :ivar silent: cookies of the targets that were given up last.
    """

    def __init__(self):
        """Trust everybody."""
        self._health = FlowHealth()
        self._reach = ZoneReach()
        self._evidence = []
        self._returns = []
        self._began_at = None
        self.silent = frozenset()

    def set_instances(self, count, rank):
        """Note how many instances the zone has, this one included.

        :param rank: how many of them precede this one.
        """
        self._health.witnesses = 2 if count >= WITNESSED else 1
        self._reach.witnesses = self._health.witnesses
        self._reach.instances = count
        self._reach.rank = rank

    def keep(self, cookies):
        """Forget all targets but these."""
        self._health.keep(cookies)

    def forget(self, cookie):
        """Forget one target, as it has started anew."""
        self._health.forget(cookie)

    def clear(self):
        """Forget all that was noted, as after a standstill of our own."""
        self._health.clear()
        self._reach.clear()
        self._began_at = None

    def note_packet(self, now):
        """Note that a packet has come; the first one counts as the start."""
        if self._began_at is None:
            self._began_at = now

    def note_repeat(self, cookie, target, packet, again, now):
        """Note that a caller repeated a packet that had passed here.

        :param target: the target of the cookie, None if it is not known.
        :param again: whether it had repeated the same before.
        """
        flow = (OWN, packet.flow)
        if self._judge_repeat(cookie, target, flow, again, now):
            self._evidence.append([cookie, packet.source_port, int(again)])

    def note_answer(self, cookie, target, answered_at):
        """Note since when a target is known to have answered."""
        if self._take_answer(cookie, target, answered_at):
            # One instance probes for all: the others have no flow there, and
            # would stay out of the zone until their own turn.
            self._returns.append(cookie)

    def take_evidence(self):
        """Return what was seen here since the last call.

        :returns: tuple (lists [cookie, flow number, whether again] of
            repeats, cookies of targets whose zones are back).
        """
        found = (self._evidence, self._returns)
        self._evidence = []
        self._returns = []
        return found

    def note_evidence(self, by_cookie, instance, repeats, answers, now):
        """Note what flows through another instance say of targets.

        :param by_cookie: target by cookie.
        :param repeats: lists [cookie, flow number, whether again].
        :param answers: cookies of targets that have answered there.
        :returns: cookies that have repeats there and answers here.
        """
        for cookie in answers:
            self._take_answer(cookie, by_cookie.get(cookie), now)
        alive = []
        for cookie, number, again in repeats:
            if self._health.has_answered(cookie, now):
                alive.append(cookie)
                continue
            flow = (instance, number)
            target = by_cookie.get(cookie)
            self._judge_repeat(cookie, target, flow, bool(again), now)
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

    def list_away(self):
        """Return the names of zones that are away, in order."""
        return self._reach.list_away()

    def is_avoided(self, cookie, now):
        """Say whether a target should get no new flow now."""
        return self._health.is_avoided(cookie, now)

    def is_given_up(self, cookie, now):
        """Say whether a flow's packet must not go to its target.

        One packet now and then may, so that an answer can show that the
        target is back.
        """
        if self._is_young(now) or not self._health.is_silent(cookie, now):
            return False
        return not self._health.take_probe(cookie, now)

    def find_fresh_silent(self, cookies, now):
        """Return those of some targets that have fallen silent just now."""
        if self._is_young(now):
            return frozenset()
        silent = frozenset(
            cookie for cookie in cookies if self._health.is_silent(cookie, now)
        )
        fresh = silent - self.silent
        self.silent = silent
        return fresh

    def _take_answer(self, cookie, target, answered_at):
        """Note an answer; return whether it shows that a zone is back."""
        self._health.note_answer(cookie, answered_at)
        if target is None:
            return False
        return self._reach.note_answer(target.zone, answered_at)

    def _judge_repeat(self, cookie, target, flow, again, now):
        zone = None if target is None else target.zone
        if again and zone is not None:
            self._reach.note_repeat(zone, cookie, flow[0], now)
        return self._health.note_repeat(cookie, flow, now, again)

    def _is_young(self, now):
        return self._began_at is None or now - self._began_at < YOUNG_S
