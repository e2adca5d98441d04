"""Failure detection and membership among entry instances.

The platform's instance list lags: an instance on it may have crashed, a
leaving one may be gone, and a new one may be missing.  The list therefore
only suggests whom to ping, and the peers' own answers decide who is alive.
Nothing here does any I/O: the caller sends the pings that
:meth:`Membership.choose_pings` returns and reports what it receives.

Bandwidth: a ping and its answer take about 100 bytes each on the wire.  Two
peers that hear each other need one exchange a second between them, so each
of six instances spends about 1 KB/s.  In larger fleets the rate is capped: 4
pings a second sent and as many received, with their answers, take about 1.7
KB/s of the 3 KB/s reserved for control traffic, whatever the fleet size.
Without the cap, each of 690 instances that ping all others once a second
would spend 140 KB/s.  Packets relayed to a flow's home probe it as well, so
the cap does not delay the detection of a failure that affects a flow.
"""

import heapq
import random
from dataclasses import dataclass, field

from cornelgap.core.control import Instance, PeerRevision
from cornelgap.core.stamps import Stamp

PING_INTERVAL_S = 1.0
"""A peer that was heard within this time is not pinged."""

MAX_PINGS_PER_S = 4.0
"""Limit on pings a second, whatever the size of the fleet."""

PROBE_RETRY_S = 0.25
"""Interval of pings to a peer that has not answered the last one.

Probes closer together than this count as one."""

MIN_UNANSWERED_PROBES = 3
"""Unanswered probes, spread over time, before a peer may be called lost."""

LOST_AFTER_S = 1.0
"""Time since the first unanswered probe before a peer is called lost.

At 1% packet loss each way, three lost exchanges in a row have a probability
of about 1 in 100,000."""

FORGET_AFTER_S = 30.0
"""Time of silence after which a peer that is not listed is removed."""

PAUSE_THRESHOLD_S = 0.75
"""A gap between two rounds of pings that shows that the process was paused."""

MAX_OLD_BOOTS = 4
"""Boot nonces of replaced processes that are kept for each name."""


