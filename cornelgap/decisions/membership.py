"""Which entry instances there are, as this one may believe.

The platform's list lags: an entry in it may be dead, a leaving one gone, a
new one missing.  So the list is only a hint of whom to ask; what a peer
answers is the fact.  Nothing here needs a network: the caller sends what
:meth:`Membership.choose_pings` names and notes what it hears.

Grounds for the figures: a ping and its answer are about 100 bytes each on
the wire.  Two peers that hear each other need one exchange a second between
them, so six instances spend about 1 KB/s each.  Beyond that the rate is
capped: 4 pings a second sent and as many received, with their answers, are
about 1.7 KB/s of the 3 KB/s that control may use, at any fleet size.
Without the cap, 690 instances that ask everybody once a second would spend
140 KB/s each.  A flow's home is asked at once by the packets relayed to it,
so the cap does not delay the notice of a death that matters to a flow.
"""

import heapq
import random
from dataclasses import dataclass, field

from cornelgap.core.control import Instance, PeerRevision
from cornelgap.core.stamps import Stamp

PING_EVERY_S = 1.0
"""A peer that was heard from within this time is not asked."""

PING_RATE = 4.0
"""Pings a second at most, whatever the size of the fleet."""

SUSPECT_EVERY_S = 0.25
"""How often a peer that owes an answer is asked again."""

LOST_ASKS = 3
"""Unanswered asks, apart in time, after which a peer may be called lost."""

LOST_AFTER_S = 1.0
"""Silence after the first unanswered ask before a peer is called lost.

Three lost exchanges in a row have a chance of about 1 in 100,000 where 1%
of the packets is lost each way."""

FORGET_AFTER_S = 30.0
"""Silence after which an instance that is not listed is forgotten."""

PAUSE_S = 0.75
"""A gap between two turns that shows that this process was paused."""

PAST_BOOTS = 4
"""How many former boots of a name are remembered."""


@dataclass(slots=True)
class Peer:
    """What is known of one entry instance.

    :param boot: nonce of its process, 0 if never heard.
    :param heard_at: last time that it was heard, None if never.
    :param asked_at: first ask since it was last heard, None if none.
    :param asks: asks since then that were apart in time.
    :param doubted_boot: boot that a token named and that was never heard.
    """

    name: str
    zone: str = ''
    address: str = ''
    api: str = ''
    listed: bool = False
    leaving: bool = False
    boot: int = 0
    stamp: Stamp = Stamp()
    heard_at: float | None = None
    asked_at: float | None = None
    last_ask_at: float = float('-inf')
    asks: int = 0
    seen_at: float = 0
    doubted_boot: int = 0
    doubted_at: float = 0
    past_boots: list = field(default_factory=list)


