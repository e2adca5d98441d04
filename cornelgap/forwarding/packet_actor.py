"""Actor that receives callers' packets and forwards them to targets.

It owns the socket and the forwarding engine, and processes each packet
completely within one turn, from receipt to sending.
"""

import logging
from collections import Counter

from msgspec import Struct

from cornelgap.core.errors import CodedError
from cornelgap.forwarding.facts import STANDSTILL_S, read_clock
from cornelgap.forwarding.held_packets import HeldPackets
from cornelgap.forwarding.packets import SYN, Drop, Forward, Reason, Reset
from cornelgap.forwarding.sockets import discard_waiting
from cornelgap.forwarding.zone_standing import DropOpenings
from cornelgap.kernel.inbox import SocketInbox, SocketReadable, Tick
from cornelgap.kernel.named_actor import NamedActor
from cornelgap.kernel.names import tell_actor

FORWARDING = 'forwarding'
TICK_S = 0.25

READ_BATCH = 256
DATAGRAM_BYTES = 2048
MAX_PENDING_S = 1.0
"""Longest time for which packets may wait for the first directory.  Callers
repeat a SYN after 0.2 and 0.6 s and abandon an attempt after 1.4 s; an
opening that is forwarded later only occupies a target."""

LOG_SAMPLE_INTERVAL = 50
"""Every 50th ordinary opening, and every 50th refusal under overload, is
logged; the others are only counted."""

_SAMPLED_REASONS = frozenset(
    (Reason.PLACED, Reason.OVERLOADED, Reason.COPY_OVERLOADED)
)

MAX_PENDING_OPENINGS = 1024
"""Most openings that are queued until the configuration is known.  Further
ones are dropped, and their callers repeat them."""

_LOG_LINES = {
    Forward: 'forwarding: flow placed',
    Reset: 'forwarding: flow reset',
    Drop: 'forwarding: packet dropped',
}
_LOG = logging.getLogger('cornelgap.forwarding')


class AdoptView(Struct, frozen=True):
    """Message: use this view of the directory from now on.

    :param view: :class:`~cornelgap.forwarding.directory_view.View`; None if
        the previous one is still valid.
    :param as_of: time at which the view was known to be current, process
        clock seconds.
    """

    view: object
    as_of: float


class AdoptColdLimit(Struct, frozen=True):
    """Message: limit the new flows of cold targets from now on.

    :param limit: :class:`~cornelgap.decisions.cold_starts.ColdLimit`; None
        for no limit.
    """

    limit: object


class LocalLoads(Struct, frozen=True):
    """Message: load of the targets as this instance sees it.

    :param loads: number of flows by target cookie.
    :param outcomes: how requests have ended since the last message, by
        cookie, :class:`~cornelgap.decisions.target_outliers.Outcomes`.
    :param opening_report: openings of the last second,
        :class:`~cornelgap.decisions.withdrawal.OpeningReport`; None while all
        zones are in reach.
    """

    loads: dict
    outcomes: dict
    opening_report: object = None


class ZoneOutcomes(Struct, frozen=True):
    """Message: how requests through all instances of the zone have ended.

    :param outcomes: by target cookie, as in :class:`LocalLoads`.
    """

    outcomes: dict


class PeerLoads(Struct, frozen=True):
    """Message: load of the targets as other instances see it.

    :param loads: number of flows by target cookie.
    :param instances: number of instances of this zone, this one included.
    :param report_interval_s: seconds between two load reports.
    :param rank: how many of these instances precede this one.
    """

    loads: dict
    instances: int
    report_interval_s: float
    rank: int = 0


class ZoneMembers(Struct, frozen=True):
    """Message: the instances of this zone.

    :param names: frozenset of their names; empty shortly after the start,
        when too few of them are known.
    """

    names: frozenset


class UsePlainCookies(Struct, frozen=True):
    """Message: whether SYNs carry plain cookies from now on.

    :param plain: whether an instance of the zone understands no others.
    """

    plain: bool


class LocalEvidence(Struct, frozen=True):
    """Message: evidence from this instance's flows on the health of targets.

    :param evidence: :class:`~cornelgap.forwarding.failure_detector.Evidence`.
    """

    evidence: object


class PeerEvidence(Struct, frozen=True):
    """Message: evidence on the health of targets from another instance.

    :param instance: name of that instance.
    :param evidence: :class:`~cornelgap.forwarding.failure_detector.Evidence`.
    """

    instance: str
    evidence: object


