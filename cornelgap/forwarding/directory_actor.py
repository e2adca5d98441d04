"""The actor that owns the directory and the news between instances.

Facts come from this instance's own followers or from other instances; the
newest one wins, whoever told it.  The packet actor gets a view of each
change and hears how fresh it is.
"""

import logging
from collections import Counter

from msgspec import Struct

from cornelgap.core.errors import CodedError
from cornelgap.decisions.following import FollowerRole
from cornelgap.decisions.pacing import Pacer
from cornelgap.forwarding import intake
from cornelgap.forwarding import peer_messages as peers
from cornelgap.forwarding.beats import BeatSender
from cornelgap.forwarding.directory import Directory
from cornelgap.forwarding.facts import (
    WAKE_S,
    RoutesKnown,
    TargetsChanged,
    TargetsListed,
    ZonesDrained,
    read_clock,
)
from cornelgap.forwarding.fetcher import FETCHER, Fetch, SnapshotFetched
from cornelgap.forwarding.follower import FOLLOWER, Follow, ListOnce
from cornelgap.forwarding.neighbours import (
    Neighbours,
)
from cornelgap.forwarding.news import News
from cornelgap.forwarding.packet_actor import (
    FORWARDING,
    AdoptView,
    EvidenceSeen,
    LoadSeen,
    OthersEvidence,
    ZoneMembers,
)
from cornelgap.forwarding.reports import Reports
from cornelgap.forwarding.sockets import drop_waiting, open_socket
from cornelgap.forwarding.target_judge import Evidence
from cornelgap.forwarding.zone_standing import ZoneStanding
from cornelgap.kernel.inbox import SocketInbox, SocketReadable, Tick
from cornelgap.kernel.named_actor import NamedActor
from cornelgap.kernel.names import tell_actor

DIRECTORY = 'directory'
TICK_S = 0.25
BEAT_S = 0.5
"""Seconds between two beats at most; news go out at once."""

MEMBERS_S = 2.0
"""Seconds between two lists of a zone's instances; they are forgotten only
after four."""

LONE_S = 0.5
"""Time after the start in which the store has normally given routes, targets
and the key; it answers within 4 ms, a slow one in 0.25 s."""

EVIDENCE_PER_S = 20
"""Beats a second about targets that do not answer, at most.  When links
lose packets every flow repeats, and reports of it would fill them too."""

READ_BATCH = 64
_LOG = logging.getLogger('cornelgap.directory')


class KeyKnown(Struct, frozen=True):
    """Message: the key under which instances talk."""

    key: bytes


class ReadSnapshot(Struct, frozen=True):
    """Message: give all facts as bytes for another instance; asked."""


class ReadNews(Struct, frozen=True):
    """Message: give counters and gauges; asked."""


class AnnounceLeaving(Struct, frozen=True):
    """Message: tell the others that this instance ends."""


class AdoptSettings(Struct, frozen=True):
    """Message: these settings of the instance hold from now on.

    :param wait_s: longest wait of a watch, seconds.
    :param seeds: hosts of a few other instances, perhaps stale.
    :param capacity: how much the own link carries, as a power of two.
    """

    wait_s: float
    seeds: tuple
    capacity: int


