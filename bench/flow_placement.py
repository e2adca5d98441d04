"""Where new forwarded flows open: ours beside naive ways and a bound.

``python -m bench.flow_placement``: virtual time, 20 seeds.  Callers open long
flows and make a request a second on each; instances know their own flows at
once and the others' half a second late.  Printed are the median and the
worst seed of the busiest target over the mean, and of the requests that
were late.
"""

import heapq
import itertools
import random
import statistics
from collections import Counter, deque

from cornelgap.decisions.target_choice import Candidate, choose_target
from features.proofs.forwarding_desk import make_target

SEEDS = 20
LENGTH_S = 60
NEWS_S = 0.5
WORK_S = 0.03
LATE_S = 0.15
FLOW_S = 20
SITES = {
    'small': {'instances': 6, 'targets': 7, 'flows_per_s': 8},
    'grown': {'instances': 60, 'targets': 60, 'flows_per_s': 65},
}


class World:
    """Targets with slots and queues, and flows that ask again and again."""

    def __init__(self, site, place, seed):
        """Begin empty."""
        self.rng = random.Random(seed)
        self.now = 0
        self.place = place
        self.instances = site['instances']
        self.targets = [make_target(n) for n in range(1, site['targets'] + 1)]
        self.flows_per_s = site['flows_per_s']
        self.own = [Counter() for _ in range(self.instances)]
        self.seen = Counter()
        self.seen_own = [Counter() for _ in range(self.instances)]
        self.running = Counter()
        self.queues = {one.cookie: deque() for one in self.targets}
        self.served = Counter()
        self.waits = []
        self._events = []
        self._order = itertools.count()

    def at(self, due_at, call, *args):
        """Call something later."""
        heapq.heappush(self._events, (due_at, next(self._order), call, args))

    def run(self):
        """Play the whole time."""
        self.at(0, self._open)
        self.at(0, self._spread)
        while self._events and self._events[0][0] < LENGTH_S:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)

    def count_all(self):
        """Return all open flows by cookie."""
        return sum(self.own, Counter())

    def _spread(self):
        self.seen = self.count_all()
        self.seen_own = [Counter(own) for own in self.own]
        self.at(self.now + NEWS_S, self._spread)

    def _open(self):
        instance = self.rng.randrange(self.instances)
        flow = self.rng.getrandbits(32)
        cookie = self.place(self, instance, flow)
        self.own[instance][cookie] += 1
        ends_at = self.now + self.rng.expovariate(1 / FLOW_S)
        self.at(self.now, self._ask, instance, cookie, ends_at)
        self.at(self.now + self.rng.expovariate(self.flows_per_s), self._open)

    def _ask(self, instance, cookie, ends_at):
        if self.now > ends_at:
            self.own[instance][cookie] -= 1
            return
        self.queues[cookie].append(self.now)
        self._start(cookie)
        pause = self.rng.expovariate(1)
        self.at(self.now + pause, self._ask, instance, cookie, ends_at)

    def _start(self, cookie):
        while self.queues[cookie] and self.running[cookie] < 2:
            asked_at = self.queues[cookie].popleft()
            self.running[cookie] += 1
            work = self.rng.lognormvariate(0, 0.5) * WORK_S
            self.at(self.now + work, self._end, cookie, asked_at)

    def _end(self, cookie, asked_at):
        self.running[cookie] -= 1
        self.served[cookie] += 1
        self.waits.append(self.now - asked_at)
        self._start(cookie)


def place_random(world, instance, flow):
    """Take any target."""
    return world.rng.choice(world.targets).cookie


def place_in_turn(world, instance, flow):
    """Each instance goes round."""
    turns = world.__dict__.setdefault('turns', Counter())
    turns[instance] += 1
    return world.targets[
        (instance + turns[instance]) % len(world.targets)
    ].cookie


def place_by_hash(world, instance, flow):
    """Rendezvous hash of flow and target."""
    return max(world.targets, key=lambda one: hash((flow, one.cookie))).cookie


def place_ours(world, instance, flow):
    """The product's choice, with its news."""
    own = world.own[instance]
    told = world.seen_own[instance]
    rate = world.flows_per_s / world.instances
    candidates = [
        Candidate(
            one,
            own[one.cookie] + world.seen[one.cookie] - told[one.cookie],
            0,
            same_zone=True,
            cold=False,
        )
        for one in world.targets
    ]
    expected_flows = 1 + rate * (world.instances - 1) * NEWS_S
    return choose_target(candidates, expected_flows, world.rng).cookie


def place_idlest_heard(world, instance, flow):
    """The least loaded by the same news, without spreading."""
    own = world.own[instance]
    told = world.seen_own[instance]

    def cost(one):
        cookie = one.cookie
        return own[cookie] + world.seen[cookie] - told[cookie]

    return min(world.targets, key=cost).cookie


def place_omniscient(world, instance, flow):
    """The bound: the least loaded at this very moment."""
    flows = world.count_all()
    return min(world.targets, key=lambda one: flows[one.cookie]).cookie


WAYS = {
    'random': place_random,
    'round robin': place_in_turn,
    'rendezvous hash': place_by_hash,
    'least loaded by old news': place_idlest_heard,
    'ours': place_ours,
    'omniscient': place_omniscient,
}


def measure(site, place, seed):
    """Return (busiest over mean, share of late requests)."""
    world = World(site, place, seed)
    world.run()
    counts = [world.served[one.cookie] for one in world.targets]
    late = sum(wait > LATE_S for wait in world.waits) / len(world.waits)
    return max(counts) / statistics.mean(counts), late


def main():
    """Print a table a site."""
    for name, site in SITES.items():
        print(f'{name}: {site}')
        print('| way | busiest/mean, median | worst | late, median | worst |')
        print('| --- | --- | --- | --- | --- |')
        for way, place in WAYS.items():
            found = [measure(site, place, seed) for seed in range(SEEDS)]
            peaks = [item[0] for item in found]
            lates = [item[1] for item in found]
            print(
                f'| {way} | {statistics.median(peaks):.3f} | {max(peaks):.3f}'
                f' | {statistics.median(lates):.5f} | {max(lates):.5f} |',
                flush=True,
            )


if __name__ == '__main__':
    main()