class Membership:
    """View of the other entry instances; holds state, decides purely."""

    def __init__(self, own, zone, rng):
        """Start with nobody known."""
        self.own = own
        self.zone = zone
        self._rng = rng
        self._peers = {}
        self._tokens = PING_RATE
        self._turn_at = None
        self._stamp = Stamp()
        self._top_stamp = Stamp()
        self._news_at = float('-inf')

    @classmethod
    def from_settings(cls, own, zone, rng=None):
        """Build the view of the instance that has this name and zone.

        :param rng: generator for jitter; by default seeded by the name, so
            that no two instances ask in the same order.
        """
        return cls(own, zone, rng or random.Random(own))

    def note_listed(self, now, instances):
        """Take in the platform's list.

        :param instances: :class:`cornelgap.core.control.Instance` items.
        """
        for peer in self._peers.values():
            peer.listed = False
        for instance in instances:
            if instance.name == self.own:
                continue
            peer = self._get_peer(now, instance.name)
            peer.listed = True
            peer.zone = instance.zone
            peer.address = instance.address
            peer.api = instance.api or peer.api
            # A stale list may not know yet of a planned stop that the peer
            # itself has told; only what it says can undo that.
            peer.leaving = instance.leaving or (
                peer.leaving and peer.heard_at is not None
            )
        self._forget_silent(now)

    def note_hinted(self, now, instances):
        """Take in peers that another peer names.

        Only what is unknown is filled in: the platform's list and what a
        peer says of itself are nearer to the truth.

        :param instances: :class:`cornelgap.core.control.Instance` items.
        """
        for instance in instances:
            if instance.name == self.own:
                continue
            peer = self._get_peer(now, instance.name)
            peer.zone = peer.zone or instance.zone
            peer.address = peer.address or instance.address
            peer.api = peer.api or instance.api

    def note_heard(self, now, name, boot, stamp, leaving, api, address=''):
        """Take in any authentic datagram of a peer.

        :param stamp: place of the configuration that it has in force.
        :param address: ``host:port`` that it came from; a new instance is
            heard before the platform lists it.
        """
        if name == self.own:
            return
        peer = self._get_peer(now, name)
        if boot in peer.past_boots:
            # A late datagram of a process that has been replaced.  Taking
            # it as a sign of life would make the live process look lost.
            return
        if peer.boot and peer.boot != boot:
            peer.past_boots = [*peer.past_boots, peer.boot][-PAST_BOOTS:]
        peer.boot = boot
        peer.stamp = stamp
        self._top_stamp = max(self._top_stamp, stamp)
        peer.leaving = leaving
        peer.api = api or peer.api
        peer.address = address or peer.address
        peer.heard_at = now
        peer.asked_at = None
        peer.asks = 0

    def note_adopted(self, now, stamp):
        """Note that this instance has a new configuration in force.

        Peers that state an older one are told by the next pings instead of
        a second later.
        """
        self._stamp = stamp
        self._news_at = now

    def note_sent(self, now, name):
        """Note that something was sent to a peer that it must answer."""
        if name != self.own:
            self._note_ask(now, self._get_peer(now, name))

    def is_lost(self, now, name, boot):
        """Say whether the process of this name and boot is gone.

        It is, if it was asked several times for about a second without an
        answer, or if another process answers by its name.  An instance that
        was never asked is not lost, listed or not.

        :param boot: nonce that a token names, 0 for whichever runs now.
        """
        peer = self._peers.get(name)
        if peer is None:
            return False
        if boot and boot in peer.past_boots:
            return True
        if boot and peer.boot and peer.boot != boot:
            return self._is_replaced(now, peer, boot)
        return self._is_silent(now, peer)

    def choose_pings(self, now):
        """Choose whom to ask now, and note that they are asked.

        Call it at least twice a second.

        :returns: names, those that owe an answer first.
        """
        self._note_turn(now)
        if self._tokens < 1:
            # Looking at 690 peers in each turn to choose none of them took
            # 8% of a core, twice what all of control may use.
            return []
        due = []
        for peer in self._peers.values():
            if peer.address and self._is_due(now, peer):
                rank = (not self._owes(now, peer), self._find_contact(peer))
                due.append((*rank, self._rng.random(), peer.name))
        chosen = heapq.nsmallest(int(self._tokens), due)
        self._tokens -= len(chosen)
        names = [item[-1] for item in chosen]
        for name in names:
            self._note_ask(now, self._peers[name])
        return names

    def list_live(self, now):
        """List the peers that can take new work, in the order of names.

        Where nobody has been asked yet, the hint of the list stands.
        """
        return sorted(
            peer.name
            for peer in self._peers.values()
            if not peer.leaving
            and (peer.listed or peer.heard_at is not None)
            and not self._is_silent(now, peer)
        )

    def list_live_instances(self, now):
        """List the peers of :meth:`list_live` as :class:`Instance`."""
        peers = (self._peers[name] for name in self.list_live(now))
        return [
            Instance(peer.name, peer.zone, peer.address, peer.api)
            for peer in peers
        ]

    def list_ahead(self, stamp):
        """List peers that state a later configuration, as `PeerRevision`."""
        if self._top_stamp <= stamp:
            return []
        return [
            PeerRevision(peer.name, peer.api, peer.stamp)
            for peer in self._peers.values()
            if peer.stamp > stamp
        ]

    def has_unknown(self):
        """Say whether a peer that was to be reached has no address here."""
        return any(
            peer.asks and not peer.address for peer in self._peers.values()
        )

    def list_peers(self):
        """List all known peers as :class:`Peer`, in the order of names."""
        return [self._peers[name] for name in sorted(self._peers)]

    def find_address(self, name):
        """Find ``host:port`` for datagrams to a peer; empty if unknown."""
        peer = self._peers.get(name)
        return peer.address if peer else ''

    def find_api(self, name):
        """Find ``host:port`` of a peer's gRPC server; empty if unknown."""
        peer = self._peers.get(name)
        return peer.api if peer else ''

    def _is_replaced(self, now, peer, boot):
        # A boot that was never heard may be older or newer than the one
        # that was.  Calling it lost at once would, after each restart, take
        # live flows away from the new process until its first datagram is
        # here.  What the name answers from now on decides.
        if peer.doubted_boot != boot:
            peer.doubted_boot = boot
            peer.doubted_at = now
        if peer.heard_at > peer.doubted_at:
            return True
        return self._is_silent(now, peer)

    def find_boot(self, name):
        """Find the boot nonce of a peer's process; 0 if never heard."""
        peer = self._peers.get(name)
        return peer.boot if peer else 0

    def _get_peer(self, now, name):
        peer = self._peers.get(name)
        if peer is None:
            peer = Peer(name=name, seen_at=now)
            self._peers[name] = peer
        return peer

    def _note_ask(self, now, peer):
        if now - peer.last_ask_at < SUSPECT_EVERY_S and peer.asks:
            # A burst of relayed packets can be lost as one; it counts once.
            return
        if peer.asked_at is None:
            peer.asked_at = now
        peer.asks += 1
        peer.last_ask_at = now

    def _is_silent(self, now, peer):
        if peer.asked_at is None or peer.asks < LOST_ASKS:
            return False
        if self._turn_at is not None and now - self._turn_at > PAUSE_S:
            return False
        return now - peer.asked_at >= LOST_AFTER_S

    def _is_due(self, now, peer):
        if self._owes(now, peer):
            return now - peer.last_ask_at >= SUSPECT_EVERY_S
        if peer.stamp < self._stamp and peer.last_ask_at < self._news_at:
            return True
        return now - self._find_contact(peer) >= PING_EVERY_S

    def _owes(self, now, peer):
        # A peer already called lost must not take the pings of the others.
        return peer.asked_at is not None and not self._is_silent(now, peer)

    def _find_contact(self, peer):
        heard = float('-inf') if peer.heard_at is None else peer.heard_at
        return max(heard, peer.last_ask_at)

    def _note_turn(self, now):
        gap = 0 if self._turn_at is None else now - self._turn_at
        self._turn_at = now
        self._tokens = min(PING_RATE, self._tokens + gap * PING_RATE)
        if gap <= PAUSE_S:
            return
        # This process stood still, and answers may lie unread in its
        # socket.  Counting that time as silence would make all peers look
        # lost at once, and every flow would be re-homed for nothing.
        for peer in self._peers.values():
            peer.asked_at = None
            peer.asks = 0

    def _forget_silent(self, now):
        for name, peer in list(self._peers.items()):
            since = peer.seen_at if peer.heard_at is None else peer.heard_at
            since = max(since, peer.last_ask_at)
            if not peer.listed and now - since > FORGET_AFTER_S:
                self._peers.pop(name)
