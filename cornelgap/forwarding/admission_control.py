"""Which openings are admitted while the targets of a service shed.

Sheds show in callers' packets, refusals are resets of openings; the
decisions are ``overload`` for the share of each priority and ``fair_shares``
for the callers among one.  All state is this instance's own: nothing is
stored, and no other instance is asked or told.

A reset of an opening says that nothing has run.  Of a copy whose first SYN
was not seen here that is not known, since another instance may have passed
that one on: such a copy is dropped.
"""

from cornelgap.decisions.fair_shares import FairShares
from cornelgap.decisions.overload import STARTUP_S, AdmissionGate
from cornelgap.decisions.route_waits import RouteWaits
from cornelgap.decisions.shed_answers import ShedAnswerDetector
from cornelgap.forwarding.packets import Drop, Reason, Reset

ENABLED = True
"""Whether anything is refused for an overload; tests take the part out."""


class _Service:
    """What is known of one service.

    :param places: priority by (address, port) of its routes.
    """

    def __init__(self, places):
        self.places = places
        self.open()

    def open(self):
        """Admit everything."""
        self.gate = AdmissionGate(sorted(set(self.places.values())))
        self.callers = {}

    def adopt(self, places):
        """Take over the places of a newer configuration."""
        self.places = places
        self.gate.set_priorities(sorted(set(places.values())))
        self.set_shares()

    def set_shares(self):
        """Take over the gate's shares where they limit callers."""
        if not self.gate.limited:
            self.callers.clear()
        for priority, callers in self.callers.items():
            callers.set_share(self.gate.shares.get(priority, 1))

    def compute_probability(self, priority, caller, counted, now):
        """Return the chance of a caller's opening.

        :param counted: whether it has been counted before.
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
    """Refuses openings beyond what targets serve.

    :param rng: generator for the choice of openings.
    """

    def __init__(self, rng):
        """Refuse nothing before the routes are known."""
        self._rng = rng
        self._services = {}
        self._usual = {}
        self._waits = {}
        self._began_at = None
        self._told = {}

    def adopt_routes(self, routes):
        """Watch the services whose routes name priorities.

        :param routes: route by (address, port).
        """
        places = {}
        for place, route in routes.items():
            priority = route.policy.priority
            if priority is None:
                continue
            for service, _ in route.shares:
                places.setdefault(service, {})[place] = priority
        for name in self._services.keys() - places.keys():
            self._services.pop(name)
            self._told.pop(name, None)
        for place in self._usual.keys() - routes.keys():
            self._usual.pop(place)
            self._waits.pop(place)
        for name, found in places.items():
            if name not in self._services:
                self._services[name] = _Service(found)
            elif self._services[name].places != found:
                self._services[name].adopt(found)

    def clear(self):
        """Admit everything and count anew, as after a standstill."""
        self._began_at = None
        self._told.clear()
        for service in self._services.values():
            service.open()

    def note_answer(self, target, place, size, waited_s, answered_at):
        """Note an answer to a request.

        :param target: :class:`~cornelgap.forwarding.directory_view.Target`.
        :param place: address and port of the route.
        :param size: bytes.
        :param waited_s: seconds for which its caller waited.
        """
        service = self._services.get(target.service)
        if service is None or place not in service.places:
            return
        usual = self._usual.get(place)
        if usual is None:
            usual = self._usual[place] = ShedAnswerDetector()
            self._waits[place] = RouteWaits()
        shed = usual.note_answer(size, waited_s)
        prompt = None
        if not shed:
            waits = self._waits[place]
            if service.gate.targets_have_room:
                waits.learn(waited_s)
            prompt = waits.is_prompt(waited_s)
        service.gate.note_answer(
            target.cookie, service.places[place], shed, answered_at, prompt
        )

    def judge_opening(self, name, route, packet, now):
        """Judge an opening of which this instance has passed nothing on.

        :param name: the service that it is for.
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
        if has_surely_not_run(packet):
            return Reset(packet.ack, Reason.OVERLOADED)
        return Drop(Reason.COPY_OVERLOADED)

    def step(self, now):
        """Change what is admitted by what was seen.

        :returns: what is to be told of services, :class:`dict` of fields.
        """
        young = self._began_at is None or now - self._began_at < STARTUP_S
        told = []
        for name, service in self._services.items():
            changed = service.gate.step(now, young)
            # A configuration without the limited priorities ends it, too.
            ended = name in self._told and not service.gate.limited
            if changed or ended:
                limited = sum(
                    callers.limited_callers
                    for callers in service.callers.values()
                )
                service.set_shares()
                told.extend(self._list_news(name, service, limited))
        return told

    @property
    def limited(self):
        """Say whether openings of any service may be refused."""
        return any(one.gate.limited for one in self._services.values())

    def read_shares(self):
        """Return the admitted share by service and priority, as text."""
        return {
            (name, str(priority)): share
            for name, service in self._services.items()
            for priority, share in service.gate.shares.items()
        }

    def _list_news(self, name, service, limited):
        """List what an operator should know: beginning, end, large steps."""
        shares = service.gate.shares
        before = self._told.get(name)
        if before is not None and service.gate.limited:
            if not any(
                _is_telling(before.get(one), shares[one]) for one in shares
            ):
                return
        state = 'lasts'
        if before is None:
            state = 'begins'
        if service.gate.limited:
            self._told[name] = dict(shares)
        else:
            self._told.pop(name, None)
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


def has_surely_not_run(packet):
    """Say whether no instance has passed an opening on before.

    :param packet: a SYN of a flow that this instance has not passed on.
    """
    return not packet.ack


def _is_telling(before, share):
    """Say whether a share has halved or doubled since it was told of."""
    return before is None or not before / 2 < share < before * 2
