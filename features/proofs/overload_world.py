"""A service in virtual time whose targets shed and whose callers retry.

Callers open a flow for each request on one of several instances; a target
serves as many as it has slots, queues a few more and answers the rest "not
run".  Whoever is refused or shed retries at once, from a new port, twice at
most.  Seeded, so that a run repeats.
"""

import heapq
import itertools
import random
from collections import Counter, defaultdict, deque

from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding.directory_view import RequestPolicy, Route
from cornelgap.forwarding.packets import Forward, Reset
from features.proofs.forwarding_desk import (
    ADDRESS,
    Desk,
    make_packet,
    make_target,
)

SLOTS = 2
QUEUE = 8
WORK_S = 0.02
TRIP_S = 0.006
COPIES_S = (0.2, 0.6)
ATTEMPT_S = 1.4
TRIES = 3
TICK_S = 0.25
ANSWER_BYTES = 1000
SHED_BYTES = 120
GOAL_S = 0.25
TIMEOUT_S = 1.5
URGENT = 0
WORST = 2


class Server:
    """One target: its slots and its queue."""

    def __init__(self):
        """Have room."""
        self.busy = 0
        self.queue = deque()


class Request:
    """A caller's request over all its tries."""

    def __init__(self, account, priority, now, instance=None):
        """Begin with the first try.

        :param instance: number of the one that all tries pass through.
        """
        self.instance = instance
        self.account = account
        self.priority = priority
        self.came_at = now
        self.tries = 0


