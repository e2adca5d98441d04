"""The world of a soak: instances as processes, all else in this process.

Two zones, a store, and routers in threads of their own; targets and callers
on one thread, so what they see has one order.
"""

import heapq
import itertools
import os
import random
import selectors
import signal
import threading
import time
from functools import partial
from http.client import HTTPException
from pathlib import Path
from types import SimpleNamespace

from bench.procs import Proc, pick_ports
from features.proofs.soak_checks import Tape
from features.proofs.soak_ends import PLACES, SoakCallers, SoakTarget
from standins import packet_ends as ends
from standins.object_store import ObjectStore, start_store

GRACE_S = 6
START_S = 20
AGAIN_S = 20
"""Longest waits for the first and the last service; the machine may be busy."""

IN_ROW = 3
STEP_S = 0.005
NETS = 128
CUT_OFF = ('silent', 'refused', 'lost')
SETTINGS = """
node_name = "{name}"
ip = "{host}"
zone = "{zone}"
internal_ports = [{inner}, {inner}]
seeds = ["{seed}:1"]
[listen]
datagram_addr = "{host}:{packets}"
ready = "{host}:{ready}"
[bounds]
config_apply_ms = {apply_ms}
drain_ms = 3000
grace_s = 6
[platform]
address = "127.0.0.1:{store}"
"""


class StoreWay:
    """One instance's way to the store.

    :ivar fault: empty, ``silent``, ``refused``, ``lost`` (calls are carried
        out, their answers are lost) or ``slow``.
    """

    def __init__(self, store):
        """Begin without a fault."""
        self.fault = ''
        self._store = store

    @property
    def silent(self):
        """Say whether calls get no answer for now."""
        return self.fault == 'silent'

    @property
    def refused(self):
        """Return whose calls get 503."""
        return {'*'} if self.fault == 'refused' else set()

    def __getattr__(self, name):
        """Pass on to the store, with the fault of the moment."""
        found = getattr(self._store, name)
        if not callable(found):
            return found

        def carry_out(*args, **options):
            answer = found(*args, **options)
            if self.fault == 'slow':
                time.sleep(0.2)
            if self.fault == 'lost':
                raise HTTPException('the answer is lost')
            return answer

        return carry_out


class Instance:
    """One instance through its lifetimes.

    :ivar ending: why it may end: empty, ``stop`` or ``kill``.
    """

    def __init__(self, name, host, zone, way):
        """Prepare; the world starts its process."""
        self.name = name
        self.host = host
        self.zone = zone
        self.way = way
        self.proc = None
        self.ending = ''
        self.busy = False
        self.paused = False
        self.misses = 2
        self.loss = 0
        self.late = False

    @property
    def in_touch(self):
        """Say whether it hears the store."""
        running = self.misses < 2 and not self.paused and not self.ending
        return running and self.way.fault not in CUT_OFF


