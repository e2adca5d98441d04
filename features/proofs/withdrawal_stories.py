"""Stories of a zone that is drained and cut off while callers reach it.

Each returns the violations that it saw, so that the same story is played
with its guard and without it.
"""

from cornelgap.decisions.withdrawal import OpeningReport, Situation, Withdrawal
from cornelgap.forwarding.zone_standing import UNDECIDED
from features.proofs.forwarding_desk import make_target
from features.proofs.withdrawal_world import FAR, NEAR, OTHER, STEP_S, World

CUT_S = 6.0
KNOWN_S = 1.3
"""Time after the cut in which the hub hears that openings fail."""

BACK_S = 3.0
"""Time after the cut in which the zone is back in rotation."""

LEAVES_S = 3.5
"""Time after the cut in which routers have let go: about one second until
flows show it, one for the verdict and one for routers."""


def start_world(**settings):
    """Start zone b, drained, whose callers hold flows in zone a."""
    world = World(**settings)
    for target in FAR:
        world.hold_flows(4, target)
    world.run(2)
    return world


def cut_zone(world, seconds):
    """Cut zone b off for some time.

    :returns: time of the cut.
    """
    world.cut = True
    began = world.now
    world.run(seconds)
    return began


def find_lost(world, since, until=float('inf')):
    """Return an objection if callers of a time have lost their requests."""
    lost = sum(since <= began < until for began, _ in world.lost)
    return [f'{lost} callers of {since} to {until} are lost'] if lost else []


def find_changes(world, most=0):
    """Return an objection if routers have swapped too often."""
    changes = world.changes[1:]
    if len(changes) <= most:
        return []
    return [f'routers have swapped {len(changes)} times: {changes}']


def find_left(world, began, within=LEAVES_S):
    """Return an objection unless the zone left the rotation in time."""
    left = [at for at, inside in world.changes if not inside]
    if not left:
        return ['the zone stays in rotation']
    late = left[0] - began
    return [f'the zone leaves after {late:.2f} s'] if late > within else []


def play_withdrawn_zone():
    """Zone b is drained and cut off; its callers go on calling."""
    world = start_world()
    began = cut_zone(world, CUT_S)
    found = find_left(world, began)
    if not found:
        found = find_lost(world, world.changes[1][0])
    if not world.is_left:
        found.append('the zone is back before the cut is over')
    world.cut = False
    over = world.now
    world.run(BACK_S)
    if world.is_left:
        found.append('the zone stays out of rotation')
    world.run(3)
    return found + find_lost(world, over) + find_changes(world, most=2)


def play_withdrawn_openings():
    """Callers call between the verdict and the routers' letting go."""
    world = start_world()
    world.cut = True
    while not all(node.out for node in world.list_alive()):
        world.run(0.05)
        if world.now > 120:
            return ['the zone does not leave']
    decided = world.now + STEP_S
    world.run(3)
    return find_lost(world, decided)


def play_withdrawn_undecided():
    """Callers call while the zone cannot serve and has not left yet."""
    world = start_world()
    began = cut_zone(world, CUT_S)
    return find_lost(world, began + KNOWN_S)


def play_withdrawn_by_hub_only():
    """The verdict has to reach all instances, or routers keep the zone."""
    world = start_world()
    return find_left(world, cut_zone(world, CUT_S))


def play_withdrawn_hub_dies():
    """The hub that decides dies, before its verdict and after it."""
    found = []
    for before in (0.3, 3.5):
        world = start_world()
        began = cut_zone(world, before)
        world.dead.add('n0')
        world.run(8 - before)
        found += find_left(world, began, within=LEAVES_S + 2)
        found += find_changes(world, most=1)
        world.cut = False
        world.run(6)
        if world.is_left:
            found.append('nobody takes the verdict back')
    return found


def play_withdrawn_alone():
    """One instance is cut off from everybody, its own zone too."""
    world = start_world()
    world.alone.add('n1')
    world.run(10)
    node = world.instances['n1']
    found = ['it leaves the rotation alone'] if node.out else []
    return found + find_changes(world)


def play_withdrawn_last():
    """No other zone has a target that may take flows."""
    found = []
    for drained, targets in (
        (('a',), NEAR + FAR),
        (('a', 'b'), NEAR + FAR),
        (('b',), NEAR),
    ):
        world = start_world(drained=drained, targets=targets)
        world.crashed = set(NEAR)
        cut_zone(world, 8)
        found += find_changes(world)
        if any(node.out for node in world.list_alive()):
            found.append('an instance is not ready')
    return found


def play_withdrawn_crashed():
    """The zone's targets have crashed, their registrations are still there."""
    world = start_world(drained=())
    for target in NEAR:
        world.hold_flows(4, target)
    world.run(2)
    world.crashed = set(NEAR)
    return find_left(world, cut_zone(world, CUT_S), within=LEAVES_S + 1)


