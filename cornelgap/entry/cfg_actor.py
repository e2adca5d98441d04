"""The task that keeps the configuration in force the newest one.

It carries out what :mod:`cornelgap.entry.distribution` decides: watches and
reads the platform in threads of its own, fetches from peers through the
loop, and tells the packet actor what to adopt.
"""

import logging
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from cornelgap.cfg import document
from cornelgap.cfg.publishing import ROOT_NAME, read_current
from cornelgap.core.control import Instance
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.stamps import Stamp
from cornelgap.entry.distribution import (
    CloseWatch,
    FetchPeer,
    OpenWatch,
    ReadPlatform,
)
from cornelgap.entry.instances import INSTANCES, ListSoon
from cornelgap.entry.packets import AdoptCfg, PeersHinted, ReadState
from cornelgap.entry.views import read_view
from cornelgap.kernel.named_actor import NamedActor
from cornelgap.kernel.names import tell_actor, tell_if_alive

CFG = 'cfg'
PULSE_S = 0.1
"""Seconds between two looks at what peers state."""

LIVE_EVERY = 10
"""Pulses between two looks at who is alive."""

_LOG = logging.getLogger('cornelgap.cfg')


@dataclass(frozen=True, slots=True)
class Pulse:
    """Message: time to look and decide."""


@dataclass(frozen=True, slots=True)
class ViewTaken:
    """Message: what the packet actor knows."""

    view: object


@dataclass(frozen=True, slots=True)
class RootSeen:
    """Message: the watch delivered a root."""

    stamp: Stamp


@dataclass(frozen=True, slots=True)
class WatchEnded:
    """Message: the watch has ended.

    :param watch: the watch that ended; an older one may end late.
    """

    watch: object
    lived_s: float


@dataclass(frozen=True, slots=True)
class ReadEnded:
    """Message: a read of the platform has ended; cfg None if it failed."""

    cfg: object
    bundle: bytes


@dataclass(frozen=True, slots=True)
class FetchEnded:
    """Message: a fetch from a peer has ended; reply None if it failed."""

    name: str
    reply: object


@dataclass(frozen=True, slots=True)
class ReadBundle:
    """Message: give (stamp, bundle); asked, not told.

    :param known: digests of parts that the asker has.
    :param known_stamp: place of the configuration that it has.
    """

    known: frozenset
    known_stamp: Stamp


