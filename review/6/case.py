"""A route comes back while a zone's machine is restarted: flows are reset."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (  # noqa: E402
    Backend,
    Clients,
    Routers,
    World,
    clock,
    ip_number,
    make_route,
)

TROUBLE = os.environ.get('TROUBLE') != '0'
CYCLES = 16
STEP_S = 0.13
GRACE_S = 6
PORT_THAT_RETURNS = 8443
BOUNDS = {
    'reuse_after_s': 2,
    'contact_ms': 4000,
    'drain_ms': 3000,
    'grace_s': GRACE_S,
    'config_apply_ms': 3000,
    'flow_ms': 2000,
    'flow_max_s': 60,
}


class ZoneRouters(Routers):
    """Routers of one zone: its machines, or those of the nearest zones."""

    def __init__(self, world, zone):
        super().__init__(world)
        self._zone = zone

    def choose(self, key):
        ready = [one for one in self.world.instances if self.is_good(one)]
        own = [one for one in ready if one.zone == self._zone]
        self.rotation = [one.packets for one in own or ready]
        return super().choose(key)


def main():
    world = World(Path(__file__).resolve().parent, BOUNDS)
    try:
        return play(world)
    finally:
        world.close()


def play(world):
    net, record = world.net, world.record
    world.routers = ZoneRouters(world, 'c')
    versions = [(True, put_config(world, 1, True))]
    for number, zone in enumerate('aabbcd', 1):
        world.backends.append(make_backend(world, number, zone))
    hosts = [f'{net}.{10 + number}' for number in range(1, 7)]
    for host, zone in zip(hosts, 'aabbcd', strict=True):
        instance = world.add_instance(
            f'front-{zone}-{host[-1]}', host, zone, hosts[:3]
        )
        world.routers.add(instance)
        instance.start()
        # As a rolling restart leaves them: no two watches end together.
        time.sleep(0.35)
    if not world.wait_ready(world.instances):
        record.add('the instances did not become ready')
        return 2
    route = ip_number('127.0.0.50')
    world.clients = Clients(
        world,
        f'{net}.2',
        [(route, PORT_THAT_RETURNS), (route, 443)],
        per_s=40,
        pause_s=0.1,
        life_s=3.0,
    )
    world.start()
    time.sleep(2)
    world.clients.active = True
    record.add('traffic of zone c starts')
    time.sleep(3)
    restarted = world.instances[4]
    for cycle in range(CYCLES):
        versions.append((False, put_config(world, 2 + 2 * cycle, False)))
        time.sleep(2)
        stopping = clock()
        if TROUBLE:
            record.add(f'{restarted.name} gets SIGTERM')
            restarted.send_signal(signal.SIGTERM)
        # Watches end at regular intervals; each cycle meets another moment.
        time.sleep(STEP_S * (cycle % 3))
        versions.append((True, put_config(world, 3 + 2 * cycle, True)))
        if TROUBLE:
            restart(restarted)
        time.sleep(max(0, stopping + 3.5 + STEP_S * (cycle % 5) - clock()))
    world.clients.active = False
    time.sleep(1)
    return judge(world, versions)


def put_config(world, version, whole):
    """Write a configuration; return the time of its confirmation."""
    routes = [make_route('r-kept', '127.0.0.50', 443, 'booking')]
    if whole:
        routes.append(
            make_route(
                'r-returns',
                '127.0.0.50',
                PORT_THAT_RETURNS,
                'booking',
                'non_idempotent',
            )
        )
    world.put_config(version, routes, [{'name': 'booking'}])
    return clock()


def restart(instance):
    try:
        instance.popen.wait(GRACE_S)
    except subprocess.TimeoutExpired:
        instance.kill()
    instance.start()


def make_backend(world, number, zone):
    backend = Backend(
        world,
        0xA0000000 + number,
        'booking',
        zone,
        f'{world.net}.{100 + number}',
        slots=4,
        work_s=0.02,
    )
    backend.register()
    return backend


def judge(world, versions):
    """Check FLOW (a) on flows that no configuration drops.

    Counted are flows whose SYN was sent after the confirmation of a version
    with their route, and that were reset before a later version dropped it.
    All backends live all the while.
    """
    record = world.record
    broken = 0
    for at, key, state, of_system in world.resets:
        backend = world.open_flows.get(key)
        if backend is None or not of_system:
            continue
        sent = world.syn_sent_at[key]
        before = [found for found in versions if found[1] <= sent]
        during = [found for found in versions if sent < found[1] <= at]
        if key[3] == PORT_THAT_RETURNS and not before[-1][0]:
            continue
        if any(not whole for whole, _ in during):
            continue
        broken += 1
        record.add(
            f'at {record.since_start(at):.3f} the system reset a flow to port'
            f' {key[3]} that was open at {backend.name}; its SYN was sent'
            f' {sent - before[-1][1]:.3f} s after the last version was'
            f' confirmed, {at - sent:.3f} s before the reset'
        )
    record.add(f'{broken} open flows were reset')
    if not world.clients.counts.get('answered'):
        return 2
    record.add('FLOW broken' if broken else 'FLOW held')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