def play_withdrawn_flapping():
    """A cut comes and goes for a minute, fast and slowly."""
    found = []
    for away, back in ((0.5, 0.5), (4, 1.5), (3, 4)):
        world = start_world()
        until = world.now + 60
        while world.now < until:
            cut_zone(world, away)
            world.cut = False
            world.run(back)
        found += find_changes(world, most=10)
    return found


def play_withdrawn_order_back():
    """The order is taken back while the cut lasts."""
    world = start_world()
    cut_zone(world, 5)
    world.order()
    over = world.now
    world.run(3)
    found = ['the zone stays out of rotation'] if world.is_left else []
    at_home = [node for _, _, node in world.served[-20:]]
    if world.far in at_home:
        found.append('callers are served elsewhere')
    return found + find_lost(world, over)


def play_withdrawn_start():
    """Instances start again while the zone is out of rotation."""
    found = []
    for number in (0, 2):
        world = start_world()
        cut_zone(world, 4)
        world.dead.add(f'n{number}')
        world.run(1)
        world.start(number)
        # Its first question and the answer to it take a while.
        world.alone.add(f'n{number}')
        world.run(0.6)
        world.alone.clear()
        world.run(6)
        found += find_changes(world, most=1)
    return found


def play_withdrawn_start_without_key():
    """An instance starts meanwhile and gets no key, as the store is away."""
    world = start_world()
    cut_zone(world, 4)
    world.dead.add('n2')
    world.run(1)
    world.start(2, keyed=False)
    world.run(10)
    found = find_changes(world, most=1)
    world.cut = False
    world.run(BACK_S + 4)
    if world.instances['n2'].out:
        found.append('it stays out of rotation for good')
    return found


def play_withdrawn_other_hub():
    """Another instance becomes first hub while the zone is undecided."""
    world = start_world()
    world.cut = True
    before = world.instances['n0'].standing
    while (
        before.make_beat_fields(world.now).get('withdrawal', [0])[0]
        != UNDECIDED
    ):
        world.run(0.05)
        if world.now > 120:
            return ['the zone is never undecided']
    world.start(-1)
    world.run(1)
    if (
        before.make_beat_fields(world.now).get('withdrawal', [0])[0]
        == UNDECIDED
    ):
        return ['one that is no hub any more keeps callers waiting']
    return []


def play_withdrawn_served_flows():
    """Most callers hold flows in the zone, which go on being served."""
    world = start_world(per_s=10)
    for target in NEAR:
        world.hold_flows(20, target)
    world.run(2)
    cut_zone(world, CUT_S)
    return find_changes(world)


def play_withdrawn_other_service():
    """Another service has targets in this zone too and loses nothing."""
    other = make_target(13, service='archive')
    world = start_world(drained=(), targets=(*FAR, *OTHER, other))
    world.ports = [443, 80]
    found = find_left(world, cut_zone(world, CUT_S))
    if not found:
        found = find_lost(world, world.changes[1][0])
    return found


def play_withdrawn_only_here():
    """Another service, more in demand, has targets in this zone alone."""
    world = start_world(drained=(), targets=FAR + OTHER)
    world.ports = [443, 80, 80]
    cut_zone(world, CUT_S)
    return find_changes(world)


def play_withdrawn_left_flows():
    """A few open flows stay on targets of the zone that leaves."""
    world = start_world()
    for target in NEAR:
        world.hold_flows(2, target)
    world.run(2)
    began = cut_zone(world, CUT_S)
    found = find_left(world, began)
    world.run(1)
    left = [flow for flow in world.held if flow['target'] in NEAR]
    if left:
        found.append(f'{len(left)} callers wait for targets beyond the cut')
    return found


def play_withdrawn_return():
    """The cut is over; the zone's first callers call again."""
    world = start_world()
    cut_zone(world, 5)
    world.cut = False
    while world.is_left:
        world.run(0.05)
    back = world.now
    world.run(4)
    return find_lost(world, back) + find_changes(world, most=2)


def play_withdrawn_silent_targets():
    """All targets of the other zone are lost, and its instances are heard."""
    world = start_world()
    world.crashed = set(FAR)
    began = world.now
    world.run(12)
    late = [at for at, ended in world.lost if at > began + 4 and ended - at > 1]
    # Some openings are probes.
    found = [f'{len(late)} callers are kept waiting'] if len(late) > 10 else []
    return found + find_changes(world)


def play_withdrawn_standstill():
    """The only instance of a zone stands still just after a cut began."""
    report = OpeningReport(unserved=20, beyond=frozenset('a'))
    dark = Situation({'n0': report}, 1, {}, frozenset('a'))
    verdict = Withdrawal()
    for now in (100, 100.25, 110.25):
        verdict.decide(dark, now)
    return ['the zone leaves by what was seen long ago'] * verdict.withdrawn
