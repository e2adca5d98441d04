"""Which configuration to adopt, and when to ask whom for a newer one.

A state machine without network, clock or thread; the actor beside it
(:mod:`cornelgap.entry.cfg_actor`) carries its actions out and notes what
came of them.  Three ways bring news, each repairing the others: the
platform's watch at a few instances, the revision that peers' datagrams
state, and a periodic read.

Only rising revisions are adopted, and those of a later era of the platform's
store before all of an earlier one.  A watch can deliver late, a store can
answer with an old value and a peer can be behind; taking an older revision
would bring back targets that have left, and an operator would see an
accepted change revert.
"""

import random
from dataclasses import dataclass

from cornelgap.core.control import Instance
from cornelgap.core.stamps import Stamp
from cornelgap.decisions.fanout import choose_source, is_watcher

WATCHER_READ_S = 10.0
"""Seconds between two repair reads of a watcher.  A watch that died
silently then delays a change by at most this time, within the 18 s that a
change may take, and 14 watchers make 1.4 reads a second."""

OTHER_READ_S = 90.0
"""Seconds between two repair reads of the others.  690 instances make 8
reads a second of the 2,000 that the platform gives."""

JITTER = 0.2
"""Part by which waits vary, so that instances that were started or cut off
together do not read together for ever."""

RETRY_FIRST_S = 0.25
STALE_READ_S = 1.0
RETRY_MOST_S = 30.0
"""Wait after a failed read, doubled up to the most: 690 instances then
make 23 reads a second on a platform that comes back from an outage."""

WATCH_FIRST_S = 0.5
WATCH_MOST_S = 8.0
SHORT_WATCH_S = 1.0
"""A watch that lived shorter than this counts as failed."""

FETCH_FIRST_S = 0.1
FETCH_MOST_S = 4.0

COLD_READ_S = 2.0
"""Seconds between reads while the platform has no configuration yet: the
very first one is not announced by peers, which have no key to sign with."""

COLD_ANSWERS = 3
"""Peers asked at a cold start."""

COLD_WAIT_S = 1.0
"""Longest wait at a cold start for more answers after the first one, so
that one peer that is behind does not decide alone."""

HINT_EVERY_S = 2.0
"""A sign of being behind can be forged by anybody, for one by a token with
an invented key id; it causes a read at most this often."""


@dataclass(frozen=True, slots=True)
class OpenWatch:
    """Action: open a watch on the platform."""


@dataclass(frozen=True, slots=True)
class CloseWatch:
    """Action: close it."""


@dataclass(frozen=True, slots=True)
class ReadPlatform:
    """Action: read the configuration from the platform."""


@dataclass(frozen=True, slots=True)
class FetchPeer:
    """Action: fetch the configuration from a peer.

    :param api: ``host:port`` of its gRPC server.
    """

    name: str
    api: str


@dataclass(slots=True)
class _Offer:
    stamp: Stamp
    payload: object
    since: float


