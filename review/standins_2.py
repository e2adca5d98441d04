"""Stand-ins for the scripts of the second review.

One process plays the platform's store, its routers, the clients and the
backends, as PROTOCOL.md and the news pages describe them.  The store is the
project's own stand-in (`standins/object_store.py`); the rest is small and
written here.  The instances under test are started as separate processes
with the command of `deploy/system.toml`.

Everything uses loopback addresses; each run takes a loopback network of its
own, since all machines of a platform use the same ports.
"""

import http.client
import json
import os
import selectors
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import zlib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from standins.object_store import (  # noqa: E402
    ObjectStore,
    RawJson,
    start_store,
)

HEAD = struct.Struct('>HIIHB5xIIIHI')
SYN, ACK, FIN, RST = 8, 16, 4, 64
SUM_KEY = b'known to both ends only'
SYN_COPIES_S = (0.2, 0.6)
GIVE_UP_S = 1.4
REPEAT_S = 0.2
LONGEST_REPEAT_S = 1.6
READY_S = 0.5
METRICS_PORT = 9464

__all__ = ['RawJson']

clock = time.monotonic


def ip_number(text):
    return int.from_bytes(socket.inet_aton(text), 'big')


def ip_text(number):
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


def compute_sum(raw):
    return zlib.crc32(SUM_KEY + raw[:13] + raw[22:32] + raw[36:])


def make_packet(source, destination, flags, echo, seq, ack, data=b''):
    head = [
        destination[1],
        source[0],
        destination[0],
        source[1],
        flags,
        echo,
        seq & 0xFFFFFFFF,
        ack & 0xFFFFFFFF,
        len(data),
        0,
    ]
    head[-1] = compute_sum(HEAD.pack(*head) + data)
    return HEAD.pack(*head) + data


def open_udp(address):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    sock.bind(address)
    sock.setblocking(False)
    return sock


class Record:
    """What was sent, answered and run, written to a file at the end."""

    def __init__(self, path):
        self._path = Path(path)
        self._lines = []
        self._began = clock()
        self._lock = threading.Lock()

    def add(self, text):
        with self._lock:
            self._lines.append(f'{clock() - self._began:9.3f} {text}')

    def since_start(self, at):
        return at - self._began

    def write(self):
        with self._lock:
            self._path.write_text('\n'.join(self._lines) + '\n')


class Door:
    """The store as one machine reaches it, with faults of its own.

    `refused` and `silent` are what a store does that turns a machine away.
    """

    def __init__(self, store):
        self._store = store
        self.refused = set()
        self.silent = False
        self.era = None
        self.calls = []

    def turn_away(self, how):
        if how == 'busy':
            self.refused = {'*'}
        else:
            self.silent = True

    def let_in(self):
        self.refused = set()
        self.silent = False

    def __getattr__(self, name):
        return getattr(self._store, name)


