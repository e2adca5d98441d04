"""One entry instance put together: its tasks, started and stopped in order.

The tasks find each other by name and talk by messages; this module only
starts them, with the sockets and links that each one owns from then on.
"""

import random
import threading
import time

from cornelgap.cfg.store import CHANNEL_OPTIONS, PlatformStore
from cornelgap.core.control import Instance
from cornelgap.core.token import make_nonce
from cornelgap.entry.cfg_actor import CFG, CfgActor, ReadBundle
from cornelgap.entry.distribution import Distribution
from cornelgap.entry.engine import Engine
from cornelgap.entry.instances import (
    INSTANCES,
    AnnounceLeaving,
    InstancesActor,
)
from cornelgap.entry.links import TargetLinks
from cornelgap.entry.operations import Operations
from cornelgap.entry.packets import (
    PACKETS,
    CallEvents,
    Leave,
    PacketActor,
    ReadState,
    TakeHandover,
    format_address,
    open_socket,
)
from cornelgap.entry.peer_clients import PeerClients, make_hand_over
from cornelgap.entry.peer_server import PeerService, start_peer_server
from cornelgap.kernel.credentials import (
    list_channel_options,
    load_channel_credentials,
    load_server_credentials,
    open_channel,
)
from cornelgap.kernel.loops import LoopThread
from cornelgap.kernel.names import get_actor, tell_actor
from cornelgap.kernel.supervision import Supervisor

START_S = 10.0
"""Longest wait for a server to listen, in seconds."""


class EntryNode:
    """All tasks of one entry instance.

    :param settings: :class:`cornelgap.entry.settings.Settings`.
    :param trust: :class:`cornelgap.entry.trust.Trust`.
    """

    def __init__(self, settings, trust):
        """Prepare; nothing runs before :meth:`start`."""
        self.settings = settings
        self.trust = trust
        self.boot = make_nonce()
        self.ended = threading.Event()
        self.crashed = ''
        self.public = ''
        self.private = ''
        self.api = ''
        self.admin = ''
        self._started = time.monotonic()
        self._operations = None
        self._refs = []
        self._loops = None
        self._links = None
        self._store = None
        self._clients = None
        self._server = None

    @classmethod
    def from_settings(cls, settings, trust):
        """Build the node of one process."""
        return cls(settings, trust)

    def start(self):
        """Open sockets and servers and start all tasks."""
        settings = self.settings
        self._loops = LoopThread.start_new(f'loop-{settings.name}')
        trust = self.trust
        self._store = PlatformStore(
            open_channel(settings.platform, trust.platform, CHANNEL_OPTIONS)
        )
        self._clients = PeerClients(
            settings.name,
            load_channel_credentials(trust.fleet),
            list_channel_options(trust.fleet),
        )
        self._refs.append(Supervisor.start(settings.name, self._note_crash))
        self._start_peer_server()
        packets = self._start_packets()
        self._operations = Operations.start(
            settings, trust, self._loops, self.leave, self._started
        )
        self.admin = self._operations.admin
        self._start_control(packets)
        self._operations.watch_actors(settings.name)

    def leave(self):
        """Begin a planned stop; :attr:`ended` is set when it is complete."""
        name = self.settings.name
        tell_actor(name, PACKETS, Leave())
        tell_actor(name, INSTANCES, AnnounceLeaving())

    def stop(self):
        """Stop all tasks, last started first."""
        self._operations.stop()
        for ref in reversed(self._refs):
            ref.stop()
        self._loops.submit(self._server.stop(0)).result(START_S)
        self._loops.submit(self._clients.close()).result(START_S)
        self._links.close()
        self._store.close()
        self._loops.stop()

    def _note_crash(self, name):
        # Half a process must not go on: it would answer packets with a
        # configuration that never changes again.  The platform starts a
        # new one, under another boot nonce.
        self.crashed = name
        self.ended.set()

    def _start_peer_server(self):
        service = PeerService(
            self.boot, self._ask_cfg, self._ask_handover, self._ask_peers
        )
        self._server, port = self._loops.submit(
            start_peer_server(
                service,
                self.settings.api,
                load_server_credentials(self.trust.fleet),
            )
        ).result(START_S)
        host = self.settings.api.rpartition(':')[0]
        self.api = f'{host}:{port}'

    def _start_packets(self):
        settings = self.settings
        public = open_socket(settings.public)
        private = open_socket(settings.private)
        self.public = format_address(public.getsockname())
        self.private = format_address(private.getsockname())
        rng = random.Random(self.boot)
        engine = Engine.from_settings(
            settings.name, settings.zone, self.boot, rng, self.api
        )
        self._links = TargetLinks.from_settings(
            self._loops,
            self._report_events,
            load_channel_credentials(self.trust.targets),
            list_channel_options(self.trust.targets),
        )
        hand_over = make_hand_over(
            self._loops,
            self._clients,
            self.boot,
            engine.state.membership.find_api,
            self._report_events,
        )
        ref = PacketActor.start(
            engine,
            public,
            private,
            self._links.put,
            hand_over,
            self.ended.set,
        )
        self._refs.append(ref)
        return ref

    def _report_events(self, events):
        tell_actor(self.settings.name, PACKETS, CallEvents(events))

    def _start_control(self, packets):
        settings = self.settings
        own = Instance(
            settings.name,
            settings.zone,
            self.private,
            self.api,
            admin=self.admin,
        )
        self._refs.append(
            InstancesActor.start(
                settings.name,
                own,
                self._store,
                packets,
                self._loops,
                settings.register_s,
            )
        )
        seeds = settings.sections.get('seeds', {}).values()
        distribution = Distribution.from_settings(
            settings.name, settings.zone, seeds=seeds
        )
        self._refs.append(
            CfgActor.start(
                settings.name,
                distribution,
                self._store,
                packets,
                self._loops,
                self._clients,
                self.leave,
            )
        )

    def _ask_cfg(self, known, known_stamp):
        ref = get_actor(self.settings.name, CFG)
        return ref.ask(ReadBundle(known, known_stamp), block=False)

    def _ask_peers(self):
        settings = self.settings
        own = Instance(settings.name, settings.zone, self.private, self.api)

        def read(state, now):
            return [own, *state.membership.list_live_instances(now)]

        ref = get_actor(settings.name, PACKETS)
        return ref.ask(ReadState(read), block=False)

    def _ask_handover(self, records):
        ref = get_actor(self.settings.name, PACKETS)
        return ref.ask(TakeHandover(records), block=False)
