"""One instance on the platform's machines: its tasks and its life."""

import logging
import os
import random
import signal
import sys
import threading
import time

from cornelgap.decisions.cold_starts import ColdStarts
from cornelgap.decisions.following import compute_wait
from cornelgap.forwarding import fetcher
from cornelgap.forwarding.directory_actor import (
    DIRECTORY,
    AnnounceLeaving,
    DirectoryActor,
    KeyKnown,
    ReadNews,
    ReadSnapshot,
)
from cornelgap.forwarding.engine import Engine
from cornelgap.forwarding.facts import read_clock
from cornelgap.forwarding.follower import Follower
from cornelgap.forwarding.neighbours import Self
from cornelgap.forwarding.packet_actor import Codec, PacketActor, ReadCounts
from cornelgap.kernel.logs import LineHandler, RateFilter, configure_logs
from cornelgap.kernel.names import tell_service
from cornelgap.kernel.pages import make_server
from cornelgap.kernel.supervision import Supervisor
from cornelgap.platform import layout
from cornelgap.platform.keys import KEYS, CheckKey, KeyKeeper
from cornelgap.platform.sources import StoreSource
from cornelgap.platform.store import StoreClient

EXIT_CRASHED = 3
LOG_LINES_PER_S = 100
"""About 30 KB a second at most."""

ROUTERS_S = 1.3
"""Time in which routers notice that an instance is not ready: two missed
questions, half a second apart, and some way."""

QUIET_S = 0.4
"""Time without a packet after which routers have surely let go."""

SPARE_S = 1.0
"""Left of the grace period when the process ends by itself."""

READY_PATH = '/-/readiness'
METRICS_PATH = '/metrics'
METRICS_PORT = 9464
"""The port that is customary for exporters; deploy/system.toml names it."""

ASK_S = 1.0
"""Longest wait for an actor's answer, seconds."""

SIGNALS = (signal.SIGTERM, signal.SIGHUP)
"""Signals of the platform.  All threads block them, so that they wait for the
main one: one that comes while the process is stopped may else wake any
thread, and its handler would run when the main one wakes, which is never."""

CODEC = Codec(
    layout.decode_packet,
    layout.encode_forward,
    layout.encode_reset,
    layout.format_ip,
)
_LOG = logging.getLogger('cornelgap.node')


class Node:
    """The tasks of one instance, started and stopped in order.

    :param settings: :class:`~cornelgap.platform.settings.NodeSettings`.
    :param sock: socket at which callers' packets arrive.
    """

    def __init__(self, settings, sock):
        """Prepare; nothing runs before :meth:`start`."""
        self.settings = settings
        self._sock = sock
        self.complete = threading.Event()
        self.leaving = threading.Event()
        self._packets = None
        self._directory = None
        self._client = None

    @classmethod
    def from_settings(cls, settings, sock):
        """Build the node of one process."""
        return cls(settings, sock)

    def is_ready(self):
        """Say whether routers should send packets."""
        return self.complete.is_set() and not self.leaving.is_set()

    def start(self):
        """Start all tasks."""
        settings = self.settings
        name = settings.name
        rng = random.Random()
        wait_s = compute_wait(min(settings.apply_s, settings.drain_s))
        port = settings.inner_ports[0]
        cold_starts = ColdStarts(name, settings.cold_limit)
        engine = Engine(settings.zone, rng, cold_starts)
        Supervisor.start(name, end_crashed)
        self._packets = PacketActor.start(
            name, engine, CODEC, self._sock, DIRECTORY
        )
        fetcher.Fetcher.start(name, port, DIRECTORY)
        self._client = StoreClient.from_settings(settings)
        source = StoreSource(
            self._client, lambda: tell_service(name, KEYS, CheckKey())
        )
        Follower.start(name, source, DIRECTORY, wait_s, rng, time.sleep)
        self._directory = DirectoryActor.start(
            Self(name, settings.zone, settings.host, settings.capacity),
            port,
            settings.seeds,
            wait_s,
            rng,
            self.complete.set,
        )
        address = (settings.host, port)
        _serve(fetcher.make_server(address, self._read_snapshot))
        _serve(make_server(settings.ready, {READY_PATH: self._make_ready}))
        metrics = (settings.host, METRICS_PORT)
        _serve(make_server(metrics, {METRICS_PATH: self._make_metrics}))
        key_client = StoreClient.from_settings(settings)
        KeyKeeper.start(name, key_client, time.sleep, self._tell_key)

    def _read_snapshot(self):
        return self._directory.ask(ReadSnapshot(), timeout=fetcher.FETCH_S)

    def _make_ready(self):
        return (200 if self.is_ready() else 503), b''

    def _make_metrics(self):
        # Imported on demand, see the module's text.
        from cornelgap.forwarding import metric_page

        counts, gauges, _ = self._packets.ask(ReadCounts(), timeout=ASK_S)
        more_counts, more_gauges = self._directory.ask(
            ReadNews(), timeout=ASK_S
        )
        gauges.update(more_gauges, store_calls_total=self._client.calls)
        counts.update(more_counts)
        samples = metric_page.make_samples(counts, gauges)
        return 200, metric_page.make_page(samples)

    def _tell_key(self, key):
        self._directory.tell(KeyKnown(key))

    def leave(self):
        """Forward until routers have let go; returns when that is so."""
        self._directory.tell(AnnounceLeaving())
        began = read_clock()
        last = began + self.settings.grace_s - SPARE_S
        time.sleep(ROUTERS_S)
        while read_clock() < last:
            _, _, packet_at = self._packets.ask(ReadCounts(), timeout=ASK_S)
            if read_clock() - packet_at > QUIET_S:
                return
            time.sleep(QUIET_S / 4)


def end_crashed(name):
    """End the process, since one of its actors has crashed.

    Half a process must not go on: routers find it ready, and it would drop
    packets or place flows by a directory that never changes again.  The
    platform starts a new one.
    """
    _LOG.error('node: ends after a crash', extra={'actor': name})
    sys.stdout.flush()
    os._exit(EXIT_CRASHED)


def _serve(server):
    threading.Thread(target=server.serve_forever, daemon=True).start()


def run_node(settings, sock):
    """Run one instance until SIGTERM; does not return.

    :param sock: socket at which callers' packets arrive.
    """
    configure_logs(
        {},
        settings.name,
        LineHandler(sys.stdout.fileno()),
        limit=RateFilter(LOG_LINES_PER_S),
    )
    node = Node.from_settings(settings, sock)
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    node.start()
    _LOG.info('node: started', extra={'zone': settings.zone})
    while signal.sigwait(SIGNALS) != signal.SIGTERM:
        _LOG.info('node: settings have changed, used from the next start')
    node.leaving.set()
    _LOG.info('node: leaving')
    node.leave()
    _LOG.info('node: ended')
    sys.stdout.flush()
    # Actors may still wait for the store; nothing of theirs must be kept.
    os._exit(0)