class Backend:
    """One lifetime of a backend.

    :param number: its id as a number.
    :param slots: requests that it works on at a time.
    :param cold_s: how long it is cold from now on.
    """

    def __init__(
        self, world, number, service, zone, host, slots, work_s, cold_s=0
    ):
        self.world = world
        self.number = number
        self.name = f'i-{number:010x}'
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.started_at = clock()
        self.cold_until = self.started_at + cold_s
        self.state = 'ready'
        self.alive = True
        self.sock = open_udp((host, 0))
        self.address = self.sock.getsockname()
        self.flows = {}
        self.half_open = {}
        self.openings = []
        self.busy = 0
        self.queue = []
        self.foreign_packets = 0
        self.beats_at = self.started_at + 0.3 * (number % 5)
        self._seq = 7000 + (number & 0xFFFF) * 10

    def make_entry(self):
        left = max(0, round((self.cold_until - clock()) * 1000))
        return {
            'service': self.service,
            'address': f'{self.address[0]}:{self.address[1]}',
            'zone': self.zone,
            'version': '1',
            'max_concurrent': self.slots,
            'state': self.state,
            'warmup_left_ms': left,
            'seq': 1,
        }

    def register(self):
        self.world.store.put('servers', self.name, self.make_entry())
        self.world.record.add(
            f'backend {self.name} registered {self.state} '
            f'warmup_left_ms={self.make_entry()["warmup_left_ms"]}'
        )

    def beat(self):
        """Write the entry; it changes only if more than `seq` does."""
        known = self.world.store.get('servers', self.name)
        if known is None or known['spec'] != self.make_entry():
            self.register()

    def read(self, now):
        while True:
            try:
                raw, _ = self.sock.recvfrom(4096)
            except BlockingIOError:
                return
            except OSError:
                continue
            if self.alive:
                self._take(raw, now)

    def _take(self, datagram, now):
        meant = int.from_bytes(datagram[:8], 'big')
        raw = datagram[8:]
        if meant not in (0, self.number) or len(raw) < HEAD.size:
            self.foreign_packets += 1
            return
        head = HEAD.unpack_from(raw)
        if head[9] != compute_sum(raw):
            self.world.record.add(f'backend {self.name} got a changed packet')
            self.world.changed_packets += 1
            return
        dport, source, destination, sport, flags, echo, seq, ack = head[:8]
        key = (source, sport, destination, dport)
        data = raw[HEAD.size :]
        if flags & SYN:
            self._take_syn(key, echo, seq, now)
        elif flags & RST:
            self._end(key)
        elif key in self.half_open and ack == self.half_open[key] + 1:
            self.flows[key] = {'next': seq, 'answer': None, 'closing': False}
            self.half_open.pop(key)
            self.world.note_open(self, key, now)
            self._take_data(key, echo, flags, seq, ack, data, now)
        elif key in self.flows:
            self._take_data(key, echo, flags, seq, ack, data, now)
        elif not flags & FIN:
            self._send(key, RST, echo, ack, 0)

    def _take_syn(self, key, echo, seq, now):
        if key in self.flows:
            return
        if key not in self.half_open:
            self._seq += 1000
            self.half_open[key] = self._seq
            sent = self.world.syn_sent_at.get(key, now)
            self.openings.append((sent, now, key))
        self._send(key, SYN | ACK, echo, self.half_open[key], seq + 1)

    def _take_data(self, key, echo, flags, seq, ack, data, now):
        flow = self.flows[key]
        flow['echo'] = echo
        if data:
            if seq == flow['next']:
                flow['next'] = seq + len(data)
                flow['ack'] = ack
                self._accept(key, data, now)
            elif flow['answer']:
                # The client repeats: so is the answer.
                self._send(key, ACK, echo, *flow['answer'])
            else:
                self._send(key, ACK, echo, ack, flow['next'])
        if flags & FIN:
            self._send(key, FIN | ACK, echo, ack, flow['next'] + 1)
            self._end(key)

    def _accept(self, key, data, now):
        flow = self.flows[key]
        flow['answer'] = None
        if self.busy < self.slots:
            self._run(key, data, now)
        elif len(self.queue) < 8:
            self.queue.append((key, data))
        else:
            self._answer(key, b'not run ' + data)

    def _run(self, key, data, now):
        self.busy += 1
        self.world.note_run(self, data, now)
        work = self.work_s * (1.6 if now < self.cold_until else 1)
        self.world.later(now + work, lambda: self._finish(key, data))

    def _finish(self, key, data):
        self.busy -= 1
        if key in self.flows and self.alive:
            self._answer(key, b'done ' + data)
        while self.queue and self.busy < self.slots:
            key, data = self.queue.pop(0)
            if key in self.flows:
                self._run(key, data, clock())

    def _answer(self, key, text):
        flow = self.flows[key]
        flow['answer'] = (flow['ack'], flow['next'], text)
        self._send(key, ACK, flow['echo'], *flow['answer'])

    def _end(self, key):
        self.flows.pop(key, None)
        self.half_open.pop(key, None)

    def _send(self, key, flags, echo, seq, ack, data=b''):
        source, sport, destination, dport = key
        raw = make_packet(
            (destination, dport), (source, sport), flags, echo, seq, ack, data
        )
        self.world.send(self.sock, raw, (ip_text(source), self.world.port))