class OverloadWorld:
    """Instances, targets and callers.

    :param failing: targets that answer requests with errors.
    :param errors: share of their requests that they answer so.
    :param named: whether the routes name priorities.
    :param callers: share of the callers at each instance, all of whose tries
        then pass through it; None where each try passes through any one.
    :ivar rates: tuple (requests a second of one account, accounts) by
        priority.
    :ivar flood: requests a second of one more account of the worst
        priority.
    :ivar came, served, shed, refused, dropped: counts by (second, priority).
    :ivar came_at, served_at: counts by (second, number of the instance),
        where callers stay at one.
    :ivar by_account: served requests by (priority, account).
    :ivar objections: what must never happen.
    :ivar told: what each instance tells operators.
    """

    def __init__(
        self,
        instances=3,
        targets=8,
        failing=0,
        errors=0.5,
        named=True,
        callers=None,
        seed=1,
    ):
        """Start all instances; they know all targets."""
        self._named = named
        self._callers = callers
        self.rng = random.Random(seed)
        self.targets = [make_target(one) for one in range(1, targets + 1)]
        self._servers = {one.cookie: Server() for one in self.targets}
        self._failing = {one.cookie for one in self.targets[:failing]}
        self._errors = errors
        self._failing_priorities = None
        self._instances = instances
        self.now = self.began_at = 100
        self.desks = [self._start_desk(one) for one in range(instances)]
        self._events = []
        self._order = itertools.count()
        self._ports = itertools.count()
        self._passed = set()
        self.rates = {}
        self.flood = 0
        self.came, self.served, self.shed = Counter(), Counter(), Counter()
        self.refused, self.dropped = Counter(), Counter()
        self.by_account = Counter()
        self.came_at, self.served_at = Counter(), Counter()
        self.objections = []
        self.told = defaultdict(list)
        self._at(TICK_S, self._tick)

    @property
    def capacity(self):
        """Return the requests a second that all targets serve."""
        return len(self.targets) * SLOTS / WORK_S

    def press(self, load, urgent=0.2, accounts=40):
        """Let callers ask for a multiple of what the targets serve."""
        for priority, part in ((URGENT, urgent), (WORST, 1 - urgent)):
            started = priority in self.rates
            self.rates[priority] = (load * part * self.capacity, accounts)
            if not started:
                self._come(priority)

    def fail_all(self, errors=None, priorities=None):
        """Let all targets answer requests with errors from now on.

        :param errors: share of their requests; None for that of the start.
        :param priorities: of the requests; None for all.
        """
        self._failing = set(self._servers)
        self._errors = self._errors if errors is None else errors
        self._failing_priorities = priorities

    def run(self, seconds):
        """Let time pass."""
        ends_at = self.now + seconds
        while self._events and self._events[0][0] <= ends_at:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = ends_at

    def count(self, counter, first, last, priority=None):
        """Sum a counter over seconds, of one priority or all."""
        return sum(
            number
            for (second, one), number in counter.items()
            if first <= second < last and priority in {None, one}
        )

    def restart(self, number):
        """Start an instance anew, as under the load of now."""
        self.desks[number] = self._start_desk(number)

    def _start_desk(self, number):
        desk = Desk(seed=number + 1)
        desk.now = self.now
        desk.set_routes(
            *(
                Route(
                    f'r-{priority}',
                    ADDRESS,
                    443 + priority,
                    (('search', 1),),
                    RequestPolicy(
                        priority if self._named else None, GOAL_S, TIMEOUT_S
                    ),
                )
                for priority in (URGENT, WORST)
            )
        )
        desk.set_targets(*self.targets)
        return desk

    def _at(self, wait, call, *args):
        event = (self.now + wait, next(self._order), call, args)
        heapq.heappush(self._events, event)

    def _note(self, counter, request):
        counter[int(self.now - self.began_at), request.priority] += 1

    def _note_at(self, counter, request):
        counter[int(self.now - self.began_at), request.instance] += 1

    def _come(self, priority):
        rate, accounts = self.rates[priority]
        flood = self.flood if priority == WORST else 0
        if not rate + flood:
            self._at(0.05, self._come, priority)
            return
        self._at(self.rng.expovariate(rate + flood), self._come, priority)
        flooding = self.rng.random() * (rate + flood) < flood
        account = 0 if flooding else self.rng.randint(1, accounts)
        request = Request(account, priority, self.now, self._pick_instance())
        self._note(self.came, request)
        self._note_at(self.came_at, request)
        self._try(request)

    def _try(self, request):
        if request.tries == TRIES or self._is_late(request):
            return
        request.tries += 1
        port = next(self._ports)
        desk = self._pick_desk(request)
        flow = {
            'caller': port % 60000 + 1024,
            'port': 443 + request.priority,
            'source': 1000 + request.account,
        }
        self._open(request, desk, flow, 0)

    def _pick_instance(self):
        if self._callers is None:
            return None
        return self.rng.choices(range(self._instances), self._callers)[0]

    def _pick_desk(self, request):
        if request.instance is None:
            return self.rng.choice(self.desks)
        return self.desks[request.instance]

    def _is_late(self, request):
        return self.now - request.came_at > TIMEOUT_S

    def _open(self, request, desk, flow, copy):
        if self._is_late(request):
            return
        key = (flow['caller'], flow['source'], request.came_at, request.tries)
        effect = self._put(desk, flow, pkt.SYN, ack=copy)
        if isinstance(effect, Forward):
            self._passed.add(key)
            cookie = effect.target.cookie
            self._at(TRIP_S, self._ask, request, desk, flow, cookie)
        elif isinstance(effect, Reset):
            if key in self._passed:
                self.objections.append('an opening is refused that was passed')
            self._note(self.refused, request)
            self._at(TRIP_S / 2, self._try, request)
        else:
            self._note(self.dropped, request)
            waits = (*COPIES_S, ATTEMPT_S)
            wait = waits[copy] - (0, *waits)[copy]
            if copy < len(COPIES_S):
                self._at(wait, self._open, request, desk, flow, copy + 1)
            else:
                self._at(wait, self._try, request)

    def _put(self, desk, flow, flags, **fields):
        desk.pass_time(self.now - desk.now)
        packet = make_packet(
            flow['caller'],
            flags,
            flow['port'],
            **{'source': flow['source'], **fields},
        )
        return desk.put(packet)

    def _ask(self, request, desk, flow, cookie):
        self._put(desk, flow, pkt.ACK, cookie=cookie, ack=1)
        self._put(desk, flow, pkt.ACK, cookie=cookie, ack=1, size=100)
        server = self._servers[cookie]
        job = (request, desk, flow, cookie)
        if self._fails(request, cookie):
            self._at(TRIP_S, self._end, *job, SHED_BYTES)
        elif server.busy < SLOTS:
            self._serve(server, job)
        elif len(server.queue) < QUEUE:
            server.queue.append(job)
        else:
            self._note(self.shed, request)
            self._at(TRIP_S, self._end, *job, SHED_BYTES)

    def _fails(self, request, cookie):
        if cookie not in self._failing:
            return False
        only = self._failing_priorities
        if only is not None and request.priority not in only:
            return False
        return self.rng.random() < self._errors

    def _serve(self, server, job):
        server.busy += 1
        work_s = self.rng.uniform(0.5, 1.5) * WORK_S
        self._at(work_s, self._finish, server, job)

    def _finish(self, server, job):
        server.busy -= 1
        if server.queue:
            self._serve(server, server.queue.popleft())
        self._at(TRIP_S, self._end, *job, ANSWER_BYTES)

    def _end(self, request, desk, flow, cookie, size):
        self._put(
            desk, flow, pkt.ACK | pkt.FIN, cookie=cookie, ack=1 + size, seq=1100
        )
        if size != ANSWER_BYTES:
            self._try(request)
        elif not self._is_late(request):
            self._note(self.served, request)
            self._note_at(self.served_at, request)
            self.by_account[request.priority, request.account] += 1

    def _tick(self):
        self._at(TICK_S, self._tick)
        counts = []
        for desk in self.desks:
            desk.pass_time(self.now - desk.now)
            desk.confirm()
            desk.engine.note_overdue(self.now)
            self.told[desk].extend(desk.engine.admission.step(self.now))
            counts.append(Counter(desk.engine.flows.count_flows()))
        total = sum(counts, Counter())
        for number, desk in enumerate(self.desks):
            others = total - counts[number]
            desk.engine.note_other_instances(
                others, self._instances, 0.25, number
            )
