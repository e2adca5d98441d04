"""What to do with a packet: forward, reset or drop; no socket, no clock.

A packet of an open flow carries the cookie of its target, so every
instance routes it alike without having seen the flow.  Only a SYN needs a
choice.  Where this instance cannot know the right answer it stays silent:
callers repeat, and the next instance, or this one a moment later, knows.
"""

from itertools import chain

from cornelgap.decisions.averages import Average
from cornelgap.decisions.cold_starts import ColdStarts
from cornelgap.decisions.flow_health import select_pool
from cornelgap.decisions.target_choice import Candidate, choose_target
from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding.admission_control import AdmissionControl
from cornelgap.forwarding.directory_view import (
    View,
    Warmup,
)
from cornelgap.forwarding.flow_evidence import FlowEvidence
from cornelgap.forwarding.flows import FlowTable
from cornelgap.forwarding.lifetimes import is_gone, list_reborn
from cornelgap.forwarding.openings import Openings
from cornelgap.forwarding.packet_checks import (
    choose_cookie,
    is_early_copy,
    is_from_target,
    order_services,
    was_passed_on,
)
from cornelgap.forwarding.packets import Drop, Forward, Reason, Reset
from cornelgap.forwarding.target_judge import TargetJudge

FRESH_S = 3.0
"""Age of the directory up to which an unknown route is taken to be none.
Operators are promised a change in force within three seconds."""

ALIVE_S = 0.5
"""A target that answered within this time is not reset away from, even if
its registration is gone: it may be cut off from the store alone."""

NEWS_S = 0.75
"""Age of what is known of other instances' flows before the first report."""

NEWS_PAUSES = 1.5
"""The same in pauses between two reports: a flow waits half a pause for its
instance's report and half a pause for the hub's, twice that at most."""

MOVING_COPY = 2
"""Copy of a SYN that opens on another target.  Where two targets answer, the
caller may carry the cookie of the one that it did not choose; an instance
that has not seen the opening then sends its data there, and the flow is
reset.  An answer that is 0.2 s late is common on links that are full; one
that is 0.6 s late is not."""

OPEN_SHARE = 0.3
"""Weight of the last second in the rate of new flows."""

DISTRUST_S = 1.0
"""Longest time without new flows after a standstill.  A store or peer that
is in reach confirms within milliseconds; an instance that is cut off has to
serve its zone on what it knows."""


_NO_WARMUP = Warmup()


