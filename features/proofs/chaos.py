"""Runs of the small world under random faults and changes, from a seed."""

from features.proofs import faults
from features.proofs.world import World

WARM_S = 1.0
CALM_S = 4.0


def run_seed(seed, count):
    """Run one seed with a number of faults or planned changes.

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
    """Let one fault or one planned change come, at random."""
    name = world.rng.choice([*faults.WORLD_FAULTS, *PLANNED])
    alive = [
        node.name
        for node in world.nodes.values()
        if node.alive and not node.leaving
    ]
    if len(alive) < 2 and name.startswith(('entry', 'planned stop')):
        return 'none left to strike'
    targets = [name for name in world.targets if '9' not in name]
    ctx = faults.Context(world.rng.choice(alive), world.rng.choice(targets))
    {**faults.WORLD_FAULTS, **PLANNED}[name](world, ctx)
    return f'{name}: {ctx.node}, {ctx.target}'


def _join_entry(world, ctx):
    world.start_entry(f'e{len(world.nodes) + 1}')


def _stop_entry(world, ctx):
    _join_entry(world, ctx)
    world.nodes[ctx.node].leave()


def _drain_target(world, ctx):
    world.drain_target(ctx.target)


def _rotate_key(world, ctx):
    world.rotate_key()


PLANNED = {
    'planned stop': _stop_entry,
    'join': _join_entry,
    'drain': _drain_target,
    'key rotation': _rotate_key,
}
"""Planned changes that come between the faults."""