class LocalOwners(Struct, frozen=True):
    """Message: owners of flows to report, and queries for owners.

    :param reports: as
        :meth:`~cornelgap.forwarding.flow_owners.FlowOwners.take_message`
        returns them.
    :param queries: likewise.
    """

    reports: list
    queries: list


class OwnerAnswers(Struct, frozen=True):
    """Message: answers to the queries of another instance.

    :param host: that instance.
    :param zone: its availability zone.
    :param reports: as in :class:`LocalOwners`.
    """

    host: str
    zone: str
    reports: list


class PeerOwners(Struct, frozen=True):
    """Message: reports and queries from another instance.

    :param host: that instance.
    :param zone: its availability zone.
    :param reports: as in :class:`LocalOwners`.
    :param queries: as in :class:`LocalOwners`.
    """

    host: str
    zone: str
    reports: list
    queries: list


class ReadCounts(Struct, frozen=True):
    """Message to ask: return counters, gauges and the last packet's time."""


class Codec(Struct, frozen=True):
    """Functions that convert between packets and datagrams.

    :param decode: returns the packet in a datagram; raises
        :class:`CodedError`.
    :param encode_forward: returns the datagram for a target, from a packet,
        the target and the cookie that the packet is to carry.
    :param encode_reset: returns the datagram of a reset, from a flow key and
        a sequence number.
    :param format_ip: returns the text of an IP address given as a number.
    """

    decode: object
    encode_forward: object
    encode_reset: object
    format_ip: object


