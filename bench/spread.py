"""How fast a change spreads over a fleet, in simulated time.

Run: python -m bench.spread 6 24 96 345 690

The pure decisions of all instances (distribution and membership) run with
one clock and a net without loss; a fetch takes no time.  So this is the
part of the time in force that the decisions themselves take.
"""

import json
import random
import sys

from features.steps.distribution_steps import Fleet, list_fleet

ZONES = 7
CHANGES = 5
SETTLE_S = 20
TURN_S = 0.02
PING_TURNS = 5


class SlowFleet(Fleet):
    """A fleet that pings ten times a second, as entry instances do."""

    def ping(self, name):
        """Ping in every fifth turn."""
        if round(self.now / TURN_S) % PING_TURNS == 0:
            super().ping(name)


def measure_spread(size):
    """Measure some changes; return seconds until half and all have each."""
    fleet = SlowFleet(random.Random(1), list_fleet(size, ZONES))
    fleet.await_revision(7, 30, fleet.entries)
    result = {'entries': size, 'half_s': [], 'all_s': [], 'reads': []}
    for revision in range(8, 8 + CHANGES):
        for _ in range(int(SETTLE_S / TURN_S / CHANGES)):
            fleet.run_turn()
        fleet.publish(revision)
        began = fleet.now
        half = 0
        while True:
            fleet.run_turn()
            have = sum(
                driver.dist.stamp.revision == revision
                for driver in fleet.drivers.values()
            )
            if have * 2 >= size and not half:
                half = fleet.now - began
            if have == size:
                break
        result['half_s'].append(round(half, 2))
        result['all_s'].append(round(fleet.now - began, 2))
        result['reads'].append(fleet.reads)
    return result


def main():
    """Measure the sizes that the arguments name."""
    for size in sys.argv[1:]:
        print(json.dumps(measure_spread(int(size))), flush=True)


if __name__ == '__main__':
    main()
