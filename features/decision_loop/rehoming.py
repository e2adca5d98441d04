"""The death of an entry instance, and how its flows find new homes."""

from cornelgap.decisions.pacing import Pacer
from features.decision_loop.outcomes import Outcome

DEAD = 0
REHOME_COST_S = 0.002
"""Processor time of one re-homing: token, window and a new feed stream."""

RATE_PER_S = 100.0
BURST = 20


def kill_entry(world):
    """Kill the first entry; its requests in progress are in doubt."""
    dead = world.entries[DEAD]
    world.homes.remove(DEAD)
    dead.die()
    orphans = [
        flow.number
        for flow in world.flows.values()
        if flow.home == DEAD and flow.open
    ]
    for place, number in enumerate(orphans):
        flow = world.flows[number]
        flow.home = world.homes[place % len(world.homes)]
        world.entries[flow.home].adopt_orphan(flow)


class PacedRehomer:
    """Re-homes orphans at a pace; those with a request go first."""

    def __init__(self, entry):
        self._entry = entry
        self._pacer = Pacer(RATE_PER_S, BURST)
        self._urgent = {}
        self._idle = {}
        self._waking = False

    def add(self, flow):
        """Let a flow wait for its turn."""
        self._idle[flow.number] = []
        self._wake()

    def hold(self, req):
        """Keep a request until its flow is re-homed; say whether it waits."""
        number = req.flow.number
        if number in self._idle:
            self._urgent[number] = self._idle.pop(number)
        if number not in self._urgent:
            return False
        self._urgent[number].append(req)
        self._work()
        return True

    def _wake(self):
        if self._waking or not (self._urgent or self._idle):
            return
        self._waking = True
        now = self._entry.loop.now
        due = self._pacer.next_time(now, bool(self._urgent))
        self._entry.loop.at(due + 1e-6, self._work_later)

    def _work_later(self):
        self._waking = False
        self._work()

    def _work(self):
        now = self._entry.loop.now
        for queue, urgent in ((self._urgent, True), (self._idle, False)):
            while queue and self._pacer.take(now, urgent):
                number = next(iter(queue))
                reqs = queue.pop(number)
                self._entry.rehome(self._entry.world.flows[number])
                for req in reqs:
                    self._entry.receive(req)
        self._wake()


def lose_all(world, reqs):
    """Give all requests of a dead home the verdict that is left."""
    for req in tuple(reqs):
        world.settle(req, Outcome.LOST)
