"""Stories of planned changes in the small world, without any fault."""

from cornelgap.core.verdicts import RunState
from features.proofs import records as rec
from features.proofs.world import World

SEEDS = (1, 2, 3)
IN_FORCE_S = 3.0


def _play(script):
    """Play a script on some seeds; collect what is wrong."""
    lines = []
    for seed in SEEDS:
        world = World(seed)
        try:
            lines += script(world)
            for found in world.finish().values():
                lines += found[:3]
        finally:
            world.close()
    return lines


def _find_cuts(world):
    """Find requests left in doubt and flows that lost their home."""
    doubts = [
        f'{said.caller} was left in doubt about {said.req.number}'
        for said in world.tape.pick(rec.Judged)
        if said.ran is RunState.MAY_HAVE_RUN
    ]
    lost = [
        f'{one.name} lost its home'
        for one in world.callers.values()
        if one.rehomed
    ]
    return doubts + lost


def _replace_entries(world):
    world.run(1)
    for number in (1, 2, 3):
        world.start_entry(f'e{number + 3}')
        world.run(2)
        world.nodes[f'e{number}'].leave()
        world.run(5)
    left = [
        f'{name} did not finish its stop'
        for name in ('e1', 'e2', 'e3')
        if not world.nodes[name].finished
    ]
    return left + _find_cuts(world)


def play_rolling_replacement():
    """All entries are replaced one after another under work."""
    return _play(_replace_entries)


def _drain_targets(world):
    world.run(1)
    world.drain_target(world.find_pin('booking'))
    world.run(2)
    world.list_leaving(world.find_pin('briefing'))
    world.run(6)
    return _find_cuts(world)


def play_drained_targets():
    """One target is drained by operators, one by the platform's list."""
    return _play(_drain_targets)


def _replace_all(world):
    world.run(1)
    world.drain_target(world.find_pin('booking'))
    lines = _replace_entries(world)
    world.drain_target(world.find_pin('briefing'))
    world.run(5)
    return lines


def play_planned_changes():
    """Entries and targets change at the same time."""
    return _play(_replace_all)


def _publish_often(world):
    world.run(1)
    world.platform.stale = True
    for _ in range(4):
        world.publish(lambda cfg: cfg)
        world.run(0.4)
    world.platform.watch_dead = True
    world.platform.stale = False
    world.publish(lambda cfg: cfg)
    world.run(IN_FORCE_S)
    newest = world.platform.newest().revision
    return [
        f'{node.name} has revision {node.engine.state.cfg.revision}'
        f' and not {newest}'
        for node in world.nodes.values()
        if node.engine.state.cfg.revision != newest
    ]


def play_many_changes():
    """Changes follow each other while reads lag and a watch is dead."""
    return _play(_publish_often)
