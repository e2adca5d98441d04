"""A deployment of a bench run: zones, entries, services, targets, files."""

import secrets
import shutil
from dataclasses import dataclass, field
from pathlib import Path

import grpc

from bench.procs import ROOT, Proc
from cornelgap.call.client import CallerClient
from cornelgap.call.main import parse_address
from cornelgap.cfg import publishing
from cornelgap.cfg.folder import load_folder
from cornelgap.cfg.store import PlatformStore
from cornelgap.core.stamps import Stamp
from cornelgap.wire import target_pb2, target_pb2_grpc

OPEN_S = 30
DUMP_S = 30


@dataclass(frozen=True)
class ServicePlan:
    """One service of a deployment.

    :param serves_files: whether its targets read from the folder of files.
    """

    name: str
    targets: int
    slots: int
    serves_files: bool = False
    token_s: int = 900
    conns: int = 2000


@dataclass(frozen=True)
class DeploymentPlan:
    """One deployment at its size of today."""

    name: str
    zones: int
    entries: int
    services: tuple


AMMAN = DeploymentPlan(
    'amman',
    3,
    6,
    (ServicePlan('search', 7, 2), ServicePlan('archive', 3, 2, True)),
)
PERTH = DeploymentPlan(
    'perth',
    4,
    6,
    (ServicePlan('booking', 7, 3), ServicePlan('briefing', 4, 3, True)),
)


@dataclass
class Deployment:
    """A running deployment.

    :param folder: where settings, logs and records are.
    :param entries: :class:`Proc` by name.
    :param targets: (service, :class:`Proc`) by name.
    """

    plan: DeploymentPlan
    folder: Path
    files: Path
    entries: dict = field(default_factory=dict)
    targets: dict = field(default_factory=dict)
    planned: set = field(default_factory=set)
    kept_dumps: dict = field(default_factory=dict)
    platform: Proc | None = None
    fabric: Proc | None = None

    def get_zone(self, index):
        """Give the availability zone of the n-th entry or target."""
        return f'{self.plan.name}-z{index % self.plan.zones + 1}'

    @property
    def address(self):
        """Where callers send to, ``host:port``."""
        host, port = self.fabric.greeting['address']
        return f'{host}:{port}'

    def start(self, stack, faults, queue_limit=4):
        """Start everything; ``stack`` ends it.

        :param faults: options of the fabric, such as ``--loss 0.01``.
        """
        self.platform = self._start_proc(
            stack,
            'platform',
            [
                'standins.platform',
            ],
        )
        self._start_targets(stack, queue_limit)
        self._write_cfg()
        self._start_entries(stack)
        self._apply_cfg()
        self._wait_in_force()
        entries = [
            f'{proc.greeting["public"]}@{self.get_zone(index)}'
            for index, proc in enumerate(self.entries.values())
        ]
        pairs = [part for entry in entries for part in ('--entry', entry)]
        self.fabric = self._start_proc(
            stack, 'fabric', ['standins.fabric', *pairs, *faults]
        )

    def _start_proc(self, stack, name, args, greets=True):
        proc = Proc(name, args, self.folder, greets)
        stack.callback(proc.stop)
        return proc

    def _start_targets(self, stack, queue_limit):
        for service in self.plan.services:
            for index in range(service.targets):
                name = f'{service.name}-{index + 1}'
                self.planned.add(name)
                self.start_target(stack, service, name, queue_limit)

    def is_planned(self, name):
        """Say whether a target was there from the start."""
        return name in self.planned

    def start_target(self, stack, service, name, queue_limit=4):
        """Start one target; the configuration does not name it yet."""
        args = ['standins.target', '--name', name]
        args += ['--service', service.name]
        args += ['--slots', str(service.slots)]
        args += ['--queue-limit', str(queue_limit)]
        if service.serves_files:
            args += ['--folder', str(self.files)]
        proc = self._start_proc(stack, name, args)
        self.targets[name] = (service, proc)
        return proc

    def keep_dump(self, name):
        """Keep what ran at a target that is about to end."""
        service, proc = self.targets.pop(name)
        dump = dump_target(name, service.name, proc)
        self.kept_dumps[name] = (service.name, dump)

    def _write_cfg(self):
        lines = []
        for index, service in enumerate(self.plan.services):
            lines += [f'[service {service.name}]']
            lines += [f'address = 10.0.0.{index + 1}:9000']
            lines += [f'token_s = {service.token_s}', '']
        for index, (name, (service, proc)) in enumerate(self.targets.items()):
            lines += [f'[target {name}]', f'service = {service.name}']
            lines += [f'address = {proc.greeting["address"]}']
            lines += [f'zone = {self.get_zone(index)}']
            lines += [f'slots = {service.slots}']
            lines += [f'conns = {service.conns}', '']
        lines += ['[key 1]', f'secret = {secrets.token_hex(32)}']
        lines += ['stage = signing', '']
        cfg = self.folder / 'cfg'
        cfg.mkdir()
        (cfg / '10-demo.ini').write_text('\n'.join(lines))

    def _start_entries(self, stack):
        for index in range(self.plan.entries):
            self._start_entry(stack, index)

    def start_entry(self, stack, index):
        """Start one more entry and wait until it serves.

        :returns: its name.
        """
        name = self._start_entry(stack, index)
        public = self.entries[name].greeting['public']
        open_flow(public, self.plan.services[0].name, name)
        return name

    def _start_entry(self, stack, index):
        name = f'{self.plan.name}-entry-{index + 1}'
        settings = self.folder / f'{name}.ini'
        settings.write_text(
            '\n'.join(
                [
                    '[instance]',
                    f'name = {name}',
                    f'zone = {self.get_zone(index)}',
                    'public = 127.0.0.1:0',
                    'private = 127.0.0.1:0',
                    'api = 127.0.0.1:0',
                    f'platform = {self.platform.greeting["address"]}',
                    '[tls]',
                    'mode = off',
                    '[seeds]',
                    *self._list_seeds(),
                    '',
                ]
            )
        )
        args = ['cornelgap.entry.main', '--settings', str(settings)]
        self.entries[name] = self._start_proc(stack, name, args)
        return name

    def _list_seeds(self):
        """List peers from which a cold start may take a configuration."""
        return [
            f'{name} = {proc.greeting["api"]}'
            for name, proc in list(self.entries.items())[-3:]
        ]

    def _apply_cfg(self):
        cfg, findings, _ = load_folder(self.folder / 'cfg')
        if findings:
            raise RuntimeError(f'bad configuration: {findings}')
        store = PlatformStore.from_address(self.platform.greeting['address'])
        result = publishing.publish(
            store, cfg, 'demo', 'the demo starts', secrets.token_hex(8), Stamp()
        )
        store.close()
        if not result.accepted:
            raise RuntimeError(f'configuration refused: {result.text}')

    def _wait_in_force(self):
        """Wait until each entry opens flows of each service."""
        for name, proc in self.entries.items():
            for service in self.plan.services:
                open_flow(proc.greeting['public'], service.name, name)

    def dump_targets(self):
        """Ask each target what ran, by its name."""
        dumps = {
            name: (service.name, dump_target(name, service.name, proc))
            for name, (service, proc) in self.targets.items()
        }
        return dumps | self.kept_dumps


