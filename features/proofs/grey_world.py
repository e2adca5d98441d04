"""A zone in virtual time, where some targets fail part of their requests.

Callers open a flow for each request on one of the zone's instances; what
these see is told to each other every quarter of a second.  Seeded, so that a
run repeats.
"""

import heapq
import itertools
import random
from collections import Counter

from cornelgap.forwarding.neighbours import add_outcomes
from features.proofs.forwarding_desk import Desk, make_route, make_target

INSTANCES = 10
TARGETS = 15
PER_S = 300
TELL_S = 0.5
WORK_S = 0.04
REPEATS_S = (0.2, 0.6, 1.4)
ANSWER_BYTES = 2000
ERROR_BYTES = 150
SLOWNESS = 8
QUEUE_S = 0.1


class GreyWorld:
    """Instances, targets and callers.

    :param mode: how a failing target fails a request: ``mute``, ``hang``,
        ``reset``, ``errors`` or ``slow``; ``full`` serves late what it
        serves and answers the others with errors.
    :param failing: how many targets fail.
    :param share: share of their requests that fail.
    :param loss: share of requests that are lost on their way.
    :param ill: instances that lose all requests.
    :ivar failing: cookies of targets that fail; may change in a run.
    :ivar failed: failed requests by second.
    :ivar placed: openings by (second, cookie).
    """

    def __init__(self, mode, failing=3, share=0.5, loss=0, ill=0, seed=1):
        """Start all instances; they know all targets."""
        self._rng = random.Random(seed)
        self._mode = mode
        self._share = share
        self._loss = loss
        self._ill = ill
        self.targets = [make_target(number) for number in range(1, TARGETS + 1)]
        self.failing = {target.cookie for target in self.targets[:failing]}
        self.desks = [self._start_desk(number) for number in range(INSTANCES)]
        self.now = self.desks[0].now
        self._began_at = self.now
        self._events = []
        self._order = itertools.count()
        self._caller = itertools.count(1024)
        self.failed = Counter()
        self.placed = Counter()
        self._at(0, self._come)
        self._at(TELL_S, self._tell)

    def run(self, seconds):
        """Let callers come for some seconds."""
        ends_at = self.now + seconds
        while self._events and self._events[0][0] <= ends_at:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)

    def count_failed(self, first, last):
        """Return the failed requests that came in some seconds."""
        return sum(self.failed[second] for second in range(first, last))

    def get_second(self):
        """Return the present second of the run."""
        return int(self.now - self._began_at)

    def list_outliers(self):
        """Return the cookies that any instance avoids for its failures."""
        return {
            cookie
            for desk in self.desks
            for cookie in desk.engine.failure_detector.list_outliers(self.now)
        }

    def count_outliers(self):
        """Return the most targets that one instance avoids."""
        return max(
            len(desk.engine.failure_detector.list_outliers(self.now))
            for desk in self.desks
        )

    def _start_desk(self, number):
        desk = Desk(seed=number)
        desk.set_routes(make_route('search'))
        desk.set_targets(*self.targets)
        desk.engine.note_other_instances(
            {}, INSTANCES, report_interval_s=0.5, rank=number
        )
        return desk

    def _at(self, wait, call, *args):
        event = (self.now + wait, next(self._order), call, args)
        heapq.heappush(self._events, event)

    def _come(self):
        self._at(self._rng.expovariate(PER_S), self._come)
        desk = self._rng.choice(self.desks)
        caller = next(self._caller) % 60000
        target = self._act(desk).open(caller)
        self.placed[self.get_second(), target.cookie] += 1
        self._at(0.01, self._ask, desk, caller, target)

    def _ask(self, desk, caller, target):
        self._act(desk).send(caller, target, ack=1)
        desk.send(caller, target, ack=1, size=100)
        if desk in self.desks[: self._ill]:
            return
        if target.cookie in self.failing and self._rng.random() < self._share:
            if self._mode != 'slow':
                self.failed[self.get_second()] += 1
            self._fail(desk, caller, target)
        elif self._rng.random() < self._loss:
            self._at(REPEATS_S[0], self._repeat, desk, caller, target)
            self._at(REPEATS_S[0] + WORK_S, self._end, desk, caller, target)
        else:
            self._at(self._serve(target), self._end, desk, caller, target)

    def _serve(self, target):
        """Return how long a target takes for a request that it serves."""
        waits = self._mode == 'full' and target.cookie in self.failing
        return self._work() + (QUEUE_S if waits else 0)

    def _fail(self, desk, caller, target):
        if self._mode == 'mute':
            for wait in REPEATS_S:
                self._at(wait, self._repeat, desk, caller, target)
        elif self._mode in {'errors', 'full'}:
            self._at(0.01, self._end, desk, caller, target, ERROR_BYTES)
        elif self._mode == 'slow':
            wait = self._work() * SLOWNESS
            self._at(wait, self._end, desk, caller, target)

    def _work(self):
        return self._rng.uniform(0.5, 1.5) * WORK_S

    def _repeat(self, desk, caller, target):
        self._act(desk).send(caller, target, ack=1, size=100)

    def _end(self, desk, caller, target, size=ANSWER_BYTES):
        self._act(desk).send(caller, target, ack=1 + size, seq=1100)
        desk.close(caller, target, ack=1 + size, seq=1100)

    def _act(self, desk):
        desk.pass_time(self.now - desk.now)
        return desk

    def _tell(self):
        self._at(TELL_S, self._tell)
        told = []
        for desk in self.desks:
            self._act(desk).confirm()
            desk.engine.note_overdue(self.now)
            told.append(desk.engine.failure_detector.take_evidence())
        for number, evidence in enumerate(told):
            for other, desk in enumerate(self.desks):
                if evidence and other != number:
                    desk.engine.note_evidence(f'n{number}', evidence, self.now)
        outcomes = {}
        for desk in self.desks:
            add_outcomes(outcomes, desk.engine.failure_detector.take_outcomes())
        for desk in self.desks:
            desk.engine.note_zone_outcomes(outcomes, self.now)