@dataclass(slots=True)
class Peer:
    """What is known of another entry instance.

    A probe is any datagram that the peer has to answer: a ping or a relayed
    packet.

    :param listed: whether the platform's last list contained it.
    :param boot: nonce of its process, 0 if never heard.
    :param stamp: era and revision of the configuration it has in force.
    :param heard_at: last time that it was heard, None if never.
    :param unanswered_since: time of the first probe since then, None if none.
    :param unanswered_probes: probes since then; a burst counts as one.
    :param unconfirmed_boot: boot that a token named and that was never heard.
    :param unconfirmed_since: when such a token was first seen.
    :param old_boots: boots of processes that were replaced.
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
    unanswered_since: float | None = None
    last_probe_at: float = float('-inf')
    unanswered_probes: int = 0
    first_seen_at: float = 0
    unconfirmed_boot: int = 0
    unconfirmed_since: float = 0
    old_boots: list = field(default_factory=list)


class Membership:
    """The other entry instances and whether they are alive.

    :param own: name of this instance.
    :param zone: its availability zone.
    :param rng: random generator for the order of pings.
    """

    def __init__(self, own, zone, rng):
        """Start without any known peer."""
        self.own = own
        self.zone = zone
        self._rng = rng
        self._peers = {}
        self._ping_tokens = MAX_PINGS_PER_S
        self._round_at = None
        self._own_stamp = Stamp()
        self._highest_stamp = Stamp()
        self._adopted_at = float('-inf')

    @classmethod
    def from_settings(cls, own, zone, rng=None):
        """Build the membership of the instance with this name and zone.

        :param rng: random generator; by default seeded by the name, so that
            instances ping their peers in different orders.
        """
        return cls(own, zone, rng or random.Random(own))

    def update_from_list(self, now, instances):
        """Update the peers from the platform's instance list.

        :param instances: :class:`cornelgap.core.control.Instance` items.
        """
        for peer in self._peers.values():
            peer.listed = False
        for instance in instances:
            if instance.name == self.own:
                continue
            peer = self._get_or_add_peer(now, instance.name)
            peer.listed = True
            peer.zone = instance.zone
            peer.address = instance.address
            peer.api = instance.api or peer.api
            # The list may be older than the peer's own announcement of a
            # planned stop; only the peer itself can withdraw that.
            peer.leaving = instance.leaving or (
                peer.leaving and peer.heard_at is not None
            )
        self._remove_silent(now)

    def add_peer_hints(self, now, instances):
        """Add peers that another peer knows of.

        Only missing fields are filled in: the platform's list and a peer's
        own datagrams are more reliable than what a third instance says.

        :param instances: :class:`cornelgap.core.control.Instance` items.
        """
        for instance in instances:
            if instance.name == self.own:
                continue
            peer = self._get_or_add_peer(now, instance.name)
            peer.zone = peer.zone or instance.zone
            peer.address = peer.address or instance.address
            peer.api = peer.api or instance.api

    def record_datagram(self, now, name, boot, stamp, leaving, api, address=''):
        """Record an authenticated datagram from a peer.

        :param boot: boot nonce of the process that sent it.
        :param stamp: era and revision of the configuration it has in force.
        :param leaving: whether it has begun a planned stop.
        :param api: ``host:port`` of its gRPC server, empty if not stated.
        :param address: ``host:port`` that the datagram came from; a new
            instance may be heard before the platform lists it.
        """
        if name == self.own:
            return
        peer = self._get_or_add_peer(now, name)
        if boot in peer.old_boots:
            # A delayed datagram of a process that has been replaced.  If it
            # counted as a sign of life, the live process would look lost.
            return
        if peer.boot and peer.boot != boot:
            peer.old_boots = [*peer.old_boots, peer.boot][-MAX_OLD_BOOTS:]
        peer.boot = boot
        peer.stamp = stamp
        self._highest_stamp = max(self._highest_stamp, stamp)
        peer.leaving = leaving
        peer.api = api or peer.api
        peer.address = address or peer.address
        peer.heard_at = now
        peer.unanswered_since = None
        peer.unanswered_probes = 0

    def record_adoption(self, now, stamp):
        """Record that this instance has a new configuration in force.

        Peers with an older one become due for a ping at once, rather than up
        to a second later, and learn of the new one from it.
        """
        self._own_stamp = stamp
        self._adopted_at = now

    def record_probe(self, now, name):
        """Record that a peer was sent a datagram that it has to answer."""
        if name != self.own:
            self._count_probe(now, self._get_or_add_peer(now, name))

    def is_lost(self, now, name, boot):
        """Return whether the process with this name and boot is gone.

        It is gone if it left several probes unanswered for about a second,
        or if another process answers under its name.  A peer that was never
        probed is not lost, whether it is listed or not.

        :param boot: boot nonce from a token, 0 for the current process.
        """
        peer = self._peers.get(name)
        if peer is None:
            return False
        if boot and boot in peer.old_boots:
            return True
        if boot and peer.boot and peer.boot != boot:
            return self._is_replaced(now, peer, boot)
        return self._is_unresponsive(now, peer)

    def choose_pings(self, now):
        """Choose the peers to ping now, and record the pings as sent.

        Must be called at least twice a second; a longer gap is taken for a
        pause of this process.

        :returns: names, peers with an unanswered probe first.
        """
        self._start_round(now)
        if self._ping_tokens < 1:
            # Scanning 690 peers in each round only to choose none took 8% of
            # a core, twice the budget of all control traffic.
            return []
        due = []
        for peer in self._peers.values():
            if peer.address and self._is_due(now, peer):
                rank = (
                    not self._is_awaiting_answer(now, peer),
                    self._find_last_contact(peer),
                )
                due.append((*rank, self._rng.random(), peer.name))
        chosen = heapq.nsmallest(int(self._ping_tokens), due)
        self._ping_tokens -= len(chosen)
        names = [item[-1] for item in chosen]
        for name in names:
            self._count_probe(now, self._peers[name])
        return names

    def list_live(self, now):
        """Return the names of peers that can take new work, sorted.

        Peers that were never probed count as live if they are listed.
        """
        return sorted(
            peer.name
            for peer in self._peers.values()
            if not peer.leaving
            and (peer.listed or peer.heard_at is not None)
            and not self._is_unresponsive(now, peer)
        )

    def list_live_instances(self, now):
        """Return the peers of :meth:`list_live` as :class:`Instance`."""
        peers = (self._peers[name] for name in self.list_live(now))
        return [
            Instance(peer.name, peer.zone, peer.address, peer.api)
            for peer in peers
        ]

    def list_newer_peers(self, stamp):
        """Return the peers with a newer configuration than ``stamp``.

        :returns: list of :class:`cornelgap.core.control.PeerRevision`.
        """
        if self._highest_stamp <= stamp:
            return []
        return [
            PeerRevision(peer.name, peer.api, peer.stamp)
            for peer in self._peers.values()
            if peer.stamp > stamp
        ]

    def has_missing_address(self):
        """Return whether a peer that was probed has no known address."""
        return any(
            peer.unanswered_probes and not peer.address
            for peer in self._peers.values()
        )

    def list_peers(self):
        """Return all known peers as :class:`Peer`, sorted by name."""
        return [self._peers[name] for name in sorted(self._peers)]

    def find_address(self, name):
        """Return ``host:port`` for datagrams to a peer; empty if unknown."""
        peer = self._peers.get(name)
        return peer.address if peer else ''

    def find_api(self, name):
        """Return ``host:port`` of a peer's gRPC server; empty if unknown."""
        peer = self._peers.get(name)
        return peer.api if peer else ''

    def _is_replaced(self, now, peer, boot):
        # A boot that was never heard may be older or newer than the one that
        # was.  If it were called lost at once, each restart would move live
        # flows away from the new process until its first datagram arrives.
        # It is lost once the name is heard again with another boot.
        if peer.unconfirmed_boot != boot:
            peer.unconfirmed_boot = boot
            peer.unconfirmed_since = now
        if peer.heard_at > peer.unconfirmed_since:
            return True
        return self._is_unresponsive(now, peer)

    def find_boot(self, name):
        """Return the boot nonce of a peer's process; 0 if never heard."""
        peer = self._peers.get(name)
        return peer.boot if peer else 0

    def _get_or_add_peer(self, now, name):
        peer = self._peers.get(name)
        if peer is None:
            peer = Peer(name=name, first_seen_at=now)
            self._peers[name] = peer
        return peer

    def _count_probe(self, now, peer):
        if now - peer.last_probe_at < PROBE_RETRY_S and peer.unanswered_probes:
            # A burst of relayed packets may be lost as a whole, so it counts
            # as one probe.
            return
        if peer.unanswered_since is None:
            peer.unanswered_since = now
        peer.unanswered_probes += 1
        peer.last_probe_at = now

    def _is_unresponsive(self, now, peer):
        if (
            peer.unanswered_since is None
            or peer.unanswered_probes < MIN_UNANSWERED_PROBES
        ):
            return False
        if (
            self._round_at is not None
            and now - self._round_at > PAUSE_THRESHOLD_S
        ):
            return False
        return now - peer.unanswered_since >= LOST_AFTER_S

    def _is_due(self, now, peer):
        if self._is_awaiting_answer(now, peer):
            return now - peer.last_probe_at >= PROBE_RETRY_S
        if (
            peer.stamp < self._own_stamp
            and peer.last_probe_at < self._adopted_at
        ):
            return True
        return now - self._find_last_contact(peer) >= PING_INTERVAL_S

    def _is_awaiting_answer(self, now, peer):
        # Peers already called lost are pinged at the normal interval, so that
        # they do not use up the pings of the others.
        return peer.unanswered_since is not None and not self._is_unresponsive(
            now, peer
        )

    def _find_last_contact(self, peer):
        heard = float('-inf') if peer.heard_at is None else peer.heard_at
        return max(heard, peer.last_probe_at)

    def _start_round(self, now):
        gap = 0 if self._round_at is None else now - self._round_at
        self._round_at = now
        self._ping_tokens = min(
            MAX_PINGS_PER_S, self._ping_tokens + gap * MAX_PINGS_PER_S
        )
        if gap <= PAUSE_THRESHOLD_S:
            return
        # This process was paused, and answers may wait unread in its socket.
        # If the pause counted as silence, all peers would be called lost at
        # once and every flow re-homed needlessly.
        for peer in self._peers.values():
            peer.unanswered_since = None
            peer.unanswered_probes = 0

    def _remove_silent(self, now):
        for name, peer in list(self._peers.items()):
            since = (
                peer.first_seen_at if peer.heard_at is None else peer.heard_at
            )
            since = max(since, peer.last_probe_at)
            if not peer.listed and now - since > FORGET_AFTER_S:
                self._peers.pop(name)
