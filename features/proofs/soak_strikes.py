"""How each strike of a soak's plan is carried out.

Each is a generator that yields the seconds until its next step; the last
step takes the fault back.
"""

import signal
import time

from features.proofs.soak_checks import BOUND_S, SLACK_S
from features.proofs.soak_world import GRACE_S

POLL_S = 0.05
DUE_S = BOUND_S + SLACK_S + 1.5
"""How long a change stays, so that a late new flow is seen."""

LAPSE_S = 1.5
REUSE_S = 2.0
PRESS_TURNS = 40
PRESS_ASKS = 6
"""240 requests in a second for targets that serve 120."""


def _pick_instances(world, strike, least=1):
    """Take a free instance that serves; none if others must stay."""
    free = [one for one in world.instances if not one.busy and one.misses < 2]
    if len(free) <= least:
        return []
    one = free[strike.pick % len(free)]
    one.busy = True
    return [one]


def _pick_target(world, strike):
    free = [
        target
        for target in world.targets
        if not target.busy and target.service != 'probe'
    ]
    target = free[strike.pick % len(free)]
    target.busy = True
    return target


def _pick_zone(strike):
    return 'ab'[strike.pick % 2]


def _await_end(world, one):
    """Wait for a planned stop's end; the platform kills after a while."""
    ends_at = time.monotonic() + 2 * GRACE_S
    while one.proc.popen.poll() is None:
        if time.monotonic() > ends_at:
            world.tape.report(f'{one.name} did not end after SIGTERM')
            world.send(one, signal.SIGKILL)
        yield POLL_S
    code = one.proc.popen.returncode
    if one.ending == 'stop' and code:
        world.tape.report(f'{one.name} ended with {code} after SIGTERM')


def _restart(world, one, after_s):
    yield after_s
    one.misses = 2
    world.start(one)
    one.busy = False


def _kill(world, one, for_s):
    world.send(one, signal.SIGKILL)
    one.proc.popen.wait()
    yield from _restart(world, one, for_s)


def stop(world, strike):
    for one in _pick_instances(world, strike):
        world.send(one, signal.SIGTERM)
        yield from _await_end(world, one)
        yield from _restart(world, one, strike.for_s)


def kill(world, strike):
    for one in _pick_instances(world, strike):
        yield from _kill(world, one, strike.for_s)


def kill_young(world, strike):
    """A process that has just started gets the signal of new settings.

    No sooner than its socket is open: nothing in the program can guard the
    interpreter's own start.
    """
    for one in _pick_instances(world, strike):
        yield from _kill(world, one, strike.for_s)
        while not world.has_socket(one) and not one.ending:
            yield POLL_S / 5
        yield strike.pick % 8 * POLL_S
        if not one.ending:
            world.send(one, signal.SIGHUP)


def pause(world, strike):
    for one in _pick_instances(world, strike):
        world.send(one, signal.SIGSTOP)
        yield strike.for_s
        world.send(one, signal.SIGCONT)
        one.busy = False


def pause_and_stop(world, strike):
    for one in _pick_instances(world, strike):
        world.send(one, signal.SIGSTOP)
        yield strike.for_s / 2
        world.send(one, signal.SIGTERM)
        yield strike.for_s / 2
        world.send(one, signal.SIGCONT)
        yield from _await_end(world, one)
        yield from _restart(world, one, strike.for_s)


def kill_zone(world, strike):
    for one in world.instances:
        if one.zone == _pick_zone(strike) and not one.busy:
            one.busy = True
            world.play(_kill(world, one, strike.for_s))
    yield strike.for_s


def settings(world, strike):
    one = world.instances[strike.pick % len(world.instances)]
    world.write_settings(one, 2500 + strike.pick % 500)
    if strike.kind == 'hang up' and one.misses < 2 and not one.ending:
        world.send(one, signal.SIGHUP)
    yield strike.for_s


def target_crash(world, strike):
    target = _pick_target(world, strike)
    target.crash()
    yield LAPSE_S
    world.end_target(target)
    world.add_target(target.service, target.zone)


def target_reborn(world, strike):
    target = _pick_target(world, strike)
    target.crash()
    yield min(strike.for_s, LAPSE_S)
    target.alive = True
    world.put_target(target)
    target.busy = False


