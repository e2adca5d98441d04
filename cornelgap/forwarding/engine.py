"""Decides whether a packet is forwarded, reset or dropped.

The engine has no socket and no clock.  A packet of an open flow carries the
cookie of its target, so every instance routes it the same way, even if it
has not seen the flow before.  Only a SYN needs a choice of a target.  Where
this instance cannot know the right decision it drops the packet: the caller
repeats it, and by then this instance, or another one that gets it, may know.
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
from cornelgap.forwarding.failure_detector import FailureDetector
from cornelgap.forwarding.flow_evidence import FlowEvidence
from cornelgap.forwarding.flow_lookup import FlowLookup
from cornelgap.forwarding.flows import FlowTable
from cornelgap.forwarding.handshake_cookies import make_handshake_cookie
from cornelgap.forwarding.lifetimes import is_gone, list_restarted
from cornelgap.forwarding.openings import OpeningTracker
from cornelgap.forwarding.packet_checks import (
    is_early_copy,
    is_established,
    is_from_target,
    is_late_copy,
    may_have_overtaken,
    order_services,
    was_forwarded,
)
from cornelgap.forwarding.packets import Drop, Forward, Reason, Reset

MAX_DIRECTORY_AGE_S = 3.0
"""Greatest age of the directory at which a route or target that it lacks is
taken not to exist.  Operators are promised that a change is in force within
three seconds."""

RECENT_ANSWER_S = 0.5
"""Flows of a target that answered within this time are not reset, even if its
registration has lapsed: the target may be cut off from the store only."""

INITIAL_REPORT_AGE_S = 0.75
"""Assumed age of the other instances' flow counts before the first report."""

REPORT_AGE_INTERVALS = 1.5
"""The same age as a multiple of the report interval: a flow waits half an
interval for its instance's report and half an interval for the report of the
zone's hub, and twice that at most."""

FIRST_MOVED_COPY = 2
"""Number of the copy from which on a SYN is forwarded to another target.  If
two targets answer, the caller may send the cookie of the one whose answer it
did not accept; an instance that has not seen the SYN then forwards the data
to that target, and the flow is reset.  An answer that is 0.2 s late, which
causes the first copy, is common on congested links; one that is 0.6 s late,
which causes the second, is not."""

OPEN_RATE_WEIGHT = 0.3
"""Weight of the last second in the moving average of new flows a second."""

MAX_DISTRUST_S = 1.0
"""Longest time without new flows after a stall of the process.  A reachable
store or peer confirms the directory within milliseconds; an instance that is
cut off has to serve its zone with what it knows."""


_NO_WARMUP = Warmup()


