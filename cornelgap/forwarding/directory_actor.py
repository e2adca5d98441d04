"""The actor that owns the directory and the exchange between instances.

Updates of routes, targets and drain orders come from the store, through this
instance's own follower, or from other instances; the newest one wins,
whatever its source.  Instances exchange them in beats, the datagrams that
they send each other at regular intervals.  The packet actor gets a view of
each change, and the time as of which the view was current.
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
    STANDSTILL_S,
    RoutesKnown,
    TargetsChanged,
    TargetsListed,
    ZonesDrained,
    read_clock,
)
from cornelgap.forwarding.failure_detector import Evidence
from cornelgap.forwarding.fetcher import FETCHER, Fetch, SnapshotFetched
from cornelgap.forwarding.follower import FOLLOWER, Follow, ListOnce
from cornelgap.forwarding.neighbours import (
    Neighbours,
)
from cornelgap.forwarding.news import BeatEffect
from cornelgap.forwarding.packet_actor import (
    FORWARDING,
    AdoptView,
    LocalEvidence,
    LocalLoads,
    LocalOwners,
    OwnerAnswers,
    PeerEvidence,
    PeerOwners,
    UsePlainCookies,
    ZoneMembers,
)
from cornelgap.forwarding.reports import ReportExchange
from cornelgap.forwarding.sockets import discard_waiting, open_socket
from cornelgap.forwarding.zone_standing import ZoneStanding
from cornelgap.kernel.inbox import SocketInbox, SocketReadable, Tick
from cornelgap.kernel.named_actor import NamedActor
from cornelgap.kernel.names import tell_actor

DIRECTORY = 'directory'
TICK_S = 0.25
BEAT_INTERVAL_S = 0.5
"""Longest time between two beats; changes are sent at once."""

MEMBERS_INTERVAL_S = 2.0
"""Seconds between two beats that list a zone's instances; an instance is
forgotten only after four seconds without mention."""

SEED_DELAY_S = 0.5
"""Time after the start before a seed is asked for a snapshot.  By then the
store has normally delivered the routes, the targets and the key: it answers
within 4 ms, a slow one within 0.25 s."""

MAX_EVIDENCE_BEATS_PER_S = 20
"""Bound of beats per second about targets that do not answer.  When links
lose packets, every flow repeats its packets, and unbounded reports of that
would fill the links further."""

READ_BATCH = 64
_LOG = logging.getLogger('cornelgap.directory')


class KeyKnown(Struct, frozen=True):
    """Message: the key that authenticates beats between instances."""

    key: bytes


class ReadSnapshot(Struct, frozen=True):
    """Request: return the directory as bytes for another instance."""


class ReadMetrics(Struct, frozen=True):
    """Request: return counters and gauges."""


class AnnounceLeaving(Struct, frozen=True):
    """Message: tell the other instances that this one is stopping."""


class AdoptSettings(Struct, frozen=True):
    """Message: use these settings from now on.

    :param wait_s: longest wait of a watch on the store, in seconds.
    :param seeds: hosts of a few other instances; the list may be out of date.
    :param capacity: capacity of this instance's link, as a power of two.
    """

    wait_s: float
    seeds: tuple
    capacity: int


class DirectoryActor(NamedActor):
    """Keeps the directory up to date and distributes its changes.

    :param own: this instance,
        :class:`~cornelgap.forwarding.neighbours.InstanceIdentity`.
    :param port: UDP port on which all instances exchange beats.
    :param seeds: hosts of a few other instances; the list may be out of date.
    :param wait_s: longest wait of a watch on the store, in seconds.
    :param on_complete: called once, when both routes and targets are known.
    :param on_withdrawn: called with whether this instance must not be ready
        because its zone cannot serve.
    """

    use_daemon_thread = True

    def __init__(
        self, own, port, seeds, wait_s, rng, on_complete, on_withdrawn
    ):
        """Open the socket and start with an empty directory."""
        super().__init__(own.name, DIRECTORY)
        self._own = own
        self._follower_role = FollowerRole(wait_s, read_clock())
        self._directory = Directory(wait_s)
        self._neighbours = Neighbours(own, seeds, rng)
        self._sock = open_socket((own.host, port))
        self._beat_sender = BeatSender(
            own,
            rng.getrandbits(48),
            self._directory,
            self._neighbours,
            self._sock,
            port,
        )
        self._reports = ReportExchange(
            self._neighbours, self._send_to_packet_actor, self._send_loads
        )
        self._zone_standing = ZoneStanding(
            self._neighbours, self._send_to_packet_actor, on_withdrawn
        )
        self._on_complete = on_complete
        self._was_complete = False
        self._next_change_at = None
        self._last_beat_at = float('-inf')
        self._last_members_at = float('-inf')
        self._received_at = read_clock()
        self._started_at = self._received_at
        self._evidence_pacer = Pacer(
            MAX_EVIDENCE_BEATS_PER_S, MAX_EVIDENCE_BEATS_PER_S
        )
        self._recent_members = frozenset()
        self._plain_cookies = False
        self.counts = Counter()
        self.actor_inbox.add_socket(self._sock)
        self.handlers = {
            AdoptSettings: self._adopt_settings,
            AnnounceLeaving: self._announce_leaving,
            LocalEvidence: self._handle_evidence,
            KeyKnown: self._handle_key,
            LocalLoads: self._handle_load,
            LocalOwners: self._send_owners,
            OwnerAnswers: self._answer_owner_queries,
            ReadMetrics: self._collect_metrics,
            ReadSnapshot: self._make_snapshot,
            SocketReadable: self._read_datagrams,
            RoutesKnown: self._handle_routes,
            SnapshotFetched: self._handle_snapshot,
            TargetsListed: self._handle_target_list,
            TargetsChanged: self._handle_target_changes,
            Tick: self._tick,
            ZonesDrained: self._handle_drained_zones,
        }

    @staticmethod
    def _create_actor_inbox():
        return SocketInbox(read_clock, TICK_S)

    def acquire_resources(self):
        """Read everything from the store once.

        No other instance is known yet that could be asked instead.
        """
        tell_actor(self.scope, FOLLOWER, ListOnce())

    def release_resources(self):
        """Close the socket."""
        self._sock.close()

    def on_receive(self, message):
        """Handle a message; after a stall, drop the waiting datagrams first.

        The ages that they state are no longer true after the process has
        stood still.
        """
        now = read_clock()
        if now - self._received_at > STANDSTILL_S:
            discard_waiting(self._sock)
        self._received_at = now
        return super().on_receive(message)

    # Updates from the store, through this instance's own follower.

    def _handle_routes(self, fact):
        self._distribute(
            intake.apply_routes(self._directory, fact, self._received_at)
        )

    def _handle_drained_zones(self, fact):
        if intake.apply_drained_zones(self._directory, fact, self._received_at):
            self._distribute(changed=True)

    def _handle_target_list(self, fact):
        self._distribute(
            intake.apply_target_list(self._directory, fact, self._received_at)
        )

    def _handle_target_changes(self, fact):
        since = self._directory.targets_stamp.revision
        changed = intake.apply_target_changes(
            self._directory, fact, self._received_at
        )
        self._distribute(changed, fact.changes if changed else (), since)

    # Updates from other instances.

    def _read_datagrams(self, _message):
        for _ in range(READ_BATCH):
            try:
                raw, (host, _) = self._sock.recvfrom(peers.MAX_BEAT_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                self.counts[f'socket_{exc.errno}'] += 1
                continue
            if self._beat_sender.key is not None:
                self._handle_datagram(raw, host)

    def _handle_datagram(self, raw, host):
        try:
            beat = peers.decode_beat(raw, self._beat_sender.key)
            changes = [
                peers.decode_change(item, self._received_at)
                for item in beat.changes
            ]
        except CodedError as exc:
            self.counts[str(exc.code)] += 1
            return
        self._neighbours.record_beat(beat, self._received_at)
        self._zone_standing.take_beat(beat, self._received_at)
        if beat.hello:
            self._answer_hello(host, beat.zone)
        self._reports.note_beat_outcomes(beat)
        evidence = Evidence(
            beat.repeats, beat.answers, beat.answer_ages, beat.copies
        )
        if evidence:
            found = PeerEvidence(beat.name, evidence)
            self._send_to_packet_actor(found)
        if beat.owners or beat.owner_queries:
            self._send_to_packet_actor(
                PeerOwners(host, beat.zone, beat.owners, beat.owner_queries)
            )
        if not beat.leaving:
            self._apply_beat(beat, changes)

    def _answer_hello(self, host, zone):
        members = self._neighbours.list_members(self._received_at, zone)
        self._send_beat([host], zone, members=members)

    def _apply_beat(self, beat, changes):
        """Adopt what is newer in a beat; fetch a snapshot if not all came."""
        now = self._received_at
        news = intake.apply_beat(self._directory, beat, changes, now)
        if BeatEffect.BEHIND in news:
            fetch = Fetch(beat.host, self._beat_sender.key)
            tell_actor(self.scope, FETCHER, fetch)
        if news & {BeatEffect.CHANGED, BeatEffect.CONFIRMED}:
            self._update_packet_actor(BeatEffect.CHANGED in news)

    def _handle_snapshot(self, message):
        now = self._received_at
        self._zone_standing.take_snapshot(message.snapshot, message.host, now)
        self._distribute(intake.apply_snapshot(self._directory, message, now))

    def _make_snapshot(self, _message):
        if self._beat_sender.key is None or not self._directory.complete:
            return b''
        now = read_clock()
        zone_report = self._zone_standing.make_beat_fields(now)
        return peers.encode_snapshot(
            self._directory,
            now,
            self._beat_sender.key,
            zone=self._own.zone,
            withdrawal=zone_report.get('withdrawal', ()),
            beyond=zone_report.get('beyond', ()),
        )

    # Updates to the packet actor and to other instances.

    def _distribute(self, changed, changes=(), since=0):
        """Update the packet actor and, as a hub or follower, the zone.

        :param changed: whether the view has changed.
        :param changes: changes of targets to send, tuples (name, target or
            None, revision of its entry).
        :param since: revision on which the changes follow.
        """
        self._update_packet_actor(changed)
        if not self._directory.complete:
            return
        hosts = []
        if self._follower_role.active or self._neighbours.is_hub:
            hosts = self._neighbours.list_zone_hosts()
        if hosts:
            now = self._received_at
            encoded = [
                peers.encode_change(name, target, revision, now)
                for name, target, revision in changes
            ]
            self._send_beat(hosts, self._own.zone, changes=encoded, since=since)

    def _update_packet_actor(self, changed):
        """Update the packet actor, once targets are known.

        Open flows need only the targets, so the routes need not be known yet.
        """
        directory = self._directory
        if directory.targets_as_of is None:
            return
        now = self._received_at
        view = None
        if changed or not self._was_complete:
            view = directory.make_view(now)
            self._zone_standing.take_view(view, now)
            self._next_change_at = directory.compute_next_gone_at(now)
        as_of = now - directory.compute_age(now)
        self._send_to_packet_actor(AdoptView(view, as_of))
        if directory.complete and not self._was_complete:
            self._was_complete = True
            self._on_complete()

    def _send_to_packet_actor(self, message):
        tell_actor(self.scope, FORWARDING, message)

    def _tick(self, _message):
        now = self._received_at
        neighbours = self._neighbours
        neighbours.expire(now)
        self._update_zone_standing(now)
        self._send_zone_members(now)
        if self._next_change_at is not None and now >= self._next_change_at:
            self._update_packet_actor(changed=True)
        self._update_follower_role(now)
        self._fetch_from_seed(now)
        host = neighbours.choose_hello_host(now)
        if host is not None:
            self._send_beat([host], self._own.zone, hello=True)
        if now - self._last_beat_at >= BEAT_INTERVAL_S:
            self._last_beat_at = now
            self._send_regular_beats(now)

    def _send_zone_members(self, now):
        """Tell the packet actor of the zone's instances and their versions."""
        recent = self._neighbours.list_recent(now)
        if recent != self._recent_members:
            self._recent_members = recent
            self._send_to_packet_actor(ZoneMembers(recent))
        plain = self._neighbours.needs_plain_cookies
        if plain != self._plain_cookies:
            self._plain_cookies = plain
            self._send_to_packet_actor(UsePlainCookies(plain))

    def _fetch_from_seed(self, now):
        """Fetch a snapshot from a seed while the store has not sent the key.

        An instance that starts during an outage of the store would otherwise
        drop all packets until the store is back, and it may be the only one
        of its zone.  Without the key it cannot verify that a sender is an
        instance, so it asks only hosts from its settings, which also name
        the store.
        """
        if (
            self._beat_sender.key is not None
            or now - self._started_at < SEED_DELAY_S
        ):
            return
        host = self._neighbours.choose_seed(now)
        if host is not None:
            tell_actor(self.scope, FETCHER, Fetch(host, None))

    def _send_regular_beats(self, now):
        neighbours = self._neighbours
        own_zone = self._own.zone
        parts = {}
        if (
            neighbours.is_hub
            and now - self._last_members_at >= MEMBERS_INTERVAL_S
        ):
            self._last_members_at = now
            parts['members'] = neighbours.list_members(now, own_zone)
        parts.update(self._reports.report(now))
        hosts = neighbours.list_beat_hosts()
        if self._follower_role.active:
            hosts = neighbours.list_zone_hosts()
        self._send_beat(hosts, own_zone, **parts)
        far_hosts = neighbours.list_due_hub_hosts(now)
        if far_hosts:
            own_loads = self._reports.sum_zone_loads(now)
            self._send_beat(far_hosts, '', zone_loads=own_loads)

    def _handle_load(self, message):
        self._reports.note_local_loads(message)
        if self._zone_standing.take_opening_report(message.opening_report):
            hosts = self._neighbours.list_beat_hosts()
            self._send_beat(hosts, self._own.zone)

    def _update_zone_standing(self, now):
        if self._zone_standing.tick(
            now, is_heard=self._beat_sender.key is not None
        ):
            self._send_beat(self._neighbours.list_zone_hosts(), self._own.zone)
        probe_hosts = self._zone_standing.list_cut_probe_hosts(now)
        if probe_hosts:
            self._send_beat(probe_hosts, '', hello=True)

    def _send_loads(self, hosts, loads):
        self._send_beat(hosts, self._own.zone, loads=loads)

    def _update_follower_role(self, now):
        neighbours = self._neighbours
        before = self._follower_role.active
        active = self._follower_role.decide(
            now,
            neighbours.compute_rank(),
            self._directory.compute_age(now),
            neighbours.has_follower(now, self._follower_role.is_fresh),
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
            parts.update(
                self._zone_standing.make_beat_fields(self._received_at)
            )
        following = self._follower_role.active
        self._beat_sender.send(
            hosts, zone, following, self._received_at, **parts
        )

    def _adopt_settings(self, message):
        self._follower_role.wait_s = message.wait_s
        self._directory.set_wait(message.wait_s)
        self._neighbours.set_seeds(message.seeds)
        self._neighbours.capacity = message.capacity

    def _announce_leaving(self, _message):
        self._send_beat(
            self._neighbours.list_zone_hosts(), self._own.zone, leaving=True
        )

    def _handle_evidence(self, message):
        if self._evidence_pacer.take(self._received_at, urgent=True):
            self._send_beat(
                self._neighbours.list_zone_hosts(),
                self._own.zone,
                repeats=message.evidence.repeats,
                copies=message.evidence.copies,
                answers=message.evidence.answers,
                answer_ages=message.evidence.ages,
            )

    def _send_owners(self, message):
        """Send reports and queries on the owners of flows.

        Those to other zones matter when routers send the flows of a zone
        there, because it has no instance in rotation.
        """
        neighbours = self._neighbours
        if message.queries:
            hosts = neighbours.list_zone_hosts()
            far_hosts = neighbours.list_other_zone_hubs()
            self._send_beat(
                hosts, self._own.zone, owner_queries=message.queries
            )
            self._send_beat(far_hosts, '', owner_queries=message.queries)
        if message.reports:
            hosts, far_hosts = neighbours.list_owner_report_hosts()
            self._send_beat(hosts, self._own.zone, owners=message.reports)
            self._send_beat(far_hosts, '', owners=message.reports)

    def _answer_owner_queries(self, message):
        self._send_beat([message.host], message.zone, owners=message.reports)

    def _collect_metrics(self, _message):
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
            'zone_withdrawn': int(self._zone_standing.withdrawn),
            'follows_store': int(self._follower_role.active),
            'instances': self._neighbours.count_zone(),
            'zone_drained': dict.fromkeys(directory.list_drained_zones(), 1),
        }
        if directory.complete:
            age = directory.compute_age(self._received_at)
            gauges['directory_age_seconds'] = age
        return dict(self.counts + self._beat_sender.counts), gauges

    def _handle_key(self, message):
        self._beat_sender.key = message.key