class Engine:
    """Routes packets by a :class:`~cornelgap.forwarding.directory_view.View`.

    :param zone: this instance's availability zone.
    :param rng: generator for choices among equals.
    :param cold_starts:
        :class:`~cornelgap.decisions.cold_starts.ColdStarts`.
    """

    def __init__(self, zone, rng, cold_starts=None):
        """Start without routes and targets: every packet is dropped."""
        self._cold_starts = cold_starts or ColdStarts('')
        self._zone = zone
        self._rng = rng
        self.view = View()
        self.fresh_until = float('-inf')
        self._distrusted_at = float('-inf')
        self.flows = FlowTable()
        self._others = {}
        self._instances = 1
        self._news_s = NEWS_S
        self._opens = Average(OPEN_SHARE)
        self._opens_second = 0
        self._opens_count = 0
        self._just_gone = set()
        self.judge = TargetJudge()
        self.openings = Openings(zone, self.judge)
        self.admission = AdmissionControl(rng)
        self._evidence = FlowEvidence(self.flows, self.judge, self._note_size)

    def adopt_view(self, view):
        """Use another picture of the directory from the next packet on."""
        for cookie in list_reborn(self.view, view):
            self.judge.forget(cookie)
            self.flows.end_target(cookie)
            self._others.pop(cookie, None)
        if view.routes is not self.view.routes:
            self.admission.adopt_routes(view.routes)
        self._just_gone |= view.gone.keys() - self.view.gone.keys()
        self.view = view
        self.judge.keep(view.by_cookie.keys())
        self._cold_starts.keep(view.by_cookie.keys())
        self._evidence.keep_routes(view.routes.keys())
        self.flows.keep_loads(view.by_cookie.keys())

    def note_fresh(self, as_of):
        """Note when the directory was last known to be the newest."""
        self.fresh_until = max(self.fresh_until, as_of + FRESH_S)
        if as_of >= self._distrusted_at:
            self._distrusted_at = float('-inf')

    def reset_lost(self, now):
        """Return tuples (flow key, its :class:`Reset`) that are due now.

        The flows of a target that has just fallen silent or ended are lost.
        Callers that wait would learn it with their next repeat, after up to
        0.8 s; those that do not would send their next request to nobody,
        and one that must not run twice is lost for them with that.
        """
        silent = self.judge.find_fresh_silent(self.flows.loads, now)
        gone, self._just_gone = self._just_gone, set()
        lost = {cookie: Reason.TARGET_SILENT for cookie in silent}
        lost.update(
            (cookie, Reason.TARGET_GONE)
            for cookie in gone
            if not self._is_answering(cookie, now)
        )
        if not lost:
            return []
        return [
            (key, Reset(acked, lost[cookie]))
            for key, cookie, acked in self.flows.list_held(lost)
        ]

    def name_silent(self):
        """Return the names of targets that were given up last, in order."""
        return self._name_targets(self.judge.silent)

    def name_outliers(self, now):
        """Return the names of targets that fail more than their peers."""
        return self._name_targets(self.judge.list_outliers(now))

    def read_age(self, now):
        """Return the age of the directory in seconds, for logs."""
        return round(now - self.fresh_until + FRESH_S, 3)

    def note_others(self, loads, instances, pause_s, rank=0):
        """Note the flows on targets that other instances see.

        :param loads: flows by cookie.
        :param instances: instances of this zone, this one included.
        :param pause_s: seconds between two reports.
        :param rank: how many of these instances precede this one.
        """
        self._others = loads
        self._instances = instances
        self._news_s = pause_s * NEWS_PAUSES
        self.judge.set_instances(instances, rank)

    def set_cold_limit(self, limit):
        """Bound what cold targets get otherwise from now on."""
        self._cold_starts.set_limit(limit)

    def note_members(self, names):
        """Note the names of this zone's instances; empty if not known."""
        self._cold_starts.set_members(names)

    def note_evidence(self, instance, evidence, now):
        """Note what flows through another instance say of targets.

        :param evidence: :class:`~cornelgap.forwarding.target_judge.Evidence`.
        :returns: the same of targets that have repeats there and answers
            here.
        """
        return self.judge.note_evidence(
            self.view.by_cookie, instance, evidence, now
        )

    def note_zone_outcomes(self, outcomes, now):
        """Note how requests through all instances of the zone have ended.

        :param outcomes: by cookie,
            :class:`~cornelgap.decisions.target_outliers.Outcomes`.
        """
        self.judge.note_zone_outcomes(self.view.by_service, outcomes, now)

    def note_overdue(self, now):
        """Note the requests that have waited too long as failures."""
        self._evidence.note_overdue(now)

    def distrust(self, now):
        """Place no flow until the directory is confirmed after this time.

        A process that stood still wakes with old beliefs: a target may have
        begun to drain, a route may be dropped.  Open flows go on.
        """
        self._distrusted_at = now
        self.judge.clear()
        self.admission.clear()
        self._evidence.clear()

    def handle(self, packet, now, late=False):
        """Decide on one packet.

        :param late: whether the packet may have lain in the socket for long.
        :returns: :class:`Forward`, :class:`Reset` or :class:`Drop`.
        """
        self.judge.note_packet(now)
        if not packet.flags & pkt.SYN:
            return self._carry_on(packet, now)
        if is_from_target(packet):
            return Drop(Reason.FROM_TARGET)
        if late or self._is_distrusted(now):
            return Drop(Reason.STALE_OPEN)
        if not self.view.routes_known:
            return Drop(Reason.ROUTES_UNKNOWN)
        return self._open_flow(packet, now)

    @property
    def answers(self):
        """Return counts of the times that answers took."""
        return self._evidence.answers

    def make_opening_report(self, now):
        """Return the present report on openings, for the own zone."""
        return self.openings.make_opening_report(
            self.view, self.flows.loads, now
        )

    def step_admission(self, now):
        """Change what is admitted by what was seen.

        :returns: what is to be told of services, :class:`dict` of fields.
        """
        told = self.admission.step(now)
        self.judge.overloaded = self.admission.limited
        return told

    def expire(self, now):
        """Forget flows that were not seen lately."""
        self.flows.expire(now)

    def _note_size(self, key, flow, size):
        target = self.view.by_cookie.get(flow.cookie)
        if target is not None:
            self.admission.note_answer(
                target, key[2:], size, flow.waited_s, flow.answered_at
            )

    def _is_answering(self, cookie, now):
        return now - self.flows.get_load(cookie).answered_at < ALIVE_S

    def _name_targets(self, cookies):
        found = map(self.view.by_cookie.get, cookies)
        return sorted(target.name for target in found if target is not None)

    def _is_distrusted(self, now):
        return now - self._distrusted_at < DISTRUST_S

    def _open_flow(self, packet, now):
        route = self.view.routes.get(
            (packet.destination, packet.destination_port)
        )
        if route is None:
            if now > self.fresh_until:
                return Drop(Reason.NOT_FRESH)
            return Reset(packet.ack, Reason.NO_ROUTE)
        known = self.flows.find(packet.flow)
        if not was_passed_on(known):
            name = order_services(route, packet)[0]
            refusal = self.admission.judge_opening(name, route, packet, now)
            if refusal is not None:
                return refusal
        early = is_early_copy(packet, known, now)
        tried = () if early else self._note_copy(packet, known, now)
        if early or (tried and packet.ack < MOVING_COPY):
            target = self.view.by_cookie.get(known.cookie)
            if self._may_open_on(target, early, now):
                return self._open_on(target, Reason.PLACED, now)
        target = self._place(route, packet, tried, now)
        if target is None:
            return self._refuse_opening(route, packet, now)
        if not packet.ack:
            self.openings.note_placed(self.view, route, target, now)
        self.flows.note_open(packet.flow, target.cookie, now)
        reason = Reason.MOVED_ON if tried else Reason.PLACED
        return self._open_on(target, reason, now)

    def _open_on(self, target, reason, now):
        if self.view.is_cold(target, now):
            self._cold_starts.note_open(target.cookie, now)
        return Forward(target, reason)

    def _refuse_opening(self, route, packet, now):
        """Answer an opening for which there is no target.

        Cold targets have room again within a second, and the caller repeats
        its SYN in that time.  That a zone is drained is known however old
        the news is.
        """
        services = [service for service, _ in route.shares]
        listed = (self.view.by_service.get(name, ()) for name in services)
        if any(self.view.is_cold(item, now) for item in chain(*listed)):
            return Drop(Reason.COLD_TARGETS)
        drained = self.view.drained_services.intersection(services)
        if now > self.fresh_until and not drained:
            return Drop(Reason.NOT_FRESH)
        if self.openings.note_refused(self.view, route, now):
            return Drop(Reason.WITHDRAWN)
        return Reset(packet.ack, Reason.NO_TARGET)

    def _may_open_on(self, target, early, now):
        """Say whether a copy may go to the target that got the first SYN.

        A probe of a zone that is away moves on with its first copy; its
        caller would otherwise wait 0.6 s instead of 0.2 s.

        :param target: None if it is not in the directory.
        :param early: whether the target has had no time to answer.
        """
        if target is None or not self.view.takes_flows(target):
            return False
        if not self._has_room(target, now):
            return False
        if early:
            return True
        if self.judge.is_away(target.zone):
            return False
        return not self.judge.is_avoided(target.cookie, now)

    def _has_room(self, target, now):
        """Say whether a target is warm, or may get one more flow if cold."""
        if not self.view.is_cold(target, now):
            return True
        warmup = self.view.warmups.get(target.service, _NO_WARMUP)
        if target.zone == self._zone:
            return self._cold_starts.may_open(target.cookie, warmup.per_s, now)
        return not self._cold_starts.limited

    def _note_copy(self, packet, known, now):
        """Return the cookies of targets that did not answer this SYN."""
        if known is None or known.pinned or not packet.ack:
            return ()
        target = self.view.by_cookie.get(known.cookie)
        self._evidence.note_copy(packet, known, target, packet.ack > 1, now)
        return (*known.tried, known.cookie)

    def _place(self, route, packet, tried, now):
        first, *others = order_services(route, packet)
        avoided = self.judge.choose_avoided_zones(now)
        chosen = self._list_targets(first, now)
        listed = chain(
            (chosen,), (self._list_targets(name, now) for name in others)
        )
        pools = (
            self._select_trusted(targets, avoided, now) for targets in listed
        )
        targets = select_pool(pools, self._list_last(first, chosen, avoided))
        # A target that did not answer two copies is full or unreachable; the
        # next one opens elsewhere while its caller still waits.
        untried = [item for item in targets if item.cookie not in tried]
        candidates = [
            self._weigh(target, now) for target in (untried or targets)
        ]
        return choose_target(candidates, self._estimate_poured(now), self._rng)

    def _list_last(self, service, targets, avoided):
        """Return the targets to take where none is trusted.

        Where an operator has drained the zones in reach, what is left lies
        beyond a cut.  The caller is better told at once than left waiting.
        """
        if service not in self.view.drained_services:
            return targets
        return [target for target in targets if target.zone not in avoided]

    def _list_targets(self, service, now):
        targets = self.view.by_service.get(service)
        if not targets:
            targets = self.view.fallback.get(service, ())
        return [
            target
            for target in targets
            if self.view.by_cookie.get(target.cookie) is not None
            and self._has_room(target, now)
        ]

    def _select_trusted(self, targets, avoided, now):
        return [
            target
            for target in targets
            if target.zone not in avoided
            and not self.judge.is_avoided(target.cookie, now)
        ]

    def _estimate_poured(self, now):
        """Return the flows that the zone opens before others' next news.

        Own flows are known at once; other instances open as many as this
        one, since routers spread flows evenly over a zone.
        """
        second = int(now)
        if second != self._opens_second:
            self._opens.add(self._opens_count)
            self._opens_second = second
            self._opens_count = 0
        self._opens_count += 1
        rate = self._opens.read(0)
        return 1 + rate * (self._instances - 1) * self._news_s

    def _weigh(self, target, now):
        load = self.flows.get_load(target.cookie)
        return Candidate(
            target,
            load.flows + self._others.get(target.cookie, 0),
            load.waiting,
            same_zone=target.zone == self._zone,
            cold=self.view.is_cold(target, now),
        )

    def _carry_on(self, packet, now):
        known = self.flows.find(packet.flow)
        cookie = choose_cookie(packet, known)
        if not cookie:
            return Drop(Reason.NO_COOKIE)
        place = (packet.destination, packet.destination_port)
        if place in self.view.dropped:
            return Reset(packet.ack, Reason.ROUTE_DROPPED)
        target = self.view.by_cookie.get(cookie)
        if target is None:
            return self._refuse(packet, cookie, now)
        self._evidence.note_packet(packet, cookie, target, now)
        if self.judge.is_given_up(cookie, now):
            # Waiting would cost the caller its whole deadline; after a
            # reset it opens a flow on a target that answers.
            return Reset(packet.ack, Reason.TARGET_SILENT)
        return Forward(target, Reason.KNOWN)

    def _refuse(self, packet, cookie, now):
        if cookie in self.view.by_cookie:
            return Drop(Reason.AMBIGUOUS_COOKIE)
        if not is_gone(self.view, cookie):
            return Drop(Reason.UNKNOWN_TARGET)
        if packet.flags & pkt.RST:
            return Drop(Reason.TARGET_GONE)
        target = self.view.gone.get(cookie)
        if target is not None and self._is_answering(cookie, now):
            # It answers, so only its registration is lost: a target that is
            # cut off from the store alone still serves its flows.
            self._evidence.note_packet(packet, cookie, None, now)
            return Forward(target, Reason.KNOWN)
        return Reset(packet.ack, Reason.TARGET_GONE)