class Distribution:
    """State of one entry instance's way to the newest configuration."""

    def __init__(self, own, zone, rng, seeds):
        """Start cold: nothing in force."""
        self.own = own
        self.zone = zone
        self.stamp = Stamp()
        self.wanted = Stamp()
        self._rng = rng
        self._seeds = seeds
        self._live = ()
        self._ahead = ()
        self._offer = None
        self._reading = False
        self._read_at = 0
        self._read_fails = 0
        self._fetching = set()
        self._fetch_at = 0
        self._fetch_fails = 0
        self._failed_names = set()
        self._watching = False
        self._watch_at = 0
        self._watch_fails = 0
        self._hint_at = float('-inf')
        self._signs = 0
        self._asks_anybody = False

    @classmethod
    def from_settings(cls, own, zone, rng=None, seeds=()):
        """Build the state machine of one instance.

        :param seeds: ``host:port`` of peers' gRPC servers, from settings,
            for a cold start while the platform is down.
        """
        peers = [Instance(api, '', '', api) for api in seeds]
        return cls(own, zone, rng or random.Random(own), peers)

    def note_view(self, now, view):
        """Take in a :class:`cornelgap.core.control.ControlView`."""
        if view.live is not None:
            self._live = view.live
        self._ahead = view.newer_peers
        for peer in view.newer_peers:
            self.wanted = max(self.wanted, peer.stamp)
        if view.outdated_cfg_hints > self._signs:
            self._note_hint(now)
        self._signs = view.outdated_cfg_hints

    def note_watch_item(self, now, stamp):
        """A watch delivered a root of this place."""
        if stamp > self.stamp:
            self.wanted = max(self.wanted, stamp)
            self._read_at = min(self._read_at, now)

    def note_watch_ended(self, now, lived_s):
        """The watch has ended, for whatever reason."""
        self._watching = False
        short = lived_s < SHORT_WATCH_S
        self._watch_fails = self._watch_fails + 1 if short else 0
        wait = _back_off(WATCH_FIRST_S, WATCH_MOST_S, self._watch_fails)
        self._watch_at = now + self._vary(wait if short else 0)
        # What was written between two watches is seen by the next one,
        # which begins with what exists.

    def note_read(self, now, stamp, payload=None):
        """A read of the platform has ended.

        :param stamp: place of what it gave; None if it failed, revision 0
            if the platform has no configuration yet.
        """
        self._reading = False
        if stamp is None:
            self._read_fails += 1
            wait = _back_off(RETRY_FIRST_S, RETRY_MOST_S, self._read_fails)
            self._read_at = now + self._vary(wait)
            return
        self._read_fails = 0
        self._take_offer(now, stamp, payload)
        self._read_at = now + self._vary(self._choose_read_wait(stamp))

    def note_fetched(self, now, name, stamp, payload=None):
        """A fetch from a peer has ended.

        :param stamp: place of what it gave; None if it failed, revision 0
            if the peer has no configuration either.
        """
        self._fetching.discard(name)
        if stamp is None or stamp <= self.stamp:
            self._failed_names.add(name)
            self._fetch_fails += 1
            wait = _back_off(FETCH_FIRST_S, FETCH_MOST_S, self._fetch_fails)
            self._fetch_at = now + self._vary(wait)
        if stamp is not None:
            self._take_offer(now, stamp, payload)

    def decide(self, now):
        """Decide what to ask for now; the actions count as under way.

        :returns: list of actions.
        """
        actions = []
        self._decide_watch(now, actions)
        self._decide_read(now, actions)
        if self.stamp.revision:
            self._decide_fetch(now, actions)
        else:
            self._decide_cold(now, actions)
        return actions

    def take_ripe(self, now):
        """Give the payload to be put in force now, or None.

        At a cold start the first answer may be an old one, so others are
        awaited for a moment.  Later any rise is taken at once.
        """
        offer = self._offer
        if offer is None:
            return None
        waiting = self._fetching or self._reading
        is_cold = not self.stamp.revision
        if is_cold and waiting and now - offer.since < COLD_WAIT_S:
            return None
        self._offer = None
        self.stamp = offer.stamp
        self.wanted = max(self.wanted, offer.stamp)
        self._fetch_fails = 0
        self._fetch_at = now
        self._failed_names.clear()
        return offer.payload

    def _decide_watch(self, now, actions):
        wanted = self._is_watcher()
        if wanted and not self._watching and now >= self._watch_at:
            self._watching = True
            actions.append(OpenWatch())
        elif self._watching and not wanted:
            self._watching = False
            actions.append(CloseWatch())

    def _decide_read(self, now, actions):
        if not self._reading and now >= self._read_at:
            self._reading = True
            actions.append(ReadPlatform())

    def _decide_fetch(self, now, actions):
        if self._fetching or now < self._fetch_at:
            return
        known = {peer.name: peer for peer in self._live}
        peers = []
        if self.wanted > self.stamp:
            peers = [known.get(peer.name, peer) for peer in self._ahead]
        if self._asks_anybody:
            self._asks_anybody = False
            peers = peers or [*self._live, *self._seeds]
        peer = choose_source(self._rng, self.zone, peers, self._failed_names)
        if peer is not None:
            self._ask_peer(peer, actions)

    def _decide_cold(self, now, actions):
        if now < self._fetch_at or self._fetching:
            return
        peers = [
            peer
            for peer in (*self._live, *self._seeds)
            if peer.api and peer.name != self.own
        ]
        if not peers:
            return
        count = min(COLD_ANSWERS, len(peers))
        for peer in self._rng.sample(peers, count):
            self._ask_peer(peer, actions)
        self._fetch_at = now + self._vary(COLD_WAIT_S)

    def _ask_peer(self, peer, actions):
        if peer.name not in self._fetching:
            self._fetching.add(peer.name)
            actions.append(FetchPeer(peer.name, peer.api))

    def _take_offer(self, now, stamp, payload):
        if not stamp.revision or stamp <= self.stamp:
            return
        self.wanted = max(self.wanted, stamp)
        if self._offer is None:
            self._offer = _Offer(stamp, payload, now)
        elif stamp > self._offer.stamp:
            self._offer.stamp = stamp
            self._offer.payload = payload

    def _choose_read_wait(self, stamp):
        if stamp < self.wanted:
            # A lagging replica of the store answered; somebody has seen
            # more than it shows.
            return STALE_READ_S
        if not stamp.revision:
            return COLD_READ_S
        return WATCHER_READ_S if self._is_watcher() else OTHER_READ_S

    def _note_hint(self, now):
        if now - self._hint_at < HINT_EVERY_S:
            return
        self._hint_at = now
        if self._read_fails:
            # After a key rotation that this instance missed it cannot read
            # the datagrams of its peers, and the platform is down too.  Any
            # peer may help; unasked, it would refuse valid tokens until the
            # platform is back.
            self._asks_anybody = True
        else:
            self._read_at = min(self._read_at, now)

    def _is_watcher(self):
        return is_watcher(self.own, self.zone, self._live)

    def _vary(self, wait):
        return wait * self._rng.uniform(1 - JITTER, 1 + JITTER)


def _back_off(first, most, fails):
    return min(most, first * 2 ** min(fails, 12))