def target_drain(world, strike):
    target = _pick_target(world, strike)
    world.add_target(target.service, target.zone)
    target.draining_since = time.monotonic()
    world.put_target(target)
    yield DUE_S
    world.end_target(target)


def target_reuse(world, strike):
    """A target's address goes to one of the other service."""
    target = _pick_target(world, strike)
    world.add_target(target.service, target.zone)
    world.end_target(target)
    yield REUSE_S
    other = 'search' if target.service == 'archive' else 'archive'
    world.add_target(other, target.zone, target.address)


def _set_target(name):
    def strike_target(world, strike):
        target = _pick_target(world, strike)
        setattr(target, name, True)
        yield strike.for_s
        setattr(target, name, False)
        target.busy = False

    return strike_target


def _set_path(name, value):
    def strike_path(world, strike):
        for one in _pick_instances(world, strike, least=0):
            setattr(one, name, value)
            yield strike.for_s
            setattr(one, name, 0)
            one.busy = False

    return strike_path


def _set_store(fault, most=None):
    def strike_store(world, strike):
        first = strike.pick % len(world.instances) if most else 0
        ways = [one.way for one in world.instances][first:][:most]
        for way in ways:
            way.fault = fault
        yield strike.for_s
        for way in ways:
            way.fault = ''

    return strike_store


def store_restored(world, strike):
    backup = world.store.back_up()
    yield strike.for_s
    world.store.restore(backup)
    world.tape.untold_at = time.monotonic() + POLL_S
    yield POLL_S
    world.put_all_again()


def config(world, strike):
    world.change_routes({'probe'})
    yield 0


def route_dropped(world, strike):
    if 'archive' not in world.tape.dropped:
        world.change_routes({'archive'})
        world.tape.dropped['archive'] = time.monotonic()
        yield DUE_S
        world.tape.dropped.pop('archive')
        world.tape.undropped['archive'] = time.monotonic()
        world.change_routes({'archive'})


def zone_drained(world, strike):
    if not world.tape.drained:
        zone = _pick_zone(strike)
        world.tape.drained[zone] = time.monotonic()
        world.store.put('evacuations', zone, {})
        yield DUE_S
        world.tape.drained.pop(zone)
        world.remove('evacuations', zone)


def zone_cut(world, strike):
    """A zone is drained and cut off from the other's targets under load."""
    here, there = ('ab', 'ba')[strike.pick % 2]
    now = time.monotonic()
    world.tape.cuts[here, there] = now + DUE_S
    world.tape.murky_until = max(world.tape.murky_until, now + 2 * DUE_S)
    world.play(press(world, strike))
    yield from zone_drained(world, strike)


def press(world, strike):
    service = ('search', 'archive')[strike.pick // 2 % 2]
    callers = world.callers[_pick_zone(strike)]
    now = time.monotonic()
    world.tape.murky_until = max(world.tape.murky_until, now + DUE_S)
    for _ in range(PRESS_TURNS):
        for number in range(PRESS_ASKS):
            callers.ask(service, time.monotonic(), once=number < 2)
        yield 1 / PRESS_TURNS


STRIKES = {
    'stop': (3, stop),
    'kill': (3, kill),
    'kill young': (2, kill_young),
    'pause': (3, pause),
    'pause and stop': (1, pause_and_stop),
    'kill zone': (1, kill_zone),
    'settings': (1, settings),
    'hang up': (2, settings),
    'target crash': (2, target_crash),
    'target reborn': (2, target_reborn),
    'target drain': (3, target_drain),
    'target full': (2, _set_target('full')),
    'target slow': (2, _set_target('slow')),
    'target reuse': (2, target_reuse),
    'store silent': (1, _set_store('silent')),
    'store refused': (2, _set_store('refused', 2)),
    'store lost': (1, _set_store('lost')),
    'store slow': (1, _set_store('slow')),
    'store restored': (1, store_restored),
    'config': (4, config),
    'route dropped': (1, route_dropped),
    'zone drained': (1, zone_drained),
    'zone cut': (1, zone_cut),
    'press': (2, press),
    'path lossy': (2, _set_path('loss', 0.3)),
    'path late': (1, _set_path('late', True)),
}
"""What may be struck: its weight in plans, and how it is carried out."""