class ClientFlow:
    def __init__(self, key, now):
        self.key = key
        self.state = 'opening'
        self.echo = 0
        self.seq = 1000
        self.ack = 0
        self.copies = 0
        self.began_at = now
        self.sent = b''
        self.number = 0
        self.next_request_at = 0
        self.repeat_at = 0
        self.pause_s = REPEAT_S
        self.ends_at = 0


class Clients:
    """Clients at one address: each flow makes requests until it ends.

    :param places: (address number, port) of routes, used in turn.
    :param pause_s: time between two requests of a flow.
    :param life_s: time for which a flow is kept open.
    """

    def __init__(self, world, host, places, per_s, pause_s, life_s):
        self.world = world
        self.host = ip_number(host)
        self.places = places
        self.per_s = per_s
        self.pause_s = pause_s
        self.life_s = life_s
        self.sock = open_udp((host, world.port))
        self.flows = {}
        self.counts = {}
        self.active = False
        self._next_at = 0
        self._opened = 0
        self._port = 1024

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def turn(self, now):
        self._read(now)
        if self.active:
            if not self._next_at:
                self._next_at = now
            while now >= self._next_at:
                self._next_at += 1 / self.per_s
                self._open(now)
        for flow in list(self.flows.values()):
            self._step(flow, now)

    def _open(self, now):
        self._port = self._port + 1 if self._port < 60000 else 1024
        place = self.places[self._opened % len(self.places)]
        self._opened += 1
        key = (self.host, self._port, *place)
        flow = ClientFlow(key, now)
        flow.ends_at = now + self.life_s
        self.flows[key] = flow
        self.world.syn_sent_at[key] = now
        self.count('opened')
        self._send(flow, SYN)

    def _step(self, flow, now):
        if flow.state == 'opening':
            waited = now - flow.began_at
            if waited >= GIVE_UP_S:
                self._drop(flow, 'no answer to SYN')
            elif (
                flow.copies < len(SYN_COPIES_S)
                and waited >= SYN_COPIES_S[flow.copies]
            ):
                flow.copies += 1
                flow.ack = flow.copies
                self._send(flow, SYN)
        elif flow.sent:
            if now >= flow.repeat_at:
                flow.pause_s = min(2 * flow.pause_s, LONGEST_REPEAT_S)
                flow.repeat_at = now + flow.pause_s
                if now - flow.requested_at > 5:
                    self._drop(flow, 'request without answer')
                else:
                    self._send(flow, ACK, flow.sent)
        elif now >= flow.ends_at:
            self._send(flow, FIN | ACK)
            self._drop(flow, 'closed')
        elif now >= flow.next_request_at:
            self._request(flow, now)

    def _request(self, flow, now):
        flow.number += 1
        flow.sent = b'r %d/%d' % (flow.key[1], flow.number)
        flow.requested_at = now
        flow.pause_s = REPEAT_S
        flow.repeat_at = now + REPEAT_S
        self.count('requests')
        self._send(flow, ACK, flow.sent)

    def _read(self, now):
        while True:
            try:
                raw, _ = self.sock.recvfrom(4096)
            except BlockingIOError:
                return
            except OSError:
                continue
            head = HEAD.unpack_from(raw)
            dport, source, destination, sport = head[:4]
            flow = self.flows.get((destination, dport, source, sport))
            if flow is not None:
                self._handle(flow, head, raw[HEAD.size :], now)

    def _handle(self, flow, head, data, now):
        flags, echo, seq, ack = head[4:8]
        if flags & RST:
            of_system = head[9] == 0
            self.world.note_reset(flow, of_system, now)
            self._drop(flow, 'reset')
            return
        flow.echo = echo
        if flags & SYN:
            if flow.state == 'opening':
                flow.state = 'open'
                flow.seq += 1
                flow.ack = seq + 1
                self._request(flow, now)
        elif data and flow.sent and ack == flow.seq + len(flow.sent):
            flow.seq = ack
            flow.ack = seq + len(data)
            self.count('answered' if data.startswith(b'done') else 'not run')
            flow.sent = b''
            flow.next_request_at = now + self.pause_s
            self._send(flow, ACK)

    def _drop(self, flow, why):
        self.flows.pop(flow.key, None)
        flow.state = why
        self.count(why)

    def _send(self, flow, flags, data=b''):
        source, destination = flow.key[:2], flow.key[2:]
        raw = make_packet(
            source, destination, flags, flow.echo, flow.seq, flow.ack, data
        )
        address = self.world.routers.choose(flow.key)
        if address is not None:
            self.world.send(self.sock, raw, address)


