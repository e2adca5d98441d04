"""The same plan under our decisions and under naive ones."""

import functools
import random

from features.decision_loop.entries import GuardedEntry, NaiveEntry
from features.decision_loop.patterns import PATTERNS
from features.decision_loop.sites import SITES
from features.decision_loop.world import World

UNBOUNDED = 10**9


def make_random_entry(world, number, zone, rng):
    """Make a naive entry that places flows at random."""
    return NaiveEntry(world, number, zone, rng, random_choice=True)


# The naive version's FIFO queue has no bound wherever it stands; `shedding`
# is the same entry in front of targets that shed.
POLICIES = {
    'ours': (GuardedEntry, None),
    'round robin': (NaiveEntry, UNBOUNDED),
    'random': (make_random_entry, UNBOUNDED),
    'shedding': (NaiveEntry, None),
}


def build_plan(pattern, site, seed, **options):
    """Build a plan; the same arguments give the same arrivals."""
    rng = random.Random(f'{pattern}/{site}/{seed}')
    return PATTERNS[pattern](rng, SITES[site], **options)


@functools.lru_cache(maxsize=16)
def run_pattern(pattern, site, seed, policy, options=()):
    """Run one pattern under one policy; return its finished world.

    :param options: (name, value) pairs of the pattern's own options.
    """
    plan = build_plan(pattern, site, seed, **dict(options))
    make_entry, plan.queue = POLICIES[policy]
    return World(plan, make_entry, seed).run()
