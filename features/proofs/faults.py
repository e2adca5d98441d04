"""Faults of the matrix, as data: a name and what happens to the world.

Each takes (world, context) where the context names the process, target and
caller that the step at hand concerns; see :mod:`features.proofs.matrix`.
"""

from dataclasses import dataclass, replace

PAUSE_S = 2.5
"""Past the deadline of a hold and past being called lost."""

SOON_S = 1.0
LONG_S = 3.0


@dataclass(slots=True)
class Context:
    """Whom a step concerns.

    :param node: name of an entry instance.
    :param target: name of a target.
    """

    node: str
    target: str


def kill_entry(world, ctx):
    """End an entry process; another one joins later under a new name."""
    world.nodes[ctx.node].kill()
    world.loop.at(SOON_S, world.start_entry, f'e{len(world.nodes) + 1}')


def pause_entry(world, ctx):
    """Stop an entry process and wake it when deadlines have passed."""
    world.nodes[ctx.node].pause(PAUSE_S)


def restart_entry(world, ctx):
    """Replace an entry process at the same address."""
    if world.nodes[ctx.node].alive:
        world.restart_entry(ctx.node)


def kill_target(world, ctx):
    """End a target and start it again later, cold."""
    target = world.targets[ctx.target]
    if target.alive:
        target.kill()
        world.loop.at(LONG_S, target.revive)


def drain_target(world, ctx):
    """Have a target drain, by its own word and by the platform's list."""
    world.list_leaving(ctx.target)


def chill_target(world, ctx):
    """Make a target cold."""
    world.targets[ctx.target].cold_until = world.loop.now + LONG_S


def shed_target(world, ctx):
    """Make a target shed all new work for a while."""
    _set_for(world, world.targets[ctx.target], 'shedding', True, SOON_S)


def slow_target(world, ctx):
    """Make a target answer after its callers' deadline for a while."""
    _set_for(world, world.targets[ctx.target], 'late_s', 1.6, SOON_S)


def reuse_address(world, ctx):
    """Give a target's address to a target of another service."""
    old = world.targets[ctx.target]
    if not old.alive:
        return
    old.kill()
    other = 'briefing' if old.service == 'booking' else 'booking'
    world.start_target(f'{other}9{ctx.target}', other, old.zone, old.address)


def stop_platform(world, ctx):
    """Have the platform down for a while."""
    world.blinded = True
    _set_for(world, world.platform, 'down', True, LONG_S)


def slow_platform(world, ctx):
    """Have the platform answer slowly for a while."""
    world.blinded = True
    _set_for(world, world.platform, 'slow_s', 1.5, LONG_S)


def age_platform(world, ctx):
    """Have reads come from a replica that lags."""
    world.blinded = True
    _set_for(world, world.platform, 'stale', True, LONG_S)


def kill_watch(world, ctx):
    """Have all watches die silently."""
    _set_for(world, world.platform, 'watch_dead', True, LONG_S)


def lose_write_answer(world, ctx):
    """Apply a write and lose its answer; the writer reads it back."""
    newest = world.platform.newest()
    world.publish(_touch, 'lost')
    # Whoever lost the answer reads back by write id and does not repeat.
    if 'lost' not in world.platform.writes:
        world.publish(_touch, 'lost')
    assert world.platform.newest().revision <= newest.revision + 1


def race_operators(world, ctx):
    """Have two operators write on the same revision: one wins."""
    newest = world.platform.newest()
    first = replace(newest, revision=newest.revision + 1)
    wins = [
        world.platform.write(first, newest.revision, name)
        for name in ('one', 'two')
    ]
    assert sum(wins) <= 1


def cut_one_way(world, ctx):
    """Cut one direction between the zones for a while."""
    world.blinded = True
    _cut_for(world, [('z1', 'z2')])


def cut_both_ways(world, ctx):
    """Cut the zones off from each other for a while."""
    world.blinded = True
    _cut_for(world, [('z1', 'z2'), ('z2', 'z1')])


def lag_list(world, ctx):
    """Leave a dead entry instance in the list and miss a live one."""
    world.platform.listed = [
        it for it in world.platform.listed if it.name != ctx.node
    ]
    world.loop.at(LONG_S, _list_again, world, ctx.node)


def _list_again(world, name):
    node = world.nodes[name]
    if node.alive:
        world._list_entry(node)


def _touch(cfg):
    return cfg


def _set_for(world, item, name, value, length_s):
    old = type(item).__dataclass_fields__[name].default
    setattr(item, name, value)
    world.loop.at(length_s, setattr, item, name, old)


def _cut_for(world, pairs):
    world.fabric.cuts.update(pairs)
    world.loop.at(LONG_S, world.fabric.cuts.difference_update, pairs)


PACKET_FAULTS = {
    'packet lost': 'lost',
    'packet doubled': 'doubled',
    'packet late': 'late',
    'packet reordered': 'reordered',
}

WORLD_FAULTS = {
    'entry killed': kill_entry,
    'entry paused and woken late': pause_entry,
    'entry restarted at its address': restart_entry,
    'target killed': kill_target,
    'target draining': drain_target,
    'target cold': chill_target,
    'target shedding': shed_target,
    'target answering late': slow_target,
    'target address reused': reuse_address,
    'platform down': stop_platform,
    'platform slow': slow_platform,
    'platform stale': age_platform,
    'write applied, answer lost': lose_write_answer,
    'watch dead': kill_watch,
    'zone cut one way': cut_one_way,
    'zone cut both ways': cut_both_ways,
    'instance list lags': lag_list,
    'operators race': race_operators,
}
