"""A zone whose instances press onto cold targets as hard as they may.

Instances tell each other of themselves in virtual time, while some start,
die or are cut off; each opens a flow on each cold target whenever it finds
that it may.
"""

import random
from collections import defaultdict

from cornelgap.decisions.cold_starts import ColdLimit, ColdStarts
from features.proofs.zone_world import TURN_S, Zone

STEPS = 5
"""Openings that an instance tries on each target in a turn."""


class ColdWorld:
    """Instances, and what they open on cold targets.

    :param count: instances of the zone.
    :param per_s: flows a second that a cold target bears.
    :ivar opened: times of openings by target.
    """

    def __init__(self, count, per_s=0, targets=3, seed=1):
        """Start all instances at the same moment."""
        self._rng = random.Random(seed)
        self._limit = ColdLimit(1.5, 5)
        self._per_s = per_s
        self.budget = self._limit.compute_budget(per_s)
        self.zone = Zone(count, wide=2)
        self.count = count
        self._targets = [self._rng.getrandbits(32) for _ in range(targets)]
        self._starts = {}
        for number in range(count):
            self._begin(number)
        self.opened = defaultdict(list)

    def run(self, seconds, press=True):
        """Let time pass.

        :param press: whether callers press.
        """
        for _ in range(int(seconds / TURN_S)):
            self.zone.turn()
            if press:
                self._press()

    def restart(self, number):
        """End an instance; it is back at once and knows nobody."""
        self.zone.start(number)
        self._begin(number)

    def kill(self, number):
        """End an instance for good."""
        self.zone.dead.add(f'10.0.0.{number}')

    def cut_off(self, number):
        """Cut one instance off from all others."""
        self.zone.cut_off.add(f'10.0.0.{number}')

    def heal(self):
        """End all cuts."""
        self.zone.cut_off.clear()

    def count_most(self):
        """Return the most openings of one target in any second."""
        return max(map(count_in_second, self.opened.values()), default=0)

    def count_all(self):
        """Return the number of openings."""
        return sum(map(len, self.opened.values()))

    def _begin(self, number):
        name = f'n{number}'
        self._starts[name] = ColdStarts(name, self._limit)

    def _press(self):
        now = self.zone.now
        nodes = self.zone.list_alive()
        for node in nodes:
            self._starts[node.name].set_members(node.list_recent(now))
        for step in range(STEPS):
            at = now + step * TURN_S / STEPS
            self._rng.shuffle(nodes)
            for node in nodes:
                self._open_all(self._starts[node.name], at)

    def _open_all(self, cold_starts, now):
        for key in self._targets:
            if cold_starts.may_open(key, self._per_s, now):
                cold_starts.note_open(key, now)
                self.opened[key].append(now)


def count_in_second(times):
    """Return the most of some rising times that lie within one second."""
    most = 0
    first = 0
    for position, at in enumerate(times):
        while at - times[first] > 1:
            first += 1
        most = max(most, position + 1 - first)
    return most