class Engine:
    """Routes packets by a :class:`~cornelgap.forwarding.directory_view.View`.

    :param zone: this instance's availability zone.
    :param rng: generator for choices among equals.
    :param cold_starts:
        :class:`~cornelgap.decisions.cold_starts.ColdStarts`.
    :ivar plain_cookies: whether SYNs carry the cookies of their targets
        unchanged, for instances of an earlier version.
    """

    def __init__(self, zone, rng, cold_starts=None):
        """Start without routes and targets, so that no flow is forwarded."""
        self._cold_starts = cold_starts or ColdStarts('')
        self._zone = zone
        self._rng = rng
        self.view = View()
        self.fresh_until = float('-inf')
        self._distrusted_at = float('-inf')
        self.flows = FlowTable()
        self.lookup = FlowLookup(self.flows)
        self.plain_cookies = False
        self._remote_flows = {}
        self._instances = 1
        self._report_age_s = INITIAL_REPORT_AGE_S
        self._open_rate = Average(OPEN_RATE_WEIGHT)
        self._current_second = 0
        self._opens_this_second = 0
        self._newly_gone = set()
        self.failure_detector = FailureDetector()
        self.openings = OpeningTracker(zone, self.failure_detector)
        self.admission = AdmissionControl(rng)
        self._evidence = FlowEvidence(
            self.flows, self.failure_detector, self._record_answer_size
        )

    def adopt_view(self, view):
        """Use a newer view of the directory from the next packet on."""
        for cookie in list_restarted(self.view, view):
            self.failure_detector.forget(cookie)
            self.flows.close_flows(cookie)
            self._remote_flows.pop(cookie, None)
        if view.routes is not self.view.routes:
            self.admission.adopt_routes(view.routes)
        self._newly_gone |= (
            view.gone_by_cookie.keys() - self.view.gone_by_cookie.keys()
        )
        self.view = view
        self.failure_detector.keep(view.by_cookie.keys())
        self._cold_starts.keep(view.by_cookie.keys())
        self._evidence.keep_routes(view.routes.keys())
        self.flows.keep_loads(view.by_cookie.keys())

    def note_directory_fresh(self, as_of):
        """Record a time at which the directory was known to be current."""
        self.fresh_until = max(self.fresh_until, as_of + MAX_DIRECTORY_AGE_S)
        if as_of >= self._distrusted_at:
            self._distrusted_at = float('-inf')

    def take_lost_flows(self, now):
        """Return tuples (flow key, :class:`Reset`) of flows just lost.

        The flows of a target that has just stopped answering or ended are
        lost.  A caller that waits for an answer would learn of it with its
        next repeat, after up to 0.8 s.  An idle caller would send its next
        request to a dead target; a request that must not run twice would
        then be lost, since it cannot be sent again.
        """
        silent = self.failure_detector.update_silent(self.flows.loads, now)
        gone, self._newly_gone = self._newly_gone, set()
        lost = {cookie: Reason.TARGET_SILENT for cookie in silent}
        lost.update(
            (cookie, Reason.TARGET_GONE)
            for cookie in gone
            if not self._is_answering(cookie, now)
        )
        if not lost:
            return []
        return [
            (key, Reset(last_ack, lost[cookie]))
            for key, cookie, last_ack in self.flows.list_open_flows(lost)
        ]

    def list_silent_names(self):
        """Return the names of the targets found silent last, sorted."""
        return self._list_names(self.failure_detector.silent)

    def list_outlier_names(self, now):
        """Return the names of targets that fail more than their peers do."""
        return self._list_names(self.failure_detector.list_outliers(now))

    def compute_directory_age(self, now):
        """Return the age of the directory in seconds, rounded for logs."""
        return round(now - self.fresh_until + MAX_DIRECTORY_AGE_S, 3)

    def note_other_instances(self, loads, instances, report_interval_s, rank=0):
        """Adopt what the other instances of the zone have reported.

        :param loads: number of their flows by cookie.
        :param instances: number of instances of the zone, this one included.
        :param report_interval_s: seconds between two reports.
        :param rank: how many of these instances precede this one.
        """
        self._remote_flows = loads
        self._instances = instances
        self._report_age_s = report_interval_s * REPORT_AGE_INTERVALS
        self.lookup.rank = rank
        self.failure_detector.set_instances(instances, rank)

    def set_cold_limit(self, limit):
        """Replace the limit on new flows to cold targets.

        :param limit: :class:`~cornelgap.decisions.cold_starts.ColdLimit`, or
            None.
        """
        self._cold_starts.set_limit(limit)

    def note_members(self, names):
        """Set the names of this zone's instances; empty if not known."""
        self._cold_starts.set_members(names)

    def note_evidence(self, instance, evidence, now):
        """Record another instance's evidence on whether targets answer.

        :param evidence:
            :class:`~cornelgap.forwarding.failure_detector.Evidence`.
        :returns: :class:`~cornelgap.forwarding.failure_detector.Evidence` for
            that instance, of targets that have repeats there but answer
            here.
        """
        return self.failure_detector.note_evidence(
            self.view.by_cookie, instance, evidence, now
        )

    def note_zone_outcomes(self, outcomes, now):
        """Record how requests through all instances of the zone ended.

        :param outcomes: by cookie,
            :class:`~cornelgap.decisions.target_outliers.Outcomes`.
        """
        self.failure_detector.note_zone_outcomes(
            self.view.by_service, outcomes, now
        )

    def note_overdue(self, now):
        """Record requests that have waited too long as failed."""
        self._evidence.note_overdue(now)

    def distrust_directory(self, now):
        """Place no new flow until the directory is confirmed anew.

        After a stall of the process its directory may be outdated: a target
        may be draining, a route may have been removed.  Packets of open
        flows are still forwarded.

        :param now: only a confirmation as of this time or later counts.
        """
        self._distrusted_at = now
        self.failure_detector.clear()
        self.admission.clear()
        self._evidence.clear()

    def handle(self, packet, now, late=False):
        """Decide what to do with one packet.

        :param late: whether the packet may have waited in the socket for
            long.
        :returns: :class:`Forward`, :class:`Reset` or :class:`Drop`.
        """
        self.failure_detector.note_packet(now)
        if not packet.flags & pkt.SYN:
            return self._handle_open_flow(packet, now)
        if is_from_target(packet):
            return Drop(Reason.FROM_TARGET)
        if late or self._is_distrusted(now):
            return Drop(Reason.STALE_OPEN)
        if not self.view.routes_known:
            return Drop(Reason.ROUTES_UNKNOWN)
        return self._open_flow(packet, now)

    @property
    def answers(self):
        """Return the histogram of answer times."""
        return self._evidence.answers

    def make_opening_report(self, now):
        """Return the present report on openings, for the own zone."""
        return self.openings.make_opening_report(
            self.view, self.flows.loads, now
        )

    def step_admission(self, now):
        """Adapt the admitted shares to the answers seen since the last step.

        :returns: list of changes to log, a :class:`dict` of fields each.
        """
        changes = self.admission.step(now)
        self.failure_detector.overloaded = self.admission.limited
        return changes

    def expire(self, now):
        """Forget flows without recent packets."""
        self.flows.expire(now)
        self.lookup.owners.expire(now)

    def _record_answer_size(self, key, flow, size):
        target = self.view.by_cookie.get(flow.cookie)
        if target is not None:
            self.admission.note_answer(
                target, key[2:], size, flow.waited_s, flow.answered_at
            )

    def _is_answering(self, cookie, now):
        return now - self.flows.get_load(cookie).answered_at < RECENT_ANSWER_S

    def _list_names(self, cookies):
        found = map(self.view.by_cookie.get, cookies)
        return sorted(target.name for target in found if target is not None)

    def _is_distrusted(self, now):
        return now - self._distrusted_at < MAX_DISTRUST_S

    def _open_flow(self, packet, now):
        route = self.view.routes.get(
            (packet.destination, packet.destination_port)
        )
        if route is None:
            if now > self.fresh_until:
                return Drop(Reason.NOT_FRESH)
            return Reset(packet.ack, Reason.NO_ROUTE)
        known = self.flows.find(packet.flow)
        opened = self.lookup.find_open(packet.flow, known, now)
        if is_late_copy(packet, opened):
            return Drop(Reason.ALREADY_OPEN)
        if is_established(known):
            self.flows.forget(packet.flow)
            known = None
        if not was_forwarded(known):
            name = order_services(route, packet)[0]
            refusal = self.admission.check_admission(name, route, packet, now)
            if refusal is not None:
                return refusal
        return self._place_flow(route, packet, known, now)

    def _place_flow(self, route, packet, known, now):
        early = is_early_copy(packet, known, now)
        tried = () if early else self._record_copy(packet, known, now)
        if early or (tried and packet.ack < FIRST_MOVED_COPY):
            target = self.view.by_cookie.get(known.cookie)
            if self._may_repeat_on(target, early, now):
                return self._forward_opening(packet, target, Reason.PLACED, now)
        target = self._choose_target(route, packet, tried, now)
        if target is None:
            return self._refuse_opening(route, packet, now)
        if not packet.ack:
            self.openings.note_placed(self.view, route, target, now)
        self.flows.note_open(packet, target.cookie, now)
        reason = Reason.MOVED_ON if tried else Reason.PLACED
        return self._forward_opening(packet, target, reason, now)

    def _forward_opening(self, packet, target, reason, now):
        if self.view.is_cold(target, now):
            self._cold_starts.note_open(target.cookie, now)
        return Forward(target, reason, self._choose_syn_cookie(packet, target))

    def _choose_syn_cookie(self, packet, target):
        """Return the cookie that a SYN carries to a target.

        One that would name another target, or none, is not used.
        """
        cookie = make_handshake_cookie(packet, target.cookie)
        if self.plain_cookies or not cookie or self.view.has_cookie(cookie):
            return target.cookie
        return cookie

    def _refuse_opening(self, route, packet, now):
        """Decide on an opening for which there is no target.

        If there are cold targets, the opening is dropped: they have room
        again within a second, and the caller repeats its SYN in that time.
        A drained zone is known as such even if the directory is outdated.
        """
        services = [service for service, _ in route.weighted_services]
        listed = (self.view.by_service.get(name, ()) for name in services)
        if any(self.view.is_cold(item, now) for item in chain(*listed)):
            return Drop(Reason.COLD_TARGETS)
        drained = self.view.drained_services.intersection(services)
        if now > self.fresh_until and not drained:
            return Drop(Reason.NOT_FRESH)
        if self.openings.note_refused(self.view, route, now):
            return Drop(Reason.WITHDRAWN)
        return Reset(packet.ack, Reason.NO_TARGET)

    def _may_repeat_on(self, target, early, now):
        """Check whether a copy may go to the target that got the last SYN.

        If that SYN was a probe of an unreachable zone, its first copy
        already goes to another target; the caller would otherwise wait 0.6 s
        instead of 0.2 s.

        :param target: None if it is not in the directory.
        :param early: whether the target has had no time to answer.
        """
        if target is None or not self.view.accepts_new_flows(target):
            return False
        if not self._has_room(target, now):
            return False
        if early:
            return True
        if self.failure_detector.is_away(target.zone):
            return False
        return not self.failure_detector.is_avoided(target.cookie, now)

    def _has_room(self, target, now):
        """Check whether a target is warm, or may get a flow though cold."""
        if not self.view.is_cold(target, now):
            return True
        warmup = self.view.warmups.get(target.service, _NO_WARMUP)
        if target.zone == self._zone:
            return self._cold_starts.may_open(target.cookie, warmup.per_s, now)
        return not self._cold_starts.limited

    def _record_copy(self, packet, known, now):
        """Record a copy of a SYN; return the cookies that did not answer."""
        if known is None or known.established or not packet.ack:
            return ()
        target = self.view.by_cookie.get(known.cookie)
        self._evidence.note_repeated_syn(
            packet, known, target, packet.ack > 1, now
        )
        return (*known.tried, known.cookie)

    def _choose_target(self, route, packet, tried, now):
        first, *others = order_services(route, packet)
        avoided = self.failure_detector.choose_avoided_zones(now)
        chosen = self._list_targets(first, now)
        listed = chain(
            (chosen,), (self._list_targets(name, now) for name in others)
        )
        pools = (
            self._select_trusted(targets, avoided, now) for targets in listed
        )
        targets = select_pool(
            pools, self._list_last_resort(first, chosen, avoided)
        )
        # A target that did not answer two copies is full or unreachable; the
        # next copy goes to another target while the caller still waits.
        untried = [item for item in targets if item.cookie not in tried]
        candidates = [
            self._make_candidate(target, now) for target in (untried or targets)
        ]
        return choose_target(
            candidates, self._estimate_unreported_flows(now), self._rng
        )

    def _list_last_resort(self, service, targets, avoided):
        """Return the targets to choose from if none is trusted.

        If an operator has drained the reachable zones, the remaining targets
        are unreachable.  They are left out, so that the caller is refused at
        once instead of waiting for them.
        """
        if service not in self.view.drained_services:
            return targets
        return [target for target in targets if target.zone not in avoided]

    def _list_targets(self, service, now):
        targets = self.view.by_service.get(service)
        if not targets:
            targets = self.view.fallback_by_service.get(service, ())
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
            and not self.failure_detector.is_avoided(target.cookie, now)
        ]

    def _estimate_unreported_flows(self, now):
        """Estimate the zone's new flows that are not in any count yet.

        They are this new flow, and those that the other instances have
        opened since their reports; this instance knows its own at once.
        Routers spread flows evenly over a zone's instances, so each of the
        others opens as many as this one.
        """
        second = int(now)
        if second != self._current_second:
            self._open_rate.add(self._opens_this_second)
            self._current_second = second
            self._opens_this_second = 0
        self._opens_this_second += 1
        rate = self._open_rate.read(0)
        return 1 + rate * (self._instances - 1) * self._report_age_s

    def _make_candidate(self, target, now):
        load = self.flows.get_load(target.cookie)
        return Candidate(
            target,
            load.flows + self._remote_flows.get(target.cookie, 0),
            load.waiting,
            same_zone=target.zone == self._zone,
            cold=self.view.is_cold(target, now),
        )

    def _handle_open_flow(self, packet, now):
        known = self.flows.find(packet.flow)
        cookie = self.lookup.find_cookie(packet, known, self.view, now)
        if not cookie:
            return Drop(Reason.NO_COOKIE)
        place = (packet.destination, packet.destination_port)
        if place in self.view.removed_routes:
            return Reset(packet.ack, Reason.ROUTE_DROPPED)
        target = self.view.by_cookie.get(cookie)
        if target is None:
            return self._handle_missing_target(packet, known, cookie, now)
        self._note_open_flow(packet, known, target, now)
        if self.failure_detector.is_given_up(cookie, now):
            # A caller that went on waiting would miss its deadline; after a
            # reset it opens a flow on a target that answers.
            return Reset(packet.ack, Reason.TARGET_SILENT)
        return Forward(target, Reason.KNOWN, cookie)

    def _note_open_flow(self, packet, known, target, now):
        was_open = is_established(known)
        self._evidence.note_packet(packet, target.cookie, target, now)
        if was_open:
            self.lookup.note_packet(packet, known, now)
        elif known is not None:
            self.lookup.note_opened(packet.flow, known, now)

    def _handle_missing_target(self, packet, known, cookie, now):
        if cookie in self.view.by_cookie:
            return Drop(Reason.AMBIGUOUS_COOKIE)
        if not is_gone(self.view, cookie):
            if not may_have_overtaken(known, now):
                self.lookup.owners.ask(packet.flow, now)
            return Drop(Reason.UNKNOWN_TARGET)
        if packet.flags & pkt.RST:
            return Drop(Reason.TARGET_GONE)
        target = self.view.gone_by_cookie.get(cookie)
        if target is not None and self._is_answering(cookie, now):
            # The target answers, so only its registration has lapsed: one
            # that is cut off from the store still serves its open flows.
            self._evidence.note_packet(packet, cookie, None, now)
            return Forward(target, Reason.KNOWN, cookie)
        return Reset(packet.ack, Reason.TARGET_GONE)
