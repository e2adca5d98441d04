"""Stories of targets that have just started and bear few new flows.

Each returns the violations that it saw, so that the same story is played
with its guard and without it.
"""

from collections import Counter

from cornelgap.decisions import cold_starts
from cornelgap.decisions.cold_starts import ColdLimit
from cornelgap.forwarding.directory_view import Warmup
from cornelgap.forwarding.packets import Drop, Reset
from features.proofs.cold_world import ColdWorld
from features.proofs.forwarding_desk import Desk, make_route, make_target
from features.proofs.zone_world import TURN_S

INSTANCES = 29
"""A zone of a deployment of 88 instances."""

SETTLED_S = 5
COLD_S = 2
LIMIT = ColdLimit(1.5, 5)
WARMUPS = {'search': Warmup(COLD_S, 0)}
NAMES = frozenset(f'n{number}' for number in range(INSTANCES))


def judge(world):
    """Return an objection if a target got more than it bears."""
    most = world.count_most()
    if most > world.budget:
        return [f'a cold target got {most} of {world.budget} flows a second']
    return []


def play_cold_rush():
    """All instances of a zone press onto cold targets."""
    world = ColdWorld(INSTANCES)
    world.run(SETTLED_S, press=False)
    world.run(3)
    found = judge(world)
    if world.count_all() < 3 * 3:
        found.append('cold targets get hardly any flow')
    return found


def play_cold_after_power():
    """All instances lose power, and those that others ask first are late."""
    world = ColdWorld(INSTANCES)
    late = (5, 7)
    for number in late:
        world.kill(number)
    world.run(1)
    for number in late:
        world.restart(number)
    world.run(SETTLED_S)
    return judge(world)


def play_cold_restarts():
    """Instances are restarted and killed in turn, and many are added."""
    world = ColdWorld(INSTANCES, targets=20)
    world.run(SETTLED_S, press=False)
    for number in range(0, 24, 3):
        world.restart(number)
        world.kill(number + 1)
        world.run(0.75)
    for number in range(16):
        world.restart(INSTANCES + number)
        world.run(TURN_S)
    world.run(SETTLED_S)
    return judge(world)


def play_cold_two_views():
    """Sixteen instances have joined, and no older one has heard of them."""
    added = frozenset(f'n{number}' for number in range(29, 45))
    found = []
    for key in range(1, 301):
        taken = 0
        for names, actors in ((NAMES, NAMES), (NAMES | added, added)):
            owners, share = cold_starts.choose_owners(key, names, 5)
            taken += share * len(owners & actors)
        if taken > 5:
            found.append(f'a cold target got {taken} of 5 flows a second')
    return found[:1]


def play_cold_cut_off():
    """Six instances are cut off, each alone, for twelve seconds."""
    world = ColdWorld(INSTANCES)
    world.run(SETTLED_S, press=False)
    for number in range(10, 16):
        world.cut_off(number)
    world.run(12)
    world.heal()
    world.run(3)
    return judge(world)


def start_desks(targets, zone='a', limit=LIMIT):
    """Start the engines of all instances of a zone; they know each other."""
    desks = []
    for number in range(INSTANCES):
        desk = Desk(number, zone, f'n{number}', limit)
        desk.set_routes(make_route('search'), warmups=WARMUPS)
        desk.set_targets(*targets)
        desk.engine.note_other_instances(
            {}, INSTANCES, report_interval_s=1, rank=number
        )
        desk.engine.note_members(NAMES)
        desks.append(desk)
    return desks


def open_on_all(desks, seconds, per_s=10):
    """Let each instance open flows.

    :returns: tuple (Counter of openings by target, effects without one).
    """
    taken = Counter()
    refused = []
    for turn in range(int(seconds * per_s)):
        for desk in desks:
            desk.pass_time(1 / per_s)
            target = desk.open(50000 + turn)
            if target is None:
                refused.append(desk.effects[-1])
            else:
                taken[target.name] += 1
    return taken, refused


def play_cold_beside_warm():
    """A target is added while the others have room."""
    cold = make_target(9, cold_until=100 + COLD_S)
    warm = [make_target(number) for number in range(1, 5)]
    taken, refused = open_on_all(start_desks([cold, *warm]), 1)
    found = []
    if taken[cold.name] > 5:
        found.append(f'the cold target got {taken[cold.name]} flows')
    if refused:
        found.append('callers are refused though targets have room')
    return found


def play_cold_of_other_zone():
    """Instances of another zone see an empty target that is cold."""
    cold = make_target(9, zone='b', cold_until=100 + COLD_S)
    warm = [make_target(number) for number in range(1, 5)]
    desks = start_desks([cold, *warm])
    for desk in desks:
        loads = {target.cookie: 60 for target in warm}
        desk.engine.note_other_instances(loads, INSTANCES, report_interval_s=1)
    taken, _ = open_on_all(desks, 1)
    if taken[cold.name]:
        return [f'instances that do not own it sent {taken[cold.name]} flows']
    return []


def play_cold_all():
    """All targets of a service have just started."""
    cold = [
        make_target(number, cold_until=100 + COLD_S) for number in range(1, 5)
    ]
    desks = start_desks(cold)
    taken, refused = open_on_all(desks, 1)
    found = []
    if max(taken.values()) > 5:
        found.append(f'a cold target got {max(taken.values())} flows')
    if any(isinstance(effect, Reset) for effect in refused):
        found.append('callers are turned away though there is room soon')
    if not all(isinstance(effect, Drop) for effect in refused):
        found.append('nobody waits')
    _, late = open_on_all(desks, COLD_S)
    if isinstance(desks[0].effects[-1], Drop) or len(late) > len(refused) * 2:
        found.append('callers wait for targets that are warm')
    return found


def play_cold_return():
    """A zone is taken back whose targets have started anew unseen."""
    near = [make_target(number) for number in range(1, 5)]
    far = [make_target(number, zone='b') for number in range(5, 9)]
    desks = start_desks([*near, *far])
    for desk in desks:
        desk.drain_zones('a')
        desk.pass_time(5)
        desk.confirm()
        desk.drain_zones()
    taken, _ = open_on_all(desks, 1)
    most = max(taken[target.name] for target in near)
    if most > 5:
        return [f'a target that may be cold got {most} flows']
    return []


def play_cold_without_limit():
    """The operators have set no bound on cold targets."""
    cold = make_target(9, cold_until=100 + COLD_S)
    desks = start_desks([cold], limit=None)
    _, refused = open_on_all(desks, 1)
    return ['callers are refused'] if refused else []
