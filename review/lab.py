"""Stand-ins and helpers of the review's scripts: standard library only.

A lab runs the project's own program, started as deploy/system.toml says, on
loopback addresses, between small stand-ins for the platform's store, the
backends and the clients.  The stand-ins do what PROTOCOL.md says and no more.
"""

import json
import os
import random
import shlex
import shutil
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
from collections import defaultdict
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import NamedTuple
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / 'target' / 'deps'
VENV = ROOT / '.venv' / 'lib'
BROKEN, HELD, NOT_RUN = 1, 0, 2


class Site(NamedTuple):
    """What a site's sheet and its settings say.

    :param zones: machines by zone.
    :param config_apply_s: bound of CONFIG, seconds.
    :param drain_s: bound of DRAIN, seconds.
    :param contact_s: time after which a calm machine is in touch, seconds.
    :param tells_born: whether backends tell when they were started.
    """

    name: str
    region: str
    zones: dict
    config_apply_s: float
    drain_s: float
    contact_s: float
    ack_ms: int
    catch_up_s: int
    skew_max_ms: int
    recover_s: int
    cpu_share: float
    cores: int
    memory_mb: int
    max_fds: int
    link_mbps: float
    writes_per_s: int
    reads_per_s: int
    contracts: str
    tells_born: bool


CONTRACTS = '["base","drain","config","cost","recover","flows","platform"]'
WADI_AMMAN = Site(
    name='wadi-amman',
    region='amman',
    zones={'amman-a': 3, 'amman-b': 1, 'amman-c': 2},
    config_apply_s=3.0,
    drain_s=3.0,
    contact_s=4.0,
    ack_ms=5000,
    catch_up_s=4,
    skew_max_ms=12000,
    recover_s=12,
    cpu_share=0.537,
    cores=2,
    memory_mb=300,
    max_fds=4100,
    link_mbps=1000.0,
    writes_per_s=400,
    reads_per_s=2000,
    contracts=CONTRACTS,
    tells_born=False,
)
VALDES = Site(
    name='valdes-horarios-grown',
    region='cl-centro',
    # The first machines of each zone; the sheet has 23.
    zones={'stgo-a': 2, 'stgo-b': 2, 'rancagua': 2},
    config_apply_s=5.0,
    drain_s=5.0,
    contact_s=5.0,
    ack_ms=8000,
    catch_up_s=6,
    skew_max_ms=15000,
    recover_s=15,
    cpu_share=0.717,
    cores=3,
    memory_mb=296,
    max_fds=8192,
    link_mbps=100.0,
    writes_per_s=1200,
    reads_per_s=6000,
    contracts=CONTRACTS.replace('"flows"', '"health","flows"'),
    tells_born=True,
)

GRACE_S = 6
ANSWER_S = 0.004
"""What the store takes for an answer, as on the sheets."""

SYN, ACK, FIN, RST = 8, 16, 4, 64
HEAD = struct.Struct('>HIIHB5xIIIHI')
COPIES_S = (0.2, 0.6)
GIVE_UP_S = 1.4
SUM_KEY = b'known to clients and backends only'

