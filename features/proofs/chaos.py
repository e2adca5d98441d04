"""Runs of the small world under random faults, from a seed."""

from features.proofs import faults
from features.proofs.world import World

WARM_S = 1.0
CALM_S = 4.0


def run_seed(seed, count):
    """Run one seed with a number of faults.

    :returns: (violations by checker, doubts told, faults as text).
    """
    world = World(seed)
    log = []
    try:
        world.run(WARM_S)
        for _ in range(count):
            log.append(_strike(world))
            world.run(world.rng.random() * 1.5)
        world.run(CALM_S)
        found = world.finish()
        doubts = sum(one.doubts for one in world.callers.values())
        return found, doubts, log
    finally:
        world.close()


def _strike(world):
    name = world.rng.choice(list(faults.WORLD_FAULTS))
    alive = [node.name for node in world.nodes.values() if node.alive]
    if name.startswith('entry') and len(alive) < 2:
        return 'none left to strike'
    targets = [name for name in world.targets if '9' not in name]
    ctx = faults.Context(world.rng.choice(alive), world.rng.choice(targets))
    faults.WORLD_FAULTS[name](world, ctx)
    return f'{name}: {ctx.node}, {ctx.target}'
