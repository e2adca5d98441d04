"""Admission control for new flows while the targets of a service shed load.

Shed requests are detected from callers' packets; a refused opening is
answered with a reset.  ``overload`` decides which share of each priority is
admitted, and ``fair_shares`` divides that share among the callers of one
priority.  All state is local to this instance: it is neither stored nor
exchanged with other instances.

The reset of an opening guarantees that no request of it has run.  This can't
be guaranteed for a repeated SYN whose first copy was not seen here, because
another instance may have forwarded that one; such a copy is dropped instead.
"""

from cornelgap.decisions.fair_shares import FairShares
from cornelgap.decisions.overload import STARTUP_S, AdmissionGate
from cornelgap.decisions.route_waits import RouteWaits
from cornelgap.decisions.shed_answers import ShedAnswerDetector
from cornelgap.forwarding.packets import Drop, Reason, Reset

ENABLED = True
"""Whether openings are refused on overload; tests turn this off."""


class _ServiceAdmission:
    """Admission state of one service.

    :param priority_by_route: priority by (address, port) of its routes.
    :ivar callers: :class:`FairShares` by priority, for limited priorities.
    """

    def __init__(self, priority_by_route):
        self.priority_by_route = priority_by_route
        self.open()

    def open(self):
        """Admit everything."""
        self.gate = AdmissionGate(sorted(set(self.priority_by_route.values())))
        self.callers = {}

    def update_routes(self, priority_by_route):
        """Adopt the routes of a newer configuration."""
        self.priority_by_route = priority_by_route
        self.gate.set_priorities(sorted(set(priority_by_route.values())))
        self.update_caller_shares()

    def update_caller_shares(self):
        """Pass the gate's shares on to the callers of each priority.

        When the gate limits nothing any more, the callers are forgotten.
        """
        if not self.gate.limited:
            self.callers.clear()
        for priority, callers in self.callers.items():
            callers.set_share(self.gate.shares.get(priority, 1))

    def compute_probability(self, priority, caller, counted, now):
        """Return the probability with which a caller's opening is admitted.

        :param counted: whether the opening has been counted before.
        """
        self.gate.note_opening(priority)
        callers = self.callers.get(priority)
        if callers is None:
            callers = self.callers[priority] = FairShares(now)
            callers.set_share(self.gate.shares[priority])
        if not counted:
            callers.note_opening(caller, now)
        return callers.compute_probability(caller)


class AdmissionControl:
    """Refuses the openings that exceed the capacity of the targets.

    :param rng: random generator that chooses the openings to refuse.
    """

    def __init__(self, rng):
        """Admit every opening until the routes are known."""
        self._rng = rng
        self._services = {}
        self._shed_detectors = {}
        self._route_waits = {}
        self._began_at = None
        self._logged_shares = {}

    def adopt_routes(self, routes):
        """Control admission to the services whose routes set a priority.

        :param routes: route by (address, port).
        """
        priority_by_route = {}
        for route_key, route in routes.items():
            priority = route.policy.priority
            if priority is None:
                continue
            for service, _ in route.weighted_services:
                priority_by_route.setdefault(service, {})[route_key] = priority
        for name in self._services.keys() - priority_by_route.keys():
            self._services.pop(name)
            self._logged_shares.pop(name, None)
        for route_key in self._shed_detectors.keys() - routes.keys():
            self._shed_detectors.pop(route_key)
            self._route_waits.pop(route_key)
        for name, found in priority_by_route.items():
            if name not in self._services:
                self._services[name] = _ServiceAdmission(found)
            elif self._services[name].priority_by_route != found:
                self._services[name].update_routes(found)

    def clear(self):
        """Admit everything and reset all counts, as after a stall."""
        self._began_at = None
        self._logged_shares.clear()
        for service in self._services.values():
            service.open()

    def note_answer(self, target, route_key, size, waited_s, answered_at):
        """Record an answer to a request.

        :param target: :class:`~cornelgap.forwarding.directory_view.Target`.
        :param route_key: address and port of the route.
        :param size: size of the answer in bytes.
        :param waited_s: seconds for which the caller waited.
        """
        service = self._services.get(target.service)
        if service is None or route_key not in service.priority_by_route:
            return
        detector = self._shed_detectors.get(route_key)
        if detector is None:
            detector = self._shed_detectors[route_key] = ShedAnswerDetector()
            self._route_waits[route_key] = RouteWaits()
        shed = detector.note_answer(size, waited_s)
        prompt = None
        if not shed:
            waits = self._route_waits[route_key]
            if service.gate.targets_have_room:
                waits.learn(waited_s)
            prompt = waits.is_prompt(waited_s)
        service.gate.note_answer(
            target.cookie,
            service.priority_by_route[route_key],
            shed,
            answered_at,
            prompt,
        )

    def check_admission(self, name, route, packet, now):
        """Admit or refuse an opening that was not yet forwarded from here.

        :param name: name of the service that the opening is for.
        :returns: None to admit it, else :class:`Reset` or :class:`Drop`.
        """
        if self._began_at is None:
            self._began_at = now
        service = self._services.get(name)
        if service is None or not service.gate.limited or not ENABLED:
            return None
        priority = route.policy.priority
        if priority not in service.gate.shares:
            return None
        counted = packet.ack > 0
        chance = service.compute_probability(
            priority, packet.source, counted, now
        )
        if self._rng.random() < chance:
            return None
        if is_first_copy(packet):
            return Reset(packet.ack, Reason.OVERLOADED)
        return Drop(Reason.COPY_OVERLOADED)

    def step(self, now):
        """Update the admitted shares from the answers since the last step.

        :returns: log entries about services, each a :class:`dict` of fields.
        """
        starting = self._began_at is None or now - self._began_at < STARTUP_S
        log_entries = []
        for name, service in self._services.items():
            changed = service.gate.step(now, starting)
            # A new configuration without the limited priorities also ends
            # an overload.
            ended = name in self._logged_shares and not service.gate.limited
            if changed or ended:
                limited = sum(
                    callers.limited_callers
                    for callers in service.callers.values()
                )
                service.update_caller_shares()
                log_entries.extend(
                    self._list_log_fields(name, service, limited)
                )
        return log_entries

    @property
    def limited(self):
        """Return whether openings of any service may be refused."""
        return any(service.gate.limited for service in self._services.values())

    def read_shares(self):
        """Return the admitted share by (service, priority as text)."""
        return {
            (name, str(priority)): share
            for name, service in self._services.items()
            for priority, share in service.gate.shares.items()
        }

    def _list_log_fields(self, name, service, limited):
        """Yield log fields for the start, the end and large changes."""
        shares = service.gate.shares
        before = self._logged_shares.get(name)
        if before is not None and service.gate.limited:
            if not any(
                _is_large_change(before.get(priority), shares[priority])
                for priority in shares
            ):
                return
        state = 'lasts'
        if before is None:
            state = 'begins'
        if service.gate.limited:
            self._logged_shares[name] = dict(shares)
        else:
            self._logged_shares.pop(name, None)
            state = 'ends'
        yield {
            'service': name,
            'state': state,
            'shed_share': round(service.gate.shed_share, 3),
            'failing': service.gate.failing,
            'admitted': {
                str(priority): round(share, 3)
                for priority, share in shares.items()
            },
            'callers_limited': limited,
        }


def is_first_copy(packet):
    """Return whether no instance can have forwarded an opening before.

    :param packet: a SYN of a flow that this instance has not forwarded.
    """
    return not packet.ack


def _is_large_change(before, share):
    """Return whether a share has halved or doubled since it was logged."""
    return before is None or not before / 2 < share < before * 2
