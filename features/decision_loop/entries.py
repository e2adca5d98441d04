"""An entry that decides by our modules, and one that decides naively."""

from collections import defaultdict, deque

from cornelgap.core.verdicts import RunState
from cornelgap.decisions.admission import Admission, Job
from cornelgap.decisions.ends import CallEnd
from cornelgap.decisions.placement import Placement
from cornelgap.decisions.retry import RetryBudget
from features.decision_loop.outcomes import Outcome
from features.decision_loop.rehoming import (
    REHOME_COST_S,
    PacedRehomer,
    lose_all,
)
from features.decision_loop.targets import Call
from features.decision_loop.world import HOP_S

MOVES_A_TICK = 20
NAIVE_TRIES = 4


class _Entry:
    """What both kinds share: a processor, and how it dies."""

    def __init__(self, world, number, rng):
        self.world = world
        self.loop = world.loop
        self.number = number
        self.rng = rng
        self.free_at = 0.0
        self.open_reqs = set()

    def receive(self, req):
        """Handle a new request as soon as the processor is free."""
        self.open_reqs.add(req)
        if self.free_at > self.loop.now:
            self.loop.at(self.free_at, self.handle, req)
        else:
            self.handle(req)

    def die(self):
        """Lose everything."""
        reqs = tuple(self.open_reqs)
        lose_all(self.world, reqs)
        for req in reqs:
            if req.call is not None:
                call, name = req.call
                call.dropped = True
                self.world.targets[name].drop(call)

    def rehome(self, flow):
        """Spend the processor time of one re-homing."""
        self.free_at = max(self.free_at, self.loop.now) + REHOME_COST_S

    @property
    def dead(self):
        """Say whether this instance has died."""
        return self.number not in self.world.homes


class GuardedEntry(_Entry):
    """An entry instance that asks the decision modules."""

    def __init__(self, world, number, zone, rng):
        super().__init__(world, number, rng)
        self.rehomer = PacedRehomer(self)
        self.placement = Placement.from_cfg(world.service, zone, rng)
        self.admission = Admission.from_cfg(world.service, rng)
        self.budget = RetryBudget.from_cfg(world.service)
        self.reqs = {}
        self.pinned = defaultdict(set)
        self.wake_at = None

    def adopt(self, service):
        """Adopt a configuration."""
        self.placement.adopt_cfg(service, self.loop.now)
        self.admission.adopt_cfg(service)

    def open_flow(self, flow):
        """Pin a flow to a target, if one may take it."""
        target = self.placement.choose_target(self.loop.now)
        if target is None:
            return False
        self.pin(flow, target)
        return True

    def pin(self, flow, target):
        """Pin a flow, new or moved."""
        flow.target = target
        self.pinned[target].add(flow.number)
        self.placement.note_flow(target, 1)

    def close_flow(self, flow):
        """Let go of a flow."""
        self.pinned[flow.target].discard(flow.number)
        self.placement.note_flow(flow.target, -1)

    def tick(self):
        """Move flows that should be elsewhere."""
        if self.dead:
            return
        for move in self.placement.choose_moves(self.loop.now, MOVES_A_TICK):
            numbers = self.pinned[move.from_target]
            if numbers:
                flow = self.world.flows[min(numbers)]
                self.close_flow(flow)
                self.pin(flow, move.to_target)
                self.world.tally.moves += 1

    def adopt_orphan(self, flow):
        """Re-home a flow of a dead entry when its turn comes."""
        self.pinned[flow.target].add(flow.number)
        self.placement.note_flow(flow.target, 1)
        self.rehomer.add(flow)

    def handle(self, req):
        """Offer a new request."""
        if self.dead or self.rehomer.hold(req):
            return
        self.budget.note_request(self.loop.now)
        self.loop.at(req.deadline, self.time_out, req)
        self.offer(req)

    def offer(self, req):
        """Offer a request, new or to be tried again."""
        job = Job(
            key=req,
            caller=req.arrival.caller,
            target=req.flow.target,
            long_job=req.arrival.long_job,
            deadline=req.deadline,
            arrived=req.arrival.at,
        )
        self.apply(self.admission.offer(self.loop.now, job))

    def apply(self, step):
        """Do what admission decided."""
        for refusal in step.refuse:
            self.world.settle(refusal.job.key, Outcome.REFUSED)
        for job in step.start:
            self.send(job.key, job.target)
        self.plan_wake()

    def plan_wake(self):
        """Wake when admission asks for it."""
        due = self.admission.next_wake(self.loop.now)
        if self.dead:
            return
        if due is None or (self.wake_at is not None and self.wake_at <= due):
            return
        self.wake_at = due + 1e-6
        self.loop.at(self.wake_at, self.wake, self.wake_at)

    def wake(self, due):
        """Sweep the queues, unless an earlier wake-up has replaced this."""
        if due != self.wake_at or self.dead:
            return
        self.wake_at = None
        self.apply(self.admission.sweep(self.loop.now))

    def send(self, req, target):
        """Send a request to its target."""
        req.tries += 1
        req.sent_at = self.loop.now
        call = Call(req, req.arrival.work_s, self.answer, req.deadline)
        req.call = (call, target)
        self.placement.note_start(target, self.loop.now)
        self.loop.after(HOP_S, self.world.targets[target].offer, call)

    def answer(self, call, ended):
        """Carry a target's answer back."""
        target = self.world.targets[call.req.call[1]]
        load = (*target.read_load(), target.slots, target.draining)
        self.loop.after(HOP_S, self.end, call, ended, target.name, load)

    def end(self, call, ended, target, load):
        """Learn from an answer, then pass it on."""
        if call.dropped or self.dead:
            return
        now = self.loop.now
        req = call.req
        if load is not None:
            self.placement.note_report(target, now, *load)
            self.admission.note_report(now, target, load[0], load[1])
        took = now - req.sent_at
        waited = now - req.arrival.at
        self.placement.note_end(target, now, ended, waited)
        step = self.admission.finish(now, req, ended, took)
        self.apply(step)
        if ended is CallEnd.OK:
            self.world.settle(req, Outcome.IN_TIME)
        elif ended is CallEnd.SHED:
            req.call = None
            self.offer(req)
        elif self.may_retry(req):
            self.offer(req)
        else:
            self.world.tally.cut += 1
            self.world.settle(req, Outcome.LOST)

    def may_retry(self, req):
        """Ask the budget about a request that failed."""
        return self.budget.may_retry(
            self.loop.now,
            req.deadline,
            RunState.MAY_HAVE_RUN,
            req.arrival.idempotent,
        )

    def time_out(self, req):
        """Give up a request at its deadline."""
        if req.settled or self.dead:
            return
        self.world.settle(req, Outcome.LOST if req.call else Outcome.REFUSED)
        if req.call is None:
            self.apply(self.admission.cancel(self.loop.now, req))
            return
        call, name = req.call
        call.dropped = True
        took = self.loop.now - req.sent_at
        self.loop.after(HOP_S, self.world.targets[name].drop, call)
        waited = self.loop.now - req.arrival.at
        self.placement.note_end(name, self.loop.now, CallEnd.TIMEOUT, waited)
        step = self.admission.finish(self.loop.now, req, CallEnd.TIMEOUT, took)
        self.apply(step)