class PacketActor(NamedActor):
    """Forwards callers' packets and resets flows that have lost their target.

    :param engine: :class:`cornelgap.forwarding.engine.Engine`.
    :param codec: :class:`Codec`.
    :param sock: socket that receives the packets; the actor closes it.
        Resets go to the same port number at the caller's address.
    :param receiver: name of the service that gets load and evidence.
    """

    def __init__(self, scope, engine, codec, sock, receiver):
        """Leave packets in the socket until the first view of the directory."""
        super().__init__(scope, FORWARDING)
        self._engine = engine
        self._codec = codec
        self._port = sock.getsockname()[1]
        self._receiver = receiver
        self._sock = sock
        self._reading = False
        self._pending_openings = []
        self._held_packets = HeldPackets()
        self._started_at = read_clock()
        self._turn_at = self._started_at
        self._last_packet_at = self._turn_at
        self._has_stale_packets = False
        self._silent_targets = []
        self._outlier_targets = []
        self._away_zones = []
        self._is_path_lossy = False
        self.counts = Counter()
        self.handlers = {
            AdoptColdLimit: self._adopt_cold_limit,
            AdoptView: self._adopt_view,
            DropOpenings: self._drop_openings,
            PeerEvidence: self._note_evidence,
            PeerLoads: self._note_peer_loads,
            PeerOwners: self._note_peer_owners,
            SocketReadable: self._read,
            ReadCounts: self._get_counts,
            Tick: self._tick,
            UsePlainCookies: self._use_plain_cookies,
            ZoneMembers: self._note_members,
            ZoneOutcomes: self._note_zone_outcomes,
        }

    @staticmethod
    def _create_actor_inbox():
        return SocketInbox(read_clock, TICK_S)

    def on_receive(self, message):
        """Detect whether the process stood still, then handle the message."""
        now = read_clock()
        if now - self._turn_at > STANDSTILL_S:
            self._handle_standstill(now)
        self._turn_at = now
        return super().on_receive(message)

    def release_resources(self):
        """Close the socket."""
        self._sock.close()

    def _handle_standstill(self, now):
        _LOG.warning(
            'forwarding: process stood still',
            extra={'for_s': round(now - self._turn_at, 3)},
        )
        self._has_stale_packets = True
        self._engine.distrust_directory(now)

    def _adopt_view(self, message):
        if message.view is not None:
            self._engine.adopt_view(message.view)
            self._reset_lost_flows()
        self._engine.note_directory_fresh(message.as_of)
        if not self._reading:
            self._start_reading()
        if self._pending_openings and self._engine.view.routes_known:
            self._handle_pending_openings()

    def _handle_pending_openings(self):
        """Handle the openings that arrived before the configuration."""
        openings, self._pending_openings = self._pending_openings, []
        if self._turn_at - self._started_at > MAX_PENDING_S:
            self.counts[Reason.ROUTES_UNKNOWN] += len(openings)
            return
        for packet in openings:
            self._handle_packet(packet)

    def _start_reading(self):
        """Read packets from now on, beginning with those in the socket.

        Packets read before routes and targets are known would be dropped,
        and their callers would have to repeat them.  Those that have waited
        for too long are dropped now.
        """
        self._reading = True
        waited_s = self._turn_at - self._started_at
        if waited_s > MAX_PENDING_S:
            self.counts[Reason.NOT_FRESH] += discard_waiting(self._sock)
        _LOG.info(
            'forwarding: packets are read',
            extra={'waited_s': round(waited_s, 3)},
        )
        self.actor_inbox.add_socket(self._sock)

    def _read(self, _message):
        self._read_batch()
        self._report_evidence()
        self._exchange_owners()

    def _report_evidence(self):
        evidence = self._engine.failure_detector.take_evidence()
        if evidence:
            self._tell(LocalEvidence(evidence))
            self._reset_lost_flows()

    def _exchange_owners(self):
        reports, queries = self._engine.lookup.owners.take_message(
            self._turn_at
        )
        if reports or queries:
            self._tell(LocalOwners(reports, queries))

    def _note_peer_owners(self, message):
        now = self._turn_at
        self._engine.lookup.note_reports(message.reports, now)
        for *flow, _cookie, _syn_seq in message.reports:
            self._handle_held_packets(tuple(flow))
        answers = self._engine.lookup.answer_queries(message.queries, now)
        if answers:
            self._tell(OwnerAnswers(message.host, message.zone, answers))

    def _handle_held_packets(self, flow):
        for packet in self._held_packets.take(flow):
            self._handle_packet(packet)

    def _drop_overdue_packets(self):
        for packet in self._held_packets.take_overdue(self._turn_at):
            self._count_effect(packet, Drop(Reason.UNKNOWN_TARGET))

    def _reset_lost_flows(self):
        resets = self._engine.take_lost_flows(self._turn_at)
        self._log_assessment_changes()
        for key, reset in resets:
            self.counts[reset.reason] += 1
            self._send_reset(key, reset.seq)
            _LOG.info(
                _LOG_LINES[Reset],
                extra={'flow': self._format_flow(key), 'why': reset.reason},
            )

    def _format_flow(self, key):
        source, source_port, destination, destination_port = key
        caller = f'{self._codec.format_ip(source)}:{source_port}'
        return (
            f'{caller}>{self._codec.format_ip(destination)}:{destination_port}'
        )

    def _log_assessment_changes(self):
        """Log targets, zones and the path if their assessment has changed."""
        silent = self._engine.list_silent_names()
        if silent != self._silent_targets:
            _LOG.info(
                'forwarding: targets given up',
                extra={'silent': silent, 'before': self._silent_targets},
            )
            self._silent_targets = silent
        outliers = self._engine.list_outlier_names(self._turn_at)
        if outliers != self._outlier_targets:
            _LOG.info(
                'forwarding: targets fail more than their peers',
                extra={'targets': outliers, 'before': self._outlier_targets},
            )
            self._outlier_targets = outliers
        away = self._engine.failure_detector.list_away()
        if away != self._away_zones:
            _LOG.info(
                'forwarding: zones away',
                extra={'zones': away, 'before': self._away_zones},
            )
            self._away_zones = away
        lossy = self._engine.failure_detector.is_lossy(self._turn_at)
        if lossy != self._is_path_lossy:
            _LOG.warning(
                'forwarding: packets are lost on the way here'
                if lossy
                else 'forwarding: packets are no longer lost'
            )
            self._is_path_lossy = lossy

    def _send_reset(self, key, seq):
        caller = (self._codec.format_ip(key[0]), self._port)
        self._send(self._codec.encode_reset(key, seq), caller)

    def _read_batch(self):
        for _ in range(READ_BATCH):
            try:
                raw = self._sock.recv(DATAGRAM_BYTES)
            except BlockingIOError:
                self._has_stale_packets = False
                return
            except OSError as exc:
                # recv reports an ICMP error of an earlier send; the socket
                # itself is still usable.
                self.counts[f'socket_{exc.errno}'] += 1
                continue
            self._handle_datagram(raw)

    def _handle_datagram(self, raw):
        now = self._turn_at
        self._last_packet_at = now
        try:
            packet = self._codec.decode(raw)
        except CodedError as exc:
            self.counts[str(exc.code)] += 1
            return
        self._handle_packet(packet)

    def _handle_packet(self, packet):
        effect = self._engine.handle(
            packet, self._turn_at, self._has_stale_packets
        )
        if effect.reason is Reason.ROUTES_UNKNOWN:
            if len(self._pending_openings) < MAX_PENDING_OPENINGS:
                self._pending_openings.append(packet)
                return
        if effect.reason is Reason.UNKNOWN_TARGET:
            if self._held_packets.add(packet, self._turn_at):
                return
        self._count_effect(packet, effect)
        if isinstance(effect, Forward):
            target = effect.target
            datagram = self._codec.encode_forward(packet, target, effect.cookie)
            self._send(datagram, target.address)
            if self._held_packets and effect.reason is Reason.KNOWN:
                self._handle_held_packets(packet.flow)
        elif isinstance(effect, Reset):
            self._send_reset(packet.flow, effect.seq)

    def _count_effect(self, packet, effect):
        self.counts[effect.reason] += 1
        if effect.reason is not Reason.KNOWN:
            self._log_effect(packet, effect)

    def _log_effect(self, packet, effect):
        if effect.reason in _SAMPLED_REASONS and not self._is_sampled(
            effect.reason
        ):
            return
        target = effect.target if isinstance(effect, Forward) else None
        _LOG.info(
            _LOG_LINES[type(effect)],
            extra={
                'flow': self._format_flow(packet.flow),
                'why': effect.reason,
                'copy': packet.ack if packet.flags & SYN else None,
                'cookie': packet.cookie,
                'target': target.name if target else None,
                'service': target.service if target else None,
                'zone': target.zone if target else None,
                'age_s': self._engine.compute_directory_age(self._turn_at),
            },
        )

    def _is_sampled(self, reason):
        return self.counts[reason] % LOG_SAMPLE_INTERVAL == 1

    def _send(self, datagram, address):
        try:
            self._sock.sendto(datagram, address)
        except OSError as exc:
            # The send buffer is full or the network is unreachable; the
            # caller repeats its packet.
            self.counts[f'unsent_{exc.errno}'] += 1

    def _note_evidence(self, message):
        alive = self._engine.note_evidence(
            message.instance, message.evidence, self._turn_at
        )
        if alive:
            self._tell(LocalEvidence(alive))
        self._reset_lost_flows()

    def _tell(self, message):
        tell_actor(self.scope, self._receiver, message)

    def _note_zone_outcomes(self, message):
        self._engine.note_zone_outcomes(message.outcomes, self._turn_at)
        self._log_assessment_changes()

    def _adopt_cold_limit(self, message):
        self._engine.set_cold_limit(message.limit)

    def _note_members(self, message):
        self._engine.note_members(message.names)

    def _use_plain_cookies(self, message):
        self._engine.plain_cookies = message.plain

    def _drop_openings(self, message):
        self._engine.openings.drop_until(self._turn_at + message.for_s)

    def _note_peer_loads(self, message):
        self._engine.note_other_instances(
            message.loads,
            message.instances,
            message.report_interval_s,
            message.rank,
        )

    def _tick(self, _message):
        self._engine.note_overdue(self._turn_at)
        self._step_admission()
        self._engine.expire(self._turn_at)
        self._drop_overdue_packets()
        self._exchange_owners()
        self._report_evidence()
        self._reset_lost_flows()
        flows = self._engine.flows
        report = LocalLoads(
            flows.count_flows(),
            self._engine.failure_detector.take_outcomes(),
            self._engine.make_opening_report(self._turn_at),
        )
        self._tell(report)

    def _step_admission(self):
        for fields in self._engine.step_admission(self._turn_at):
            _LOG.warning('forwarding: overload of a service', extra=fields)

    def _get_counts(self, _message):
        loads = self._engine.flows.loads.values()
        gauges = {
            'answer_seconds_bucket': dict(self._engine.answers.counts),
            'flows': sum(load.flows for load in loads),
            'waiting': sum(load.waiting for load in loads),
            'way_lossy': int(
                self._engine.failure_detector.is_lossy(self._turn_at)
            ),
            'admitted_share': self._engine.admission.read_shares(),
        }
        return dict(self.counts), gauges, self._last_packet_at