class DirectoryActor(NamedActor):
    """Keeps the newest facts and spreads them.

    :param own: this instance,
        :class:`~cornelgap.forwarding.neighbours.Self`.
    :param port: port of all instances for each other.
    :param wait_s: longest wait of a watch, seconds.
    :param on_complete: called once when routes and targets are known.
    :param on_withdrawn: function of whether this instance must not be ready,
        since its zone cannot serve.
    """

    use_daemon_thread = True

    def __init__(
        self, own, port, seeds, wait_s, rng, on_complete, on_withdrawn
    ):
        """Open the socket; know nothing yet."""
        super().__init__(own.name, DIRECTORY)
        self._own = own
        self._follower_role = FollowerRole(wait_s, read_clock())
        self._directory = Directory(wait_s)
        self._neighbours = Neighbours(own, seeds, rng)
        self._sock = open_socket((own.host, port))
        self._beats = BeatSender(
            own,
            rng.getrandbits(48),
            self._directory,
            self._neighbours,
            self._sock,
            port,
        )
        self._reports = Reports(
            self._neighbours, self._tell_packets, self._send_loads
        )
        self._standing = ZoneStanding(
            self._neighbours, self._tell_packets, on_withdrawn
        )
        self._on_complete = on_complete
        self._complete = False
        self._changes_at = None
        self._beat_at = float('-inf')
        self._members_at = float('-inf')
        self._turn_at = read_clock()
        self._began_at = self._turn_at
        self._evidence = Pacer(EVIDENCE_PER_S, EVIDENCE_PER_S)
        self._recent = frozenset()
        self.counts = Counter()
        self.actor_inbox.add_socket(self._sock)
        self.handlers = {
            AdoptSettings: self._adopt_settings,
            AnnounceLeaving: self._announce_leaving,
            EvidenceSeen: self._take_evidence,
            KeyKnown: self._take_key,
            LoadSeen: self._take_load,
            ReadNews: self._give_news,
            ReadSnapshot: self._give_snapshot,
            SocketReadable: self._read,
            RoutesKnown: self._take_routes,
            SnapshotFetched: self._take_snapshot,
            TargetsListed: self._take_list,
            TargetsChanged: self._take_changes,
            Tick: self._tick,
            ZonesDrained: self._take_drained,
        }

    @staticmethod
    def _create_actor_inbox():
        return SocketInbox(read_clock, TICK_S)

    def acquire_resources(self):
        """List all facts once: nobody can be asked yet."""
        tell_actor(self.scope, FOLLOWER, ListOnce())

    def release_resources(self):
        """Close the socket."""
        self._sock.close()

    def on_receive(self, message):
        """Notice a standstill, then handle the message."""
        now = read_clock()
        if now - self._turn_at > WAKE_S:
            drop_waiting(self._sock)
        self._turn_at = now
        return super().on_receive(message)

    # Facts of this instance's own followers.

    def _take_routes(self, fact):
        self._spread(intake.take_routes(self._directory, fact, self._turn_at))

    def _take_drained(self, fact):
        if intake.take_drained(self._directory, fact, self._turn_at):
            self._spread(changed=True)

    def _take_list(self, fact):
        self._spread(intake.take_list(self._directory, fact, self._turn_at))

    def _take_changes(self, fact):
        since = self._directory.targets_stamp.revision
        changed = intake.take_changes(self._directory, fact, self._turn_at)
        self._spread(changed, fact.changes if changed else (), since)

    # Facts of other instances.

    def _read(self, _message):
        for _ in range(READ_BATCH):
            try:
                raw, (host, _) = self._sock.recvfrom(peers.MAX_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                self.counts[f'socket_{exc.errno}'] += 1
                continue
            if self._beats.key is not None:
                self._take_datagram(raw, host)

    def _take_datagram(self, raw, host):
        try:
            beat = peers.decode_beat(raw, self._beats.key)
            changes = [
                peers.load_change(item, self._turn_at) for item in beat.changes
            ]
        except CodedError as exc:
            self.counts[str(exc.code)] += 1
            return
        self._neighbours.note_beat(beat, self._turn_at)
        self._standing.take_beat(beat, self._turn_at)
        if beat.hello:
            self._answer_hello(host, beat.zone)
        self._reports.take_told(beat)
        evidence = Evidence(
            beat.repeats, beat.answers, beat.answer_ages, beat.copies
        )
        if evidence:
            found = OthersEvidence(beat.name, evidence)
            self._tell_packets(found)
        if not beat.leaving:
            self._compare(beat, changes)

    def _answer_hello(self, host, zone):
        members = self._neighbours.list_members(self._turn_at, zone)
        self._send_beat([host], zone, members=members)

    def _compare(self, beat, changes):
        """Take from a beat what it says of the directory."""
        now = self._turn_at
        news = intake.take_beat(self._directory, beat, changes, now)
        if News.BEHIND in news:
            fetch = Fetch(beat.host, self._beats.key)
            tell_actor(self.scope, FETCHER, fetch)
        if news & {News.CHANGED, News.CONFIRMED}:
            self._tell(News.CHANGED in news)

    def _take_snapshot(self, message):
        now = self._turn_at
        self._standing.take_snapshot(message.snapshot, message.host, now)
        self._spread(intake.take_snapshot(self._directory, message, now))

    def _give_snapshot(self, _message):
        if self._beats.key is None or not self._directory.complete:
            return b''
        now = read_clock()
        told = self._standing.report(now)
        return peers.pack_snapshot(
            self._directory,
            now,
            self._beats.key,
            zone=self._own.zone,
            withdrawal=told.get('withdrawal', ()),
            beyond=told.get('beyond', ()),
        )

    # What this instance tells.

    def _spread(self, changed, changes=(), since=0):
        """Tell the packet actor, and the others if that is this one's job."""
        self._tell(changed)
        if not self._directory.complete:
            return
        hosts = []
        if self._follower_role.active or self._neighbours.is_hub:
            hosts = self._neighbours.list_all_near()
        if hosts:
            now = self._turn_at
            dumped = [
                peers.dump_change(name, target, revision, now)
                for name, target, revision in changes
            ]
            self._send_beat(hosts, self._own.zone, changes=dumped, since=since)

    def _tell(self, changed):
        """Tell the packet actor; targets alone will do for open flows."""
        directory = self._directory
        if directory.targets_as_of is None:
            return
        now = self._turn_at
        view = None
        if changed or not self._complete:
            view = directory.make_view(now)
            self._standing.take_view(view, now)
            self._changes_at = directory.next_change(now)
        as_of = now - directory.compute_age(now)
        self._tell_packets(AdoptView(view, as_of))
        if directory.complete and not self._complete:
            self._complete = True
            self._on_complete()

    def _tell_packets(self, message):
        tell_actor(self.scope, FORWARDING, message)

    def _tick(self, _message):
        now = self._turn_at
        neighbours = self._neighbours
        neighbours.expire(now)
        self._decide_standing(now)
        self._tell_members(now)
        if self._changes_at is not None and now >= self._changes_at:
            self._tell(changed=True)
        self._decide_following(now)
        self._learn_from_seeds(now)
        host = neighbours.choose_hello(now)
        if host is not None:
            self._send_beat([host], self._own.zone, hello=True)
        if now - self._beat_at >= BEAT_S:
            self._beat_at = now
            self._send_regular(now)

    def _tell_members(self, now):
        """Tell the packet actor which instances the zone has."""
        recent = self._neighbours.list_recent(now)
        if recent != self._recent:
            self._recent = recent
            self._tell_packets(ZoneMembers(recent))

    def _learn_from_seeds(self, now):
        """Fetch what a seed knows while the store has not given the key.

        An instance that starts during an outage of the store would drop all
        packets until the store is back, in a zone that may have no other.
        Without the key it cannot tell a stranger from an instance, so it
        asks only addresses of its settings, which also name the store.
        """
        if self._beats.key is not None or now - self._began_at < LONE_S:
            return
        host = self._neighbours.choose_seed(now)
        if host is not None:
            tell_actor(self.scope, FETCHER, Fetch(host, None))

    def _send_regular(self, now):
        neighbours = self._neighbours
        own_zone = self._own.zone
        parts = {}
        if neighbours.is_hub and now - self._members_at >= MEMBERS_S:
            self._members_at = now
            parts['members'] = neighbours.list_members(now, own_zone)
        parts.update(self._reports.report(now))
        hosts = neighbours.list_near_hosts()
        if self._follower_role.active:
            hosts = neighbours.list_all_near()
        self._send_beat(hosts, own_zone, **parts)
        far_hosts = neighbours.list_far_hosts(now)
        if far_hosts:
            own_loads = self._reports.sum_zone_loads(now)
            self._send_beat(far_hosts, '', zone_loads=own_loads)

    def _take_load(self, message):
        self._reports.take_own(message)
        if self._standing.take_opening_report(message.opening_report):
            hosts = self._neighbours.list_near_hosts()
            self._send_beat(hosts, self._own.zone)

    def _decide_standing(self, now):
        if self._standing.tick(now, is_heard=self._beats.key is not None):
            self._send_beat(self._neighbours.list_all_near(), self._own.zone)
        lost_hosts = self._standing.list_lost_hosts(now)
        if lost_hosts:
            self._send_beat(lost_hosts, '', hello=True)

    def _send_loads(self, hosts, loads):
        self._send_beat(hosts, self._own.zone, loads=loads)

    def _decide_following(self, now):
        neighbours = self._neighbours
        before = self._follower_role.active
        active = self._follower_role.decide(
            now,
            neighbours.compute_rank(),
            self._directory.compute_age(now),
            neighbours.find_follower(now, self._follower_role.is_fresh),
        )
        if active != before:
            _LOG.info(
                'directory: follows the store'
                if active
                else 'directory: leaves the store to others',
                extra={
                    'rank': neighbours.compute_rank(),
                    'age_s': round(self._directory.compute_age(now), 3),
                },
            )
            tell_actor(self.scope, FOLLOWER, Follow(active))

    def _send_beat(self, hosts, zone, **parts):
        if zone == self._own.zone:
            parts.update(self._standing.report(self._turn_at))
        following = self._follower_role.active
        self._beats.send(hosts, zone, following, self._turn_at, **parts)

    def _adopt_settings(self, message):
        self._follower_role.wait_s = message.wait_s
        self._directory.set_wait(message.wait_s)
        self._neighbours.set_seeds(message.seeds)
        self._neighbours.capacity = message.capacity

    def _announce_leaving(self, _message):
        self._send_beat(
            self._neighbours.list_all_near(), self._own.zone, leaving=True
        )

    def _take_evidence(self, message):
        if self._evidence.take(self._turn_at, urgent=True):
            self._send_beat(
                self._neighbours.list_all_near(),
                self._own.zone,
                repeats=message.evidence.repeats,
                copies=message.evidence.copies,
                answers=message.evidence.answers,
                answer_ages=message.evidence.ages,
            )

    def _give_news(self, _message):
        directory = self._directory
        gauges = {
            'directory_revision': {
                'routes': directory.routes_stamp.revision,
                'targets': directory.targets_stamp.revision,
                'drained_zones': directory.drained_stamp.revision,
            },
            'directory_era': {
                'routes': directory.routes_stamp.era,
                'targets': directory.targets_stamp.era,
                'drained_zones': directory.drained_stamp.era,
            },
            'config_version': directory.routes_stamp.version,
            'targets': len(directory.list_targets()),
            'zone_withdrawn': int(self._standing.withdrawn),
            'follows_store': int(self._follower_role.active),
            'instances': self._neighbours.count_zone(),
            'zone_drained': dict.fromkeys(directory.list_drained(), 1),
        }
        if directory.complete:
            age = directory.compute_age(self._turn_at)
            gauges['directory_age_seconds'] = age
        return dict(self.counts + self._beats.counts), gauges

    def _take_key(self, message):
        self._beats.key = message.key