class NaiveEntry(_Entry):
    """Round robin or random, unbounded FIFO, three retries at once."""

    def __init__(self, world, number, zone, rng, random_choice=False):
        super().__init__(world, number, rng)
        self.random_choice = random_choice
        self.names = sorted(world.service.targets)
        self.turn = rng.randrange(len(self.names))
        self.queues = defaultdict(deque)
        self.in_flight = defaultdict(int)

    def adopt(self, service):
        """Adopt a configuration: new flows go to its active targets."""
        self.names = [
            name
            for name, target in sorted(service.targets.items())
            if target.mode.value == 'active'
        ]

    def open_flow(self, flow):
        """Pin a flow to the next target."""
        self.turn += 1
        turn = self.turn
        if self.random_choice:
            turn = self.rng.randrange(len(self.names))
        flow.target = self.names[turn % len(self.names)]
        return True

    def close_flow(self, flow):
        """Let go of a flow."""

    def tick(self):
        """Never move a flow."""

    def adopt_orphan(self, flow):
        """Re-home a flow of a dead entry at once."""
        self.rehome(flow)

    def handle(self, req):
        """Queue a request for as long as it takes."""
        self.queues[req.flow.target].append(req)
        self.pump(req.flow.target)

    def pump(self, name):
        """Send while the target may have a slot."""
        queue = self.queues[name]
        target = self.world.targets[name]
        while queue and self.in_flight[name] < target.slots:
            self.in_flight[name] += 1
            self.send(queue.popleft(), name)

    def send(self, req, name):
        """Send a request to its target."""
        req.tries += 1
        call = Call(req, req.arrival.work_s, self.answer)
        req.call = (call, name)
        self.loop.after(HOP_S, self.world.targets[name].offer, call)

    def answer(self, call, ended):
        """Carry a target's answer back."""
        self.loop.after(HOP_S, self.end, call, ended)

    def end(self, call, ended):
        """Pass an answer on, or try again at once."""
        if call.dropped:
            return
        req = call.req
        name = req.call[1]
        if ended is CallEnd.OK:
            self.world.settle(req, Outcome.IN_TIME)
        elif req.tries < NAIVE_TRIES:
            if name not in self.names:
                self.open_flow(req.flow)
            self.send(req, name)
            return
        else:
            lost = ended is CallEnd.FAILED
            self.world.tally.cut += lost
            self.world.settle(req, Outcome.LOST if lost else Outcome.REFUSED)
        self.in_flight[name] -= 1
        self.pump(name)
