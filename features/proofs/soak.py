"""One soak from a seed: start, a planned stop, strikes, and calm again."""

import time

from features.proofs.soak_plan import LONE_S, make_plan
from features.proofs.soak_strikes import STRIKES
from features.proofs.soak_world import AGAIN_S, IN_ROW, START_S, World

LASTING = 6
LONGEST_S = 60
SHORT_PAUSE_S = 0.1


def run_seed(seed, folder, without=''):
    """Run one seed.

    :param folder: where logs and settings are kept.
    :param without: name of a guard that instances lack.
    :returns: tuple (plan, :class:`~features.proofs.soak_checks.Tape`).
    """
    weights = {kind: weight for kind, (weight, _) in STRIKES.items()}
    plan = make_plan(seed, weights)
    world = World(plan, seed, folder, without)
    tape = world.tape
    try:
        if world.run_until(lambda: _are_ready(world), START_S):
            _strike_all(world, plan)
            _await_service(world)
        else:
            tape.report('not all instances became ready')
    finally:
        world.close()
    if any('a packet was changed' in one.wrong for one in world.targets):
        tape.report('a target got a changed packet')
    return plan, tape


def _are_ready(world):
    return all(one.misses < 2 for one in world.instances)


def _strike_all(world, plan):
    open_now = []

    def carry_out(strike):
        open_now.append(strike)
        yield strike.at_s
        yield from STRIKES[strike.kind][1](world, strike)
        open_now.remove(strike)

    world.tape.lone_until = time.monotonic() + LONE_S
    for zone, callers in world.callers.items():
        for service in ('search', 'archive'):
            for _ in range(LASTING):
                callers.ask(service, time.monotonic(), lasting=True)
        world.play(_ask_now_and_then(world, callers))
    world.play(_probe_all(world))
    for strike in plan.strikes:
        world.play(carry_out(strike))
    if not world.run_until(lambda: not open_now, LONGEST_S):
        world.tape.report(f'strikes that did not end: {open_now}')


def _ask_now_and_then(world, callers):
    for number in iter(int, 1):
        service = world.rng.choice(('search', 'archive'))
        once = world.rng.random() < 0.5
        callers.ask(service, time.monotonic(), once)
        yield SHORT_PAUSE_S


def _probe_all(world):
    while not world.stopped.is_set():
        for one in world.instances:
            if one.misses < 2:
                world.callers[one.zone].probe(one.host, time.monotonic())
        yield 0.4


def _await_service(world):
    """After all faults, requests are served again, and changes in force."""
    open_now = []

    def serve(zone, service):
        row = 0
        while row < IN_ROW:
            request = world.callers[zone].ask(service, time.monotonic())
            yield 0.5
            row = row + 1 if request.number in world.tape.served else 0
        open_now.remove((zone, service))

    for zone in world.callers:
        for service in ('search', 'archive'):
            open_now.append((zone, service))
            world.play(serve(zone, service))

    def is_well():
        probes = world.tape.last_probe
        there = 'probe' in world.routes
        in_force = all(probes.get(one.host) is there for one in world.instances)
        return not open_now and in_force and _are_ready(world)

    if not world.run_until(is_well, AGAIN_S):
        misses = {one.name: one.misses for one in world.instances}
        world.tape.report(
            f'not served again: {open_now}, probes {world.tape.last_probe},'
            f' missed questions {misses}'
        )