class World:
    """All parts of one soak, run by :meth:`run_until`."""

    def __init__(self, plan, seed, folder, without=''):
        """Build all parts and start the instances.

        :param without: name of a guard that instances lack.
        """
        self.folder = Path(folder)
        self.rng = random.Random(seed)
        self.without = without
        self.stopped = threading.Event()
        self.selector = selectors.DefaultSelector()
        self.store = ObjectStore()
        self.orders = itertools.count()
        self.numbers = itertools.count(1)
        self.version = 0
        self.targets = []
        self.servers = []
        self.routes = {'search', 'archive', 'probe'}
        self._jobs = []
        # A net of its own, so that other runs on the machine meet no port.
        self._net = f'127.{64 + os.getpid() % NETS}'
        self._ports = dict(
            zip(('packets', 'ready', 'inner'), pick_ports(3), strict=True)
        )
        self.instances = list(self._make_instances(plan.zones))
        zone_of = {one.host: one.zone for one in self.instances}
        self.by_host = {one.host: one for one in self.instances}
        self.tape = Tape(self._ports['packets'], zone_of)
        self.put_config()
        for zone in plan.zones:
            for service in ('search', 'archive') * 3 + ('probe',):
                self.add_target(service, zone)
        self.callers = {}
        for number, zone in enumerate(plan.zones, 2):
            address = (f'{self._net}.0.{number}', self._ports['packets'])
            self.callers[zone] = SoakCallers(
                address,
                self.make_routers(zone),
                self.tape,
                self.rng,
                self.put_later,
            )
        for callers in self.callers.values():
            self.selector.register(callers.sock, selectors.EVENT_READ, callers)
        for one in self.instances:
            self.start(one)
            threading.Thread(
                target=self._ask_ready, args=[one], daemon=True
            ).start()

    def _make_instances(self, zones):
        for row, (zone, count) in enumerate(zones.items(), 1):
            for number in range(1, count + 1):
                way = StoreWay(self.store)
                self.servers.append(start_store(way))
                way.port = self.servers[-1].server_address[1]
                host = f'{self._net}.{row}.{number}'
                yield Instance(f'{zone}{number}', host, zone, way)

    def write_settings(self, one, apply_ms=3000):
        """Write an instance's settings file, whole at any time."""
        text = SETTINGS.format(
            name=one.name,
            host=one.host,
            zone=one.zone,
            seed=f'{self._net}.1.1',
            apply_ms=apply_ms,
            store=one.way.port,
            **self._ports,
        )
        path = self.folder / f'{one.name}.toml'
        path.with_suffix('.new').write_text(text)
        path.with_suffix('.new').replace(path)

    def start(self, one):
        """Start an instance's next lifetime."""
        self.write_settings(one)
        args = ['cornelgap.platform.role']
        if self.without:
            args = ['features.proofs.soak_role', self.without]
        env = {'CORNELGAP_CONFIG': str(self.folder / f'{one.name}.toml')}
        one.proc = Proc(
            one.name, args, self.folder, greets=False, env=env, to_log=True
        )
        one.ending = ''
        one.paused = False
        self.tape.seen.pop(one.host, None)

    def send(self, one, signum):
        """Send a signal, and note what it leads to."""
        if signum == signal.SIGTERM:
            one.ending = 'stop'
        elif signum == signal.SIGKILL:
            one.ending = 'kill'
        elif signum in {signal.SIGSTOP, signal.SIGCONT}:
            one.paused = signum == signal.SIGSTOP
        one.proc.send_signal(signum)

    def close(self):
        """End all that was started."""
        self.stopped.set()
        for one in self.instances:
            one.proc.popen.kill()
            one.proc.popen.wait()
            one.way.fault = ''
        for server in self.servers:
            server.shutdown()
            server.server_close()
        for end in (*self.targets, *self.callers.values()):
            end.sock.close()
        self.selector.close()

    def add_target(self, service, zone, address=None):
        """Start a target's first lifetime and register it."""
        number = next(self.numbers)
        address = address or (f'{self._net}.3.{number}', 0)
        target = SoakTarget(number, service, zone, address, self.tape)
        self.targets.append(target)
        self.selector.register(target.sock, selectors.EVENT_READ, target)
        self.put_target(target)

    def put_target(self, target):
        """Register a target as it is now."""
        host, port = target.address
        spec = {
            'service': target.service,
            'address': f'{host}:{port}',
            'zone': target.zone,
            'max_concurrent': 2,
            'state': 'ready' if target.draining_since is None else 'draining',
            'warmup_left_ms': 0,
            'seq': 1,
            'born': target.born,
        }
        self.store.put('servers', f'i-{target.number:08x}', spec)

    def end_target(self, target):
        """End a target for good."""
        target.crash()
        self.remove('servers', f'i-{target.number:08x}')
        self.targets.remove(target)
        self.selector.unregister(target.sock)
        target.sock.close()

    def remove(self, kind, name):
        """Remove an object of the store, if it is there."""
        if self.store.get(kind, name):
            self.store.remove(kind, name)

    def has_socket(self, one):
        """Say whether an instance has opened its socket for packets."""
        try:
            ends.open_socket((one.host, self._ports['packets'])).close()
        except OSError:
            return True
        return False

    def change_routes(self, services):
        """Drop the routes of services that have one, and add the others'."""
        self.routes ^= services
        self.put_config()

    def put_config(self):
        """Write the configuration as it is to be now."""
        self.version += 1
        routes = [
            {
                'name': f'r-{service}',
                'host': '198.18.0.1',
                'path_prefix': f'/{PLACES[service]}/',
                'service': service,
            }
            for service in sorted(self.routes)
        ]
        spec = {'version': self.version, 'routes': routes}
        self.store.put('config', 'main', spec)
        self.tape.versions.append((time.monotonic(), 'probe' in self.routes))

    def put_all_again(self):
        """Write again all that a restored store may lack."""
        self.put_config()
        alive = {f'i-{one.number:08x}' for one in self.targets}
        for item in self.store.list('servers', '')['items']:
            if item['meta']['name'] not in alive:
                self.remove('servers', item['meta']['name'])
        for target in self.targets:
            self.put_target(target)
        for zone in ('a', 'b'):
            self.remove('evacuations', zone)
            if zone in self.tape.drained:
                self.store.put('evacuations', zone, {})
        self.tape.untold_at = time.monotonic()

    def make_routers(self, zone):
        """Make what chooses an instance for a flow, as the platform does."""

        def choose(key):
            flow = self.callers[zone].flows.get(key)
            if flow is not None and flow.key[3] == PLACES['probe']:
                return flow.sender, self._ports['packets']
            near = [one for one in self.instances if one.zone == zone]
            good = [one for one in self.instances if one.misses < 2]
            pool = [one for one in near if one in good]
            if 2 * len(pool) < len(near):
                pool = near if pool else good or near
            return pool[hash(key) % len(pool)].host, self._ports['packets']

        return SimpleNamespace(choose=choose)

    def _ask_ready(self, one):
        address = (one.host, self._ports['ready'])
        while not self.stopped.wait(ends.PROBE_S):
            one.misses = 0 if ends.ask_ready(address) else one.misses + 1

    def put_later(self, due_at, call):
        """Call a function at a time."""
        heapq.heappush(self._jobs, (due_at, next(self.orders), call))

    def play(self, steps):
        """Play a generator that yields the seconds until its next step."""
        pause_s = next(steps, None)
        if pause_s is None:
            steps.close()
        else:
            due_at = time.monotonic() + pause_s
            self.put_later(due_at, lambda: self.play(steps))

    def run_until(self, is_done, limit_s):
        """Run until something is so.

        :returns: whether it came to be so within the time.
        """
        last = time.monotonic()
        ends_at = last + limit_s
        while not is_done() and last < ends_at:
            for key, _ in self.selector.select(STEP_S):
                self._read(key.data, time.monotonic())
            now = time.monotonic()
            self.tape.stall_s = max(self.tape.stall_s, now - last)
            last = now
            self._turn(now)
        return is_done()

    def _turn(self, now):
        while self._jobs and self._jobs[0][0] <= now:
            heapq.heappop(self._jobs)[-1]()
        for callers in self.callers.values():
            callers.read(now)
            callers.tick(now)
        if not any(one.in_touch for one in self.instances):
            self.tape.untold_at = now
        for one in self.instances:
            code = one.proc.popen.poll()
            if code is not None and not one.ending:
                one.ending = 'itself'
                self.tape.report(f'{one.name} ended by itself: {code}')

    def _read(self, end, now):
        if isinstance(end, SoakCallers):
            return
        for datagram, sender in ends.drain_socket(end.sock):
            one = self.by_host.get(sender[0])
            cut = one and self.tape.is_cut(one.zone, end.zone, now)
            if one is None or cut or self.rng.random() < one.loss:
                continue
            pass_on = partial(self._pass_on, end, datagram, sender[0], now)
            if one.late:
                self.put_later(now + self.rng.uniform(0.05, 0.25), pass_on)
            else:
                pass_on()

    def _pass_on(self, target, datagram, via, sent_at):
        if target.alive:
            target.via = via
            target.sent_at = sent_at
            target.take(datagram, time.monotonic(), self.put_later)