SETTINGS = """\
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "{host}"
zone = "{zone}"
region = "{site.region}"
internal_ports = [{inner},{inner}]
seeds = {seeds}
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "announce"
heartbeat_ms = 1200
contracts = {site.contracts}
hash = "mod"
forwarding_mode = "echo"
[zones]
{zones}
[listen]
datagram_addr = "{host}:{packets}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu_share = {site.cpu_share}
cores = {site.cores}
memory_mb = {site.memory_mb}
max_fds = {site.max_fds}
link_mbps = {site.link_mbps}
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = {contact_ms}
ack_ms = {site.ack_ms}
catch_up_s = {site.catch_up_s}
drain_ms = {drain_ms}
grace_s = 6
loss_slack_ms = 200
config_apply_ms = {config_apply_ms}
revert_slack_ms = 250
skew_max_ms = {site.skew_max_ms}
recover_s = {site.recover_s}
flow_ms = 2000
flow_max_s = 60
[platform]
address = "{store_host}:{store_port}"
forwarding_mode = "objects"
writes_per_s = {site.writes_per_s}
reads_per_s = {site.reads_per_s}
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Store:
    """The platform's store: objects by kind, their revisions and history."""

    PREFIX = '/-/objects/'
    PAGE = 500

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 1
        self.kinds = {}
        self.events = []
        self.on_watch_answer = None

    def put(self, kind, name, spec, expected=None):
        """Write an object; give it, or None if the condition fails."""
        with self.changed:
            known = self.kinds.setdefault(kind, {}).get(name)
            if expected is not None:
                if expected != (known['meta']['revision'] if known else 0):
                    return None
            self.revision += 1
            created = known['meta']['create_revision'] if known else None
            item = {
                'meta': {
                    'name': name,
                    'revision': self.revision,
                    'create_revision': created or self.revision,
                    'finalizers': [],
                    'deleting': False,
                },
                'spec': spec,
                'status': None,
            }
            self.kinds[kind][name] = item
            self._note(kind, item, False)
            return item

    def remove(self, kind, name):
        with self.changed:
            item = self.kinds[kind].pop(name)
            self.revision += 1
            meta = {**item['meta'], 'revision': self.revision}
            self._note(kind, {**item, 'meta': meta}, True)

    def _note(self, kind, item, deleted):
        event = {'object': item, 'deleted': deleted}
        self.events.append((self.revision, kind, event))
        self.changed.notify_all()

    def get(self, kind, name):
        with self.changed:
            return self.kinds.get(kind, {}).get(name)

    def list(self, kind, after):
        with self.changed:
            found = self.kinds.get(kind, {})
            names = sorted(name for name in found if name > after)
            return {
                'items': [found[name] for name in names[: self.PAGE]],
                'more': len(names) > self.PAGE,
                'store_revision': self.revision,
            }

    def watch(self, kind, revision, wait_s):
        ends = time.monotonic() + wait_s
        with self.changed:
            while True:
                found = [
                    event
                    for at, of_kind, event in self.events
                    if at > revision and of_kind == kind
                ]
                left = ends - time.monotonic()
                if found or left <= 0:
                    return {'events': found, 'store_revision': self.revision}
                self.changed.wait(left)

    def answer(self, method, path, body):
        parts = urlsplit(path)
        kind, _, name = parts.path[len(self.PREFIX) :].partition('/')
        query = {key: found[0] for key, found in parse_qs(parts.query).items()}
        if method == 'POST':
            name = body['meta']['name']
            item = self.put(kind, name, body['spec'], expected=0)
            return (409, self.get(kind, name)) if item is None else (200, item)
        if method == 'PUT':
            expected = body['meta'].get('revision')
            item = self.put(kind, name, body['spec'], expected)
            return (409, self.get(kind, name)) if item is None else (200, item)
        if name:
            item = self.get(kind, name)
            return (404, {}) if item is None else (200, item)
        if 'watch' in query:
            wait_s = int(query.get('wait_ms', 0)) / 1000
            return 200, self.watch(kind, int(query['watch']), wait_s)
        return 200, self.list(kind, query.get('after', ''))

    def serve(self):
        """Serve over HTTP/1.1 with kept connections; give the address."""
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def _do(self):
                size = int(self.headers.get('Content-Length') or 0)
                body = json.loads(self.rfile.read(size)) if size else None
                status, found = store.answer(self.command, self.path, body)
                # Nested values are written by hand: json has a depth limit.
                raw = dump_json(found)
                time.sleep(ANSWER_S)
                self.send_response(status)
                self.send_header('Content-Type', 'application/json')
                self.send_header('Content-Length', str(len(raw)))
                self.end_headers()
                self.wfile.write(raw)
                if 'watch=' in self.path and store.on_watch_answer:
                    store.on_watch_answer(self.client_address)

            do_GET = do_POST = do_PUT = _do

            def log_message(self, *args):
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, request, client_address):
                pass

        server = Server(('127.0.0.1', 0), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server.server_address


class Raw:
    """A value that is written to the store as these characters of JSON."""

    def __init__(self, text):
        self.text = text


def dump_json(found):
    """Write JSON; :class:`Raw` values as they are."""
    marks = {}

    def mark(value):
        if not isinstance(value, Raw):
            raise TypeError(value)
        key = f'raw-{len(marks)}-of-the-lab'
        marks[f'"{key}"'] = value.text
        return key

    text = json.dumps(found, default=mark)
    for key, raw in marks.items():
        text = text.replace(key, raw)
    return text.encode()


class StorePath:
    """One machine's path to the store: a proxy that can fall silent.

    :ivar opened: connections that were ever opened.
    """

    def __init__(self, store_address):
        self._store_address = store_address
        self._open = set()
        self._silent = set()
        self._passes = threading.Event()
        self._passes.set()
        self.opened = 0
        self.last_answer_at = 0.0
        self._server = socket.create_server(('127.0.0.1', 0), backlog=64)
        self.address = self._server.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_open_connections(self):
        """Let all connections that are open now go silent for good."""
        self._silent |= self._open
        return len(self._open)

    def cut(self):
        """Partition the machine from the store: nothing passes."""
        self._passes.clear()

    def heal(self):
        """End the partition; what was held up passes then."""
        self._passes.set()

    def _accept(self):
        while True:
            near, _ = self._server.accept()
            far = socket.create_connection(self._store_address)
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.opened += 1
            pair = (near, far)
            self._open.add(pair)
            for source, sink in (pair, pair[::-1]):
                threading.Thread(
                    target=self._relay, args=(pair, source, sink), daemon=True
                ).start()

    def _relay(self, pair, source, sink):
        while True:
            try:
                chunk = source.recv(65536)
            except OSError:
                chunk = b''
            self._passes.wait()
            if pair in self._silent:
                # Neither bytes nor an end pass any more.
                return
            if not chunk:
                break
            if source is pair[1]:
                self.last_answer_at = time.monotonic()
            try:
                sink.sendall(chunk)
            except OSError:
                break
        self._open.discard(pair)
        for sock in pair:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def parse_ip(text):
    return int.from_bytes(socket.inet_aton(text), 'big')


def format_ip(number):
    return socket.inet_ntoa(number.to_bytes(4, 'big'))


def compute_sum(raw):
    return zlib.crc32(SUM_KEY + raw[:13] + raw[22:32] + raw[36:])


def make_packet(source, destination, flags, echo, seq, ack, data=b''):
    """Make a packet; the ends are tuples (address as a number, port)."""
    head = [
        destination[1],
        source[0],
        destination[0],
        source[1],
        flags,
        echo,
        seq,
        ack,
        len(data),
        0,
    ]
    head[-1] = compute_sum(HEAD.pack(*head) + data)
    return HEAD.pack(*head) + data


class Backend:
    """One lifetime of a backend, with its entry in the store.

    :ivar openings: tuples (time, flow, host that sent the SYN) of the SYNs
        that it accepted.
    :ivar runs: tuples (time, Request-Id).
    """

    def __init__(self, lab, name, service, zone, host):
        self.name = name
        self.service = service
        self.zone = zone
        self.state = 'ready'
        self.openings = []
        self.runs = []
        self.foreign = []
        self.changed = []
        self.seq = 1
        self._born = round(time.time() * 1000)
        self._lab = lab
        self._number = int(name.partition('-')[2], 16)
        self._flows = {}
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((host, 0))
        self.address = self._sock.getsockname()
        threading.Thread(target=self._run, daemon=True).start()

    def write(self):
        """Write its entry; give the time of the store's confirmation."""
        spec = {
            'service': self.service,
            'address': '{}:{}'.format(*self.address),
            'zone': self.zone,
            'version': 'v1',
            'max_concurrent': 2,
            'state': self.state,
            'warmup_left_ms': 0,
            'seq': self.seq,
        }
        if self._lab.site.tells_born:
            spec['born'] = self._born
        self._lab.store.put('servers', self.name, spec)
        return time.monotonic()

    def _run(self):
        while True:
            raw, sender = self._sock.recvfrom(4096)
            meant = int.from_bytes(raw[:8], 'big')
            if meant not in (0, self._number):
                self.foreign.append(raw)
                continue
            self._take(raw[8:], sender[0])

    def _take(self, raw, sender):
        head = HEAD.unpack_from(raw)
        if head[9] != compute_sum(raw):
            self.changed.append(raw)
            return
        dport, source, destination, sport, flags, echo, seq, ack = head[:8]
        data = raw[HEAD.size :]
        key = (source, sport, destination, dport)
        now = time.monotonic()
        if flags & SYN:
            if key not in self._flows:
                self._flows[key] = random.getrandbits(31)
                self.openings.append((now, key, sender))
            self._send(key, SYN | ACK, echo, self._flows[key], seq + 1)
        elif key not in self._flows:
            if not flags & (FIN | RST):
                self._send(key, RST, echo, ack, 0)
        elif flags & (FIN | RST):
            self._flows.pop(key)
            self._send(key, ACK, echo, ack, seq + 1)
        elif data:
            ident = data.partition(b'Request-Id: ')[2].partition(b'\r\n')[0]
            self.runs.append((now, ident.decode()))
            body = b'ok ' + ident
            answer = (
                b'HTTP/1.1 200 OK\r\nBackend-Id: %s\r\nBackend-Seal: %s\r\n'
                b'Content-Length: %d\r\n\r\n%s'
                % (self.name.encode(), self.name.encode(), len(body), body)
            )
            self._send(key, ACK, echo, ack, seq + len(data), answer)

    def _send(self, key, flags, echo, seq, ack, data=b''):
        source, sport, destination, dport = key
        raw = make_packet(
            (destination, dport), (source, sport), flags, echo, seq, ack, data
        )
        self._sock.sendto(raw, (format_ip(source), self._lab.ports['packets']))


class Flow:
    """One client attempt: a flow with one request.

    :ivar end: ``answered``, ``reset``, ``no answer``, or None while it runs.
    """

    def __init__(self, key, ident, place, instance, now):
        self.key = key
        self.ident = ident
        self.place = place
        self.instance = instance
        self.sent_at = now
        self.copies = 0
        self.opened = False
        self.seq = random.getrandbits(30)
        self.ack = 0
        self.echo = 0
        self.end = None
        self.by = ''


class Clients:
    """Clients at one address; each flow goes to one machine directly.

    The routers do so with "a small number of flows" to each ready node.
    """

    def __init__(self, lab, host):
        self._lab = lab
        self._number = parse_ip(host)
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind((host, lab.ports['packets']))
        self._lock = threading.Lock()
        self._flows = {}
        self._port = 20000
        self.done = []
        for work in (self._read, self._repeat):
            threading.Thread(target=work, daemon=True).start()

    def open(self, place, instance):
        """Begin an attempt through one machine."""
        with self._lock:
            self._port += 1
            key = (self._number, self._port, *place)
            ident = f'q{self._port}'
            flow = Flow(key, ident, place, instance, time.monotonic())
            self._flows[key] = flow
            self._send(flow, SYN)
        return flow

    def _send(self, flow, flags, data=b''):
        ack = flow.copies if flags & SYN else flow.ack
        raw = make_packet(
            flow.key[:2], flow.key[2:], flags, flow.echo, flow.seq, ack, data
        )
        self._sock.sendto(raw, (flow.instance.host, self._lab.ports['packets']))

    def _read(self):
        while True:
            try:
                raw, _ = self._sock.recvfrom(4096)
            except OSError:
                # A port without a listener: the machine is down.
                continue
            head = HEAD.unpack_from(raw)
            dport, source, destination, sport, flags, echo, seq, ack = head[:8]
            with self._lock:
                flow = self._flows.get((destination, dport, source, sport))
                if flow is not None and flow.end is None:
                    self._take(flow, flags, echo, seq, raw[HEAD.size :])

    def _take(self, flow, flags, echo, seq, data):
        if flags & RST:
            self._finish(flow, 'reset')
            return
        flow.echo = echo
        if flags & SYN and not flow.opened:
            flow.opened = True
            flow.seq += 1
            flow.ack = seq + 1
            self._send(flow, ACK)
            request = (
                f'GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: {flow.ident}\r\n\r\n'
            ).encode()
            self._send(flow, ACK, request)
            flow.seq += len(request)
        elif data and flow.opened:
            flow.ack = seq + len(data)
            seal = data.partition(b'Backend-Seal: ')[2].partition(b'\r\n')[0]
            flow.by = seal.decode()
            self._send(flow, FIN | ACK)
            self._finish(flow, 'answered')

    def _finish(self, flow, end):
        flow.end = end
        flow.ended_at = time.monotonic()
        self.done.append(flow)

    def _repeat(self):
        while True:
            time.sleep(0.02)
            now = time.monotonic()
            with self._lock:
                for flow in list(self._flows.values()):
                    if flow.end is not None:
                        continue
                    waited = now - flow.sent_at
                    if waited >= GIVE_UP_S:
                        self._finish(flow, 'no answer')
                    elif not flow.opened and flow.copies < len(COPIES_S):
                        if waited >= COPIES_S[flow.copies]:
                            flow.copies += 1
                            self._send(flow, SYN)

    def wait(self, flows, wait_s=3.0):
        end = time.monotonic() + wait_s
        while any(flow.end is None for flow in flows):
            if time.monotonic() > end:
                return
            time.sleep(0.01)


class Machine:
    """One machine: a process of the role, started again when it ends.

    :ivar ends: tuples (time, exit code) of ends that nobody asked for.
    """

    def __init__(self, lab, name, zone, host, path):
        self.name = name
        self.zone = zone
        self.host = host
        self.path = path
        self.ends = []
        self.process = None
        self._lab = lab
        self._down = False
        # Guards against two starts at once, whose first process nobody ends.
        self._lock = threading.Lock()

    def start(self):
        ports = self._lab.ports
        site = self._lab.site
        file = Path(self._lab.folder) / f'{self.name}.toml'
        file.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=self.zone,
                seeds=json.dumps(self._lab.seeds),
                store_host=self.path.address[0],
                store_port=self.path.address[1],
                site=site,
                zones='\n'.join(
                    f'{zone} = "{site.region}"' for zone in site.zones
                ),
                contact_ms=round(1000 * site.contact_s),
                drain_ms=round(1000 * site.drain_s),
                config_apply_ms=round(1000 * site.config_apply_s),
                **ports,
            )
        )
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['CORNELGAP_CONFIG'] = str(file)
        env['PYTHONPATH'] = self._lab.path
        with open(Path(self._lab.folder) / f'{self.name}.log', 'a') as log:
            self.process = subprocess.Popen(
                self._lab.command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def lose_power(self):
        """Kill the process; it stays down until :meth:`regain_power`."""
        with self._lock:
            self._down = True
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def regain_power(self):
        with self._lock:
            self._down = False
            self.start()

    def stop_and_start(self):
        """Stop the process as planned work does, and start it again."""
        with self._lock:
            self._down = True
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        self.regain_power()

    def look(self):
        """Note an end and start again, as the platform does."""
        with self._lock:
            code = self.process.poll() if self.process else None
            if code is None or self._down or self._lab.stopping:
                return
            self.ends.append((time.monotonic(), code))
            time.sleep(0.3)
            if not self._lab.stopping:
                self.start()

    def is_ready(self):
        conn = HTTPConnection(self.host, self._lab.ports['ready'], timeout=0.5)
        try:
            conn.request('GET', '/-/readiness')
            return conn.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            conn.close()


class Lab:
    """Everything together.

    :param site: :class:`Site`.
    :param record: path of the file that says what happened.
    """

    def __init__(self, site, record):
        self.site = site
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as file:
            self.command = shlex.split(
                tomllib.load(file)['roles']['entry']['run']
            )
        self._record = open(record, 'w')
        self._began = time.monotonic()
        self._folder = tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
        self.folder = self._folder.name
        self.path = copy_build(self.folder)
        self.stopping = False
        self._looker = None
        self.version = 0
        self.machines = []
        self.backends = []
        self.net = f'127.{random.randrange(20, 250)}.{random.randrange(1, 250)}'
        names = ('packets', 'ready', 'inner', 'control')
        self.ports = dict(zip(names, pick_ports(len(names))))
        self.store = Store()
        self.store_address = self.store.serve()
        self.clients = Clients(self, f'{self.net}.2')
        self.seeds = []

    def note(self, text, **fields):
        more = ''.join(f' {name}={found}' for name, found in fields.items())
        line = f'{time.monotonic() - self._began:8.3f} {text}{more}'
        print(line, file=self._record, flush=True)
        print(line, flush=True)

    def since_start(self, at):
        return round(at - self._began, 3)

    def add_machines(self):
        for zone, count in self.site.zones.items():
            for index in range(1, count + 1):
                self._add_machine(zone, index)
        hosts = [machine.host for machine in self.machines]
        self.seeds = [f'{host}:{self.ports["control"]}' for host in hosts[::2]]
        for machine in self.machines:
            machine.start()
        self._looker = threading.Thread(target=self._look, daemon=True)
        self._looker.start()

    def add_spares(self, zones):
        """Add machines while the others run."""
        for zone, count in zones.items():
            for index in range(count):
                self._add_machine(
                    zone, self.site.zones[zone] + index + 1
                ).start()

    def _add_machine(self, zone, index):
        host = f'{self.net}.{11 + len(self.machines)}'
        path = StorePath(self.store_address)
        machine = Machine(self, f'front-{zone}-{index}', zone, host, path)
        self.machines.append(machine)
        return machine

    def _look(self):
        while not self.stopping:
            for machine in list(self.machines):
                machine.look()
            time.sleep(0.1)

    def add_backends(self, services):
        """Add backends; ``services`` has a list of zones by service."""
        number = 100
        for service, zones in services.items():
            for zone in zones:
                number += 1
                name = f'i-{random.getrandbits(32):08x}'
                host = f'{self.net}.{number}'
                backend = Backend(self, name, service, zone, host)
                backend.write()
                self.backends.append(backend)

    def write_config(self, routes):
        """Write the next configuration.

        :param routes: service by (host, port).
        :returns: time of the store's confirmation.
        """
        self.version += random.randrange(1, 4)
        services = sorted(set(routes.values()))
        spec = {
            'version': self.version,
            'routes': [
                {
                    'name': f'r-{host}-{port}',
                    'host': host,
                    'path_prefix': f'/{port}/',
                    'type': 'idempotent',
                    'timeout_ms': 1500,
                    'latency_goal_ms': 150,
                    'priority': 2,
                    'service': service,
                    'max_attempts': 2,
                }
                for (host, port), service in routes.items()
            ],
            'services': [
                {
                    'name': name,
                    'health_path': '/health',
                    'max_conns': 2000,
                    'protocol': 'h1',
                    'tls': False,
                }
                for name in services
            ],
            'limits': {'idle_timeout_ms': 15000},
        }
        self.store.put('config', 'main', spec)
        confirmed_at = time.monotonic()
        self.note(
            'operator: the store confirmed',
            version=self.version,
            routes=len(routes),
        )
        return confirmed_at

    def wait_ready(self, machines=None, wait_s=20):
        end = time.monotonic() + wait_s
        for machine in machines or self.machines:
            while not machine.is_ready():
                if time.monotonic() > end:
                    raise CannotRun(f'{machine.name} is not ready')
                time.sleep(0.1)

    def probe(self, place, machines, count=1):
        """Make attempts on a route through each of some machines."""
        place = (parse_ip(place[0]), place[1])
        flows = [
            self.clients.open(place, machine)
            for _ in range(count)
            for machine in machines
        ]
        self.clients.wait(flows)
        return flows

    def find_opening(self, flow):
        """Return (backend, time, host of the sender) that took a flow."""
        for backend in self.backends:
            for at, key, sender in backend.openings:
                if key == flow.key:
                    return backend, at, sender
        return None

    def list_taken(self):
        """List the flows whose opening a backend took."""
        return {
            key for backend in self.backends for _, key, _ in backend.openings
        }

    def close(self):
        self.stopping = True
        if self._looker is not None:
            # It starts processes, so it has to end before they are ended.
            self._looker.join()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        self.note('all processes ended')
        self._record.close()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            subprocess.run(['cp', '-r', self.folder, keep], check=False)
        self._folder.cleanup()


def copy_build(folder):
    """Copy what the build made, since another build may replace it.

    :returns: where Python finds the program and its libraries.
    """
    if (DEPS / 'cornelgap' / 'platform' / 'role.py').exists():
        shutil.copytree(DEPS, f'{folder}/deps')
        return f'{folder}/deps'
    # Built by ./setup instead of the deploy file's command.
    found = sorted(VENV.glob('python*/site-packages/msgspec'))
    if not found:
        raise CannotRun('neither target/deps nor .venv: build first')
    return f'{ROOT}:{found[0].parent}'


def pick_ports(count):
    """Pick ports that are free on loopback, for TCP and UDP."""
    socks = []
    found = []
    while len(found) < count:
        tcp = socket.socket()
        tcp.bind(('', 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        socks += [tcp, udp]
        try:
            udp.bind(('', port))
        except OSError:
            continue
        found.append(port)
    for sock in socks:
        sock.close()
    return found


def run_case(case, site, record):
    """Run a case and exit with its result.

    :param case: function of a :class:`Lab` and whether there is trouble; says
        whether the rule held.
    """
    lab = None
    try:
        lab = Lab(site, record)
        trouble = os.environ.get('TROUBLE', '1')
        lab.note('case begins', site=site.name, trouble=trouble)
        held = case(lab, trouble)
        lab.note('the rule held' if held else 'THE RULE WAS BROKEN')
        code = HELD if held else BROKEN
    except CannotRun as exc:
        print(f'could not run: {exc}', file=sys.stderr)
        if lab is not None:
            lab.note(f'could not run: {exc}')
        code = NOT_RUN
    except Exception as exc:
        if lab is not None:
            lab.note(f'could not run: {exc!r}')
        import traceback

        traceback.print_exc()
        code = NOT_RUN
    finally:
        if lab is not None:
            lab.close()
    sys.stdout.flush()
    os._exit(code)


def group_ends(flows):
    """Count flows by machine and end, for the record."""
    counts = defaultdict(lambda: defaultdict(int))
    for flow in flows:
        counts[flow.instance.name][flow.end] += 1
    return {name: dict(found) for name, found in counts.items()}
