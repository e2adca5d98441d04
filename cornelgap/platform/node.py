"""One instance on the platform's machines: its tasks and its life."""

import logging
import os
import queue
import random
import signal
import sys
import threading
import time
from contextlib import contextmanager

from cornelgap.decisions.cold_starts import ColdStarts
from cornelgap.decisions.following import compute_max_watch_wait
from cornelgap.forwarding import fetcher
from cornelgap.forwarding.directory_actor import (
    DIRECTORY,
    AdoptSettings,
    AnnounceLeaving,
    DirectoryActor,
    KeyKnown,
    ReadMetrics,
    ReadSnapshot,
)
from cornelgap.forwarding.engine import Engine
from cornelgap.forwarding.facts import read_clock
from cornelgap.forwarding.follower import FOLLOWER, Follower, SetWatchWait
from cornelgap.forwarding.neighbours import InstanceIdentity
from cornelgap.forwarding.packet_actor import (
    FORWARDING,
    AdoptColdLimit,
    Codec,
    PacketActor,
    ReadCounts,
)
from cornelgap.kernel.logs import LineHandler, RateFilter, configure_logs
from cornelgap.kernel.names import tell_actor
from cornelgap.kernel.pages import make_server
from cornelgap.kernel.supervision import Supervisor, report_crash
from cornelgap.platform import layout
from cornelgap.platform.keys import KEYS, CheckKey, KeyKeeper
from cornelgap.platform.settings_watch import (
    SettingsWatch,
    take_signals,
    watch_until_stopped,
)
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

STOP_S = 0.5
"""Longest sleep of the main thread, which runs the signals' handlers: a
signal that came while the process was suspended may wake another one."""

ASK_S = 1.0
"""Longest wait for an actor's answer, seconds."""

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
    :param path: path of the settings file.
    """

    def __init__(self, settings, sock, path):
        """Prepare; nothing runs before :meth:`start`."""
        self.settings = settings
        self.settings_watch = SettingsWatch(path, settings, self.adopt_settings)
        self._sock = sock
        self.complete = threading.Event()
        self.leaving = threading.Event()
        self.withdrawn = threading.Event()
        self._packets = None
        self._directory = None
        self._client = None

    @classmethod
    def from_settings(cls, settings, sock, path):
        """Build the node of one process."""
        return cls(settings, sock, path)

    def is_ready(self):
        """Say whether routers should send packets."""
        out = self.leaving.is_set() or self.withdrawn.is_set()
        return self.complete.is_set() and not out

    def note_withdrawn(self, withdrawn):
        """Note whether the zone is out of rotation as it cannot serve."""
        if withdrawn:
            self.withdrawn.set()
        else:
            self.withdrawn.clear()

    def start(self):
        """Start all tasks."""
        settings = self.settings
        name = settings.name
        rng = random.Random()
        wait_s = compute_watch_wait(settings)
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
            self._client, lambda: tell_actor(name, KEYS, CheckKey())
        )
        Follower.start(name, source, DIRECTORY, wait_s, rng, time.sleep)
        self._directory = DirectoryActor.start(
            InstanceIdentity(
                name, settings.zone, settings.host, settings.capacity
            ),
            port,
            settings.seeds,
            wait_s,
            rng,
            self.complete.set,
            self.note_withdrawn,
        )
        address = (settings.host, port)
        _serve(fetcher.make_server(address, self._read_snapshot))
        _serve(make_server(settings.ready, {READY_PATH: self._make_ready}))
        metrics = (settings.host, METRICS_PORT)
        _serve(make_server(metrics, {METRICS_PATH: self._make_metrics}))
        key_client = StoreClient.from_settings(settings)
        KeyKeeper.start(name, key_client, time.sleep, self._tell_key)

    def adopt_settings(self, settings):
        """Put changed settings in force.

        Each task takes its part between two messages, so no packet waits.
        """
        self.settings = settings
        wait_s = compute_watch_wait(settings)
        messages = {
            FORWARDING: AdoptColdLimit(settings.cold_limit),
            FOLLOWER: SetWatchWait(wait_s),
            DIRECTORY: AdoptSettings(wait_s, settings.seeds, settings.capacity),
        }
        for service, message in messages.items():
            tell_actor(settings.name, service, message)

    def _read_snapshot(self):
        return self._directory.ask(
            ReadSnapshot(), timeout=fetcher.FETCH_TIMEOUT_S
        )

    def _make_ready(self):
        return (200 if self.is_ready() else 503), b''

    def _make_metrics(self):
        # Imported on demand, see the module's text.
        from cornelgap.forwarding import metric_page

        counts, gauges, _ = self._packets.ask(ReadCounts(), timeout=ASK_S)
        more_counts, more_gauges = self._directory.ask(
            ReadMetrics(), timeout=ASK_S
        )
        gauges.update(
            more_gauges,
            settings_reloads_total=self.settings_watch.counts,
            store_calls_total=self._client.calls,
        )
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


def compute_watch_wait(settings):
    """Return the longest wait of a watch, seconds."""
    return compute_max_watch_wait(min(settings.apply_s, settings.drain_s))


def end_crashed(name):
    """End the process, since one of its actors has crashed.

    Half a process must not go on: routers find it ready, and it would drop
    packets or place flows by a directory that never changes again.  The
    platform starts a new one.
    """
    _LOG.error('node: ends after a crash', extra={'actor': name})
    sys.stdout.flush()
    os._exit(EXIT_CRASHED)


@contextmanager
def end_if_crashed(name):
    """End the process with a line if the thread's work raises."""
    try:
        yield
    except Exception as exc:
        report_crash(name, 'node', exc)
        end_crashed('node')


def _serve(server):
    threading.Thread(target=server.serve_forever, daemon=True).start()


def run_node(settings, sock, path):
    """Run one instance until SIGTERM; does not return.

    :param sock: socket at which callers' packets arrive.
    :param path: path of the settings file.
    """
    configure_logs(
        {},
        settings.name,
        LineHandler(sys.stdout.fileno()),
        volume_filter=RateFilter(LOG_LINES_PER_S),
    )
    node = Node.from_settings(settings, sock, path)
    # A handler may interrupt any step of this thread, one that holds a lock
    # too; only this kind of queue allows for that.
    signals = queue.SimpleQueue()
    stops = queue.SimpleQueue()

    def note_signal(number, _frame):
        signals.put(number)
        if number == signal.SIGTERM:
            stops.put(number)

    signal.signal(signal.SIGTERM, note_signal)
    signal.signal(signal.SIGHUP, note_signal)

    def watch():
        with end_if_crashed(settings.name):
            watch_until_stopped(signals, node.settings_watch.look)

    with end_if_crashed(settings.name):
        node.start()
        _LOG.info('node: started', extra={'zone': settings.zone})
        # A look at the file may take long, and a stop must not wait for it.
        threading.Thread(target=watch, daemon=True).start()
        while not take_signals(stops, STOP_S):
            pass
    node.leaving.set()
    _LOG.info('node: leaving')
    node.leave()
    _LOG.info('node: ended')
    sys.stdout.flush()
    # Actors may still wait for the store; nothing of theirs must be kept.
    os._exit(0)