class Routers:
    """Routers that ask each instance twice a second whether it is ready."""

    def __init__(self, world):
        self.world = world
        self._misses = {}
        self._stopped = threading.Event()
        self.rotation = []

    def add(self, instance):
        self._misses[instance] = 2

    def remove(self, instance):
        """Forget a machine that was taken away for good."""
        self._misses.pop(instance, None)

    def start(self):
        threading.Thread(target=self._probe, daemon=True).start()

    def stop(self):
        self._stopped.set()

    def _probe(self):
        while not self._stopped.wait(READY_S):
            instances = list(self._misses)
            threads = [
                threading.Thread(target=self._ask, args=(one,), daemon=True)
                for one in instances
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            good = [one for one in instances if self._misses.get(one, 2) < 2]
            if 2 * len(good) < len(instances):
                good = instances
            self.rotation = [one.packets for one in good]

    def _ask(self, instance):
        ready = instance.is_ready()
        misses = self._misses.get(instance)
        if misses is not None:
            self._misses[instance] = 0 if ready else misses + 1

    def is_good(self, instance):
        """Say whether a machine is in rotation."""
        return self._misses.get(instance, 2) < 2

    def choose(self, key):
        found = self.rotation
        if not found:
            return None
        return found[zlib.crc32(repr(key).encode()) % len(found)]


class Instance:
    """One instance under test: a process with the deploy file's command."""

    def __init__(self, world, name, host, zone, seeds):
        self.world = world
        self.name = name
        self.host = host
        self.zone = zone
        self.seeds = seeds
        self.packets = (host, world.port)
        self.ready = (host, world.ready_port)
        self.door = Door(world.store)
        self._server = start_store(self.door)
        self.popen = None
        self.starts = 0

    def start(self):
        path = self.world.folder / f'{self.name}.toml'
        path.write_text(self._make_settings())
        log = (self.world.folder / f'{self.name}.log').open('a')
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['CORNELGAP_CONFIG'] = str(path)
        self.popen = subprocess.Popen(
            self.world.command, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        self.starts += 1
        self.world.record.add(f'instance {self.name} started')

    def _make_settings(self):
        world = self.world
        host, port = self._server.server_address
        seeds = json.dumps([f'{seed}:{world.control}' for seed in self.seeds])
        bounds = '\n'.join(f'{k} = {v}' for k, v in world.bounds.items())
        return f"""node_name = "{self.name}"
role = "entry"
machine_class = "front"
serves = ["front", "control"]
ip = "{self.host}"
zone = "{self.zone}"
region = "here"
internal_ports = [{world.inner}, {world.inner + 1}]
seeds = {seeds}
bootstrap = false
heartbeat_ms = 1200
hash = "mod"
forwarding_mode = "echo"
[listen]
datagram_addr = "{self.host}:{world.port}"
ready = "{self.host}:{world.ready_port}"
control = "{self.host}:{world.control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
[bounds]
{bounds}
[platform]
address = "{host}:{port}"
"""

    def is_ready(self):
        conn = http.client.HTTPConnection(*self.ready, timeout=READY_S)
        try:
            conn.request('GET', '/-/readiness')
            return conn.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            conn.close()

    def send_signal(self, number):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    def close(self):
        self.send_signal(signal.SIGCONT)
        self.kill()
        self._server.shutdown()
        self._server.server_close()


class World:
    """All stand-ins of a run, and the thread that plays the packet ends."""

    def __init__(self, folder, bounds):
        self.case = Path(folder)
        self.record = Record(self.case / 'record.txt')
        self._temp = tempfile.TemporaryDirectory(prefix='cornelgap-review-')
        self.folder = Path(self._temp.name)
        self.bounds = bounds
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self.command = shlex.split(deploy['roles']['entry']['run'])
        self.store = ObjectStore()
        self.store.era = None
        self.net = f'127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250}'
        self.port, self.ready_port, self.control, self.inner = _pick_ports(4)
        self.instances = []
        self.backends = []
        self.clients = None
        self.routers = Routers(self)
        self.syn_sent_at = {}
        self.open_flows = {}
        self.resets = []
        self.runs = {}
        self.changed_packets = 0
        self._timers = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._play, daemon=True)

    def start_heartbeats(self, interval_s):
        """Let each live backend write its entry at regular intervals."""

        def beat():
            while not self._stopped.wait(0.01):
                now = clock()
                for backend in list(self.backends):
                    if backend.alive and now >= backend.beats_at:
                        backend.beats_at = now + interval_s
                        backend.beat()

        threading.Thread(target=beat, daemon=True).start()

    def add_instance(self, name, host, zone, seeds):
        instance = Instance(self, name, host, zone, seeds)
        self.instances.append(instance)
        return instance

    def put_config(self, version, routes, services):
        spec = {
            'version': version,
            'routes': routes,
            'services': services,
            'limits': {'idle_timeout_ms': 15000},
        }
        self.store.put('config', 'main', spec)
        self.record.add(f'config version {version} confirmed')

    def start(self):
        self.routers.start()
        self._thread.start()

    def wait_ready(self, instances, wait_s=15):
        ends_at = clock() + wait_s
        while not all(one.is_ready() for one in instances):
            if clock() > ends_at:
                return False
            time.sleep(0.1)
        return True

    def later(self, at, call):
        self._timers.append((at, call))

    def send(self, sock, raw, address):
        try:
            sock.sendto(raw, address)
        except OSError:
            return

    def note_open(self, backend, key, now):
        self.open_flows[key] = backend

    def note_run(self, backend, data, now):
        self.runs.setdefault((backend.service, bytes(data)), []).append(
            (now, backend.name)
        )

    def note_reset(self, flow, of_system, now):
        self.resets.append((now, flow.key, flow.state, of_system))

    def close(self):
        self._stopped.set()
        self.routers.stop()
        self._thread.join(5)
        for instance in self.instances:
            instance.close()
        for instance in self.instances:
            log = self.folder / f'{instance.name}.log'
            if os.environ.get('KEEP_LOGS') and log.exists():
                target = Path(os.environ['KEEP_LOGS'])
                target.mkdir(parents=True, exist_ok=True)
                (target / log.name).write_bytes(log.read_bytes())
        self._temp.cleanup()
        if self.clients is not None:
            counts = sorted(self.clients.counts.items())
            for what, number in counts:
                self.record.add(f'clients: {number} {what}')
        self.record.write()

    def _play(self):
        selector = selectors.DefaultSelector()
        known = set()
        while not self._stopped.is_set():
            ends = [*self.backends, self.clients]
            for end in ends:
                if end is not None and end not in known:
                    known.add(end)
                    selector.register(end.sock, selectors.EVENT_READ)
            selector.select(0.004)
            now = clock()
            for backend in list(self.backends):
                backend.read(now)
            due = [call for at, call in self._timers if at <= now]
            self._timers = [item for item in self._timers if item[0] > now]
            for call in due:
                call()
            if self.clients is not None:
                self.clients.turn(now)


def _pick_ports(count):
    socks = [socket.socket() for _ in range(count + 1)]
    try:
        for sock in socks:
            sock.bind(('127.0.0.1', 0))
        ports = [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()
    return ports[:count]


def make_route(name, host, port, service, kind='idempotent'):
    return {
        'name': name,
        'host': host,
        'path_prefix': f'/{port}/',
        'type': kind,
        'timeout_ms': 2500,
        'latency_goal_ms': 500,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
    }