class CfgActor(NamedActor):
    """Owns the bundle in force and the ways to a newer one.

    :param distribution: :class:`cornelgap.entry.distribution.Distribution`.
    :param store: :class:`cornelgap.cfg.store.Store`.
    :param packet: reference to the packet actor.
    :param loops: :class:`cornelgap.kernel.loops.LoopThread`.
    :param clients: :class:`cornelgap.entry.peer_clients.PeerClients`.
    :param leave: begins a planned stop, when the configuration says that
        this instance drains; must not block.
    """

    def __init__(
        self, scope, distribution, store, packet, loops, clients, leave=None
    ):
        """Prepare; nothing is asked before the first pulse."""
        super().__init__(scope, CFG)
        self._distribution = distribution
        self._store = store
        self._packet = packet
        self._loops = loops
        self._clients = clients
        self._leave = leave
        self._bundle = b''
        self._watch = None
        self._pulses = 0
        self._stop_pulse = None
        self._reader = ThreadPoolExecutor(1, thread_name_prefix='cfg-read')
        self.handlers = {
            Pulse: self._pulse,
            ViewTaken: self._take_view,
            RootSeen: self._note_root,
            WatchEnded: self._note_watch_ended,
            ReadEnded: self._note_read,
            FetchEnded: self._note_fetched,
            ReadBundle: self._read_bundle,
        }

    def acquire_resources(self):
        """Begin to look and decide at once."""
        ref = self.actor_ref
        self._stop_pulse = self._loops.call_every(
            PULSE_S, lambda: tell_if_alive(ref, Pulse())
        )

    def release_resources(self):
        """End the watch and the threads."""
        self._stop_pulse()
        self._close_watch()
        self._reader.shutdown(wait=False, cancel_futures=True)

    def _pulse(self, _message):
        with_live = self._pulses % LIVE_EVERY == 0
        self._pulses += 1
        ref = self.actor_ref

        def read(state, now):
            # The packet actor answers by a message: nobody waits.
            tell_if_alive(ref, ViewTaken(read_view(state, now, with_live)))

        tell_if_alive(self._packet, ReadState(read))
        self._act()

    def _take_view(self, message):
        if message.view.has_unknown_addresses:
            tell_actor(self.scope, INSTANCES, ListSoon())
        self._distribution.note_view(time.monotonic(), message.view)
        self._act()

    def _note_root(self, message):
        self._distribution.note_watch_item(time.monotonic(), message.stamp)
        self._act()

    def _note_watch_ended(self, message):
        if message.watch is not self._watch:
            return
        self._watch = None
        self._distribution.note_watch_ended(time.monotonic(), message.lived_s)

    def _note_read(self, message):
        now = time.monotonic()
        if message.cfg is None:
            self._distribution.note_read(now, None)
        else:
            payload = (message.cfg, message.bundle)
            self._distribution.note_read(now, message.cfg.stamp, payload)
        self._act()

    def _note_fetched(self, message):
        now = time.monotonic()
        if message.reply is None:
            self._distribution.note_fetched(now, message.name, None)
        elif not message.reply.document:
            self._distribution.note_fetched(now, message.name, Stamp())
        else:
            self._decode_reply(now, message.name, message.reply)
        self._pass_hints(message.reply)
        self._act()

    def _pass_hints(self, reply):
        if reply is not None and reply.peers:
            hints = [
                Instance(peer.name, peer.zone, peer.address, peer.api)
                for peer in reply.peers
            ]
            tell_if_alive(self._packet, PeersHinted(hints))

    def _decode_reply(self, now, name, reply):
        bundle = document.complete_bundle(reply.document, self._bundle)
        cfg, findings = document.decode_bundle(bundle, reply.era)
        if cfg is None:
            _LOG.warning(
                'cfg: bundle of a peer is damaged',
                extra={'peer': name, 'code': str(findings[0].code)},
            )
            self._distribution.note_fetched(now, name, None)
        else:
            payload = (cfg, bundle)
            self._distribution.note_fetched(now, name, cfg.stamp, payload)

    def _read_bundle(self, message):
        stamp = self._distribution.stamp
        if not self._bundle or message.known_stamp >= stamp:
            return stamp, b''
        return stamp, document.trim_bundle(self._bundle, message.known)

    def _act(self):
        now = time.monotonic()
        payload = self._distribution.take_ripe(now)
        if payload is not None:
            self._adopt(*payload)
        for action in self._distribution.decide(now):
            self._carry_out(action)

    def _adopt(self, cfg, bundle):
        self._bundle = bundle
        tell_if_alive(self._packet, AdoptCfg(cfg, bundle))
        _LOG.info(
            'cfg: in force', extra={'revision': cfg.revision, 'era': cfg.era}
        )
        if self._leave and self.scope in cfg.draining_instances:
            self._leave()

    def _carry_out(self, action):
        if isinstance(action, ReadPlatform):
            self._reader.submit(
                _read_platform, self._store, self._bundle, self.actor_ref
            )
        elif isinstance(action, FetchPeer):
            self._fetch(action)
        elif isinstance(action, OpenWatch):
            self._watch = RootWatch(self._store, self.actor_ref)
            self._watch.start()
        elif isinstance(action, CloseWatch):
            self._close_watch()

    def _fetch(self, action):
        ref = self.actor_ref
        parts = list(document.list_parts(self._bundle))
        fut = self._loops.submit(
            self._clients.fetch_cfg(action.api, self._distribution.stamp, parts)
        )

        def report(done):
            failed = done.cancelled() or done.exception() is not None
            reply = None if failed else done.result()
            tell_if_alive(ref, FetchEnded(action.name, reply))

        fut.add_done_callback(report)

    def _close_watch(self):
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None


class RootWatch:
    """A thread that reads one watch of the root and reports to the actor."""

    def __init__(self, store, ref):
        """Prepare the thread."""
        self._store = store
        self._ref = ref
        self._cancelled = threading.Event()
        self._feed = None
        self._thread = threading.Thread(
            target=self._follow, name='cfg-watch', daemon=True
        )

    def start(self):
        """Open the watch."""
        self._thread.start()

    def cancel(self):
        """End the watch, from any thread."""
        self._cancelled.set()
        if self._feed is not None:
            self._feed.cancel()

    def _follow(self):
        began = time.monotonic()
        try:
            self._read_feed()
        except CodedError as exc:
            _LOG.info('cfg: no watch', extra={'code': str(exc.code)})
        lived = time.monotonic() - began
        tell_if_alive(self._ref, WatchEnded(self, lived))

    def _read_feed(self):
        self._feed = self._store.watch(ROOT_NAME)
        if self._cancelled.is_set():
            self._feed.cancel()
        for item in self._feed:
            root, _ = document.read_root(item.value)
            if root is not None:
                stamp = Stamp(item.era, root.revision)
                tell_if_alive(self._ref, RootSeen(stamp))


def _read_platform(store, known, ref):
    cfg = None
    bundle = b''
    try:
        cfg, bundle, findings = read_current(store, known)
        if findings:
            _log_read(findings[0].code)
    except Exception as exc:
        # Whatever it was, the actor must hear that the read has ended, or
        # it would never start another one.
        _log_read(getattr(exc, 'code', Code.PLT_DOWN))
        cfg = None
    tell_if_alive(ref, ReadEnded(cfg, bundle))


def _log_read(code):
    _LOG.warning('cfg: platform not read', extra={'code': str(code)})