def open_flow(address, service, name):
    """Open a flow at one entry instance, as a caller.

    :raises RuntimeError: if it opens none.
    """
    client = CallerClient([parse_address(address)])
    flow = client.open_flow(service, open_s=OPEN_S)
    while not flow.is_open():
        client.poll(0.2)
        if flow.is_closed:
            raise RuntimeError(f'{name} opens no flow of {service}')
    client.close()


def dump_target(name, service, proc):
    """Ask a target straight, past the product, what ran at it.

    :returns: bytes of JSON, see ``build_report`` of the target stand-in.
    """
    with grpc.insecure_channel(proc.greeting['address']) as channel:
        request = target_pb2.RunRequest(
            service=service, target=name, payload=b'dump'
        )
        pieces = target_pb2_grpc.TargetStub(channel).Run(
            request, timeout=DUMP_S
        )
        return b''.join(piece.payload for piece in pieces)


def make_files(folder):
    """Fill a folder with real files of this repository and larger ones.

    :returns: names of the smallest and the largest ones.
    """
    folder.mkdir()
    sources = [*ROOT.glob('docs/*.md'), *ROOT.glob('proto/*.proto')]
    sources += ROOT.glob('cornelgap/entry/*.py')
    for source in sources:
        shutil.copy(source, folder / source.name)
    # A document as large as a scanned patent, of text that repeats in no
    # period of a chunk, so that a misplaced chunk shows.
    text = b''.join(path.read_bytes() for path in sources)
    lines = [b'%d %d\n' % (at, at * at) for at in range(60000)]
    (folder / 'large.txt').write_bytes(text + b''.join(lines))
    names = [path.name for path in sorted(folder.iterdir(), key=_get_size)]
    return [*names[:4], *names[-4:]]


def _get_size(path):
    return path.stat().st_size
