"""The packet actor of forwarded services: owns the socket and the engine.

Everything that concerns a packet happens in one turn of this actor.
"""

import logging
from collections import Counter

from msgspec import Struct

from cornelgap.core.errors import CodedError
from cornelgap.forwarding.facts import WAKE_S, read_clock
from cornelgap.forwarding.packets import SYN, Drop, Forward, Reason, Reset
from cornelgap.forwarding.sockets import drop_waiting
from cornelgap.forwarding.zone_standing import DropOpenings
from cornelgap.kernel.inbox import SocketInbox, SocketReadable, Tick
from cornelgap.kernel.named_actor import NamedActor
from cornelgap.kernel.names import tell_actor

FORWARDING = 'forwarding'
TICK_S = 0.25

READ_BATCH = 256
DATAGRAM_BYTES = 2048
HELD_S = 1.0
"""Longest time for which packets may wait for the first directory.  Callers
repeat a SYN after 0.2 and 0.6 s and give an attempt up after 1.4 s; an
opening that is carried on later only occupies a target."""

SAMPLE = 50
"""One of so many ordinary openings, and refusals under overload, gets a
line; all others are counted."""

_SAMPLED = frozenset((Reason.PLACED, Reason.OVERLOADED, Reason.COPY_OVERLOADED))

MAX_HELD = 1024
"""Openings kept until the configuration is known.  Further ones are dropped,
and their callers repeat."""

_TEXTS = {
    Forward: 'forwarding: flow placed',
    Reset: 'forwarding: flow reset',
    Drop: 'forwarding: packet dropped',
}
_LOG = logging.getLogger('cornelgap.forwarding')


class AdoptView(Struct, frozen=True):
    """Message: use this picture of the directory.

    :param view: None if the last one still holds.
    :param as_of: time at which it was the newest, process clock seconds.
    """

    view: object
    as_of: float


class AdoptColdLimit(Struct, frozen=True):
    """Message: bound what cold targets get by this limit from now on.

    :param limit: :class:`~cornelgap.decisions.cold_starts.ColdLimit`, None
        for no bound.
    """

    limit: object


class LoadSeen(Struct, frozen=True):
    """Message: flows on targets that this instance sees.

    :param loads: flows by cookie.
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

    :param outcomes: by cookie, as in :class:`LoadSeen`.
    """

    outcomes: dict


class OthersLoad(Struct, frozen=True):
    """Message: flows on targets that other instances see.

    :param loads: flows by cookie.
    :param instances: instances of this zone, this one included.
    :param pause_s: seconds between two reports of load.
    :param rank: how many of these instances precede this one.
    """

    loads: dict
    instances: int
    pause_s: float
    rank: int = 0


class ZoneMembers(Struct, frozen=True):
    """Message: the instances of this zone.

    :param names: frozenset; empty while too little is known of them.
    """

    names: frozenset


class EvidenceSeen(Struct, frozen=True):
    """Message: what flows through this instance say of targets.

    :param evidence: :class:`~cornelgap.forwarding.target_judge.Evidence`.
    """

    evidence: object


class OthersEvidence(Struct, frozen=True):
    """Message: the same of another instance, by its name."""

    instance: str
    evidence: object


class ReadCounts(Struct, frozen=True):
    """Message: give counters, gauges and the last packet's time; asked."""


class Codec(Struct, frozen=True):
    """How packets lie on the wire.

    :param decode: bytes to packet; raises :class:`CodedError`.
    :param encode_forward: packet and target to the datagram for the target.
    :param encode_reset: flow key and sequence number to a reset.
    :param format_ip: number to text.
    """

    decode: object
    encode_forward: object
    encode_reset: object
    format_ip: object


class PacketActor(NamedActor):
    """Forwards packets.

    :param engine: :class:`cornelgap.forwarding.engine.Engine`.
    :param sock: socket at which packets arrive, the actor's own from now
        on; callers get packets at the same port of theirs.
    :param receiver: name of the service that hears of the load.
    """

    def __init__(self, scope, engine, codec, sock, receiver):
        """Let packets wait until the first view of the directory."""
        super().__init__(scope, FORWARDING)
        self._engine = engine
        self._codec = codec
        self._port = sock.getsockname()[1]
        self._receiver = receiver
        self._sock = sock
        self._reading = False
        self._held = []
        self._began_at = read_clock()
        self._turn_at = self._began_at
        self._packet_at = self._turn_at
        self._woken = False
        self._silent = []
        self._outliers = []
        self._away = []
        self._lossy = False
        self.counts = Counter()
        self.handlers = {
            AdoptColdLimit: self._adopt_cold_limit,
            AdoptView: self._adopt_view,
            DropOpenings: self._drop_openings,
            OthersEvidence: self._take_evidence,
            OthersLoad: self._take_others,
            SocketReadable: self._read,
            ReadCounts: self._give_counts,
            Tick: self._tick,
            ZoneMembers: self._take_members,
            ZoneOutcomes: self._take_outcomes,
        }

    @staticmethod
    def _create_actor_inbox():
        return SocketInbox(read_clock, TICK_S)

    def on_receive(self, message):
        """Notice a standstill, then handle the message."""
        now = read_clock()
        if now - self._turn_at > WAKE_S:
            self._wake(now)
        self._turn_at = now
        return super().on_receive(message)

    def release_resources(self):
        """Close the socket."""
        self._sock.close()

    def _wake(self, now):
        _LOG.warning(
            'forwarding: process stood still',
            extra={'for_s': round(now - self._turn_at, 3)},
        )
        self._woken = True
        self._engine.distrust(now)

    def _adopt_view(self, message):
        if message.view is not None:
            self._engine.adopt_view(message.view)
            self._reset_lost()
        self._engine.note_fresh(message.as_of)
        if not self._reading:
            self._begin_reading()
        if self._held and self._engine.view.routes_known:
            self._release_held()

    def _release_held(self):
        """Handle the openings that came before the configuration."""
        held, self._held = self._held, []
        if self._turn_at - self._began_at > HELD_S:
            self.counts[Reason.ROUTES_UNKNOWN] += len(held)
            return
        for packet in held:
            self._carry_out(packet)

    def _begin_reading(self):
        """Read packets from now on, those that have waited first.

        Without routes and targets each of them would be dropped, and its
        caller would find out by a repeat of its own.
        """
        self._reading = True
        waited_s = self._turn_at - self._began_at
        if waited_s > HELD_S:
            self.counts[Reason.NOT_FRESH] += drop_waiting(self._sock)
        _LOG.info(
            'forwarding: packets are read',
            extra={'waited_s': round(waited_s, 3)},
        )
        self.actor_inbox.add_socket(self._sock)

    def _read(self, _message):
        self._read_batch()
        self._tell_evidence()

    def _tell_evidence(self):
        evidence = self._engine.judge.take_evidence()
        if evidence:
            self._tell(EvidenceSeen(evidence))
            self._reset_lost()

    def _reset_lost(self):
        due = self._engine.reset_lost(self._turn_at)
        self._log_beliefs()
        for key, reset in due:
            self.counts[reset.reason] += 1
            self._send_reset(key, reset.seq)
            _LOG.info(
                _TEXTS[Reset],
                extra={'flow': self._name_flow(key), 'why': reset.reason},
            )

    def _name_flow(self, key):
        source, source_port, destination, destination_port = key
        caller = f'{self._codec.format_ip(source)}:{source_port}'
        return (
            f'{caller}>{self._codec.format_ip(destination)}:{destination_port}'
        )

    def _log_beliefs(self):
        """Tell which targets and zones are judged otherwise than before."""
        silent = self._engine.name_silent()
        if silent != self._silent:
            _LOG.info(
                'forwarding: targets given up',
                extra={'silent': silent, 'before': self._silent},
            )
            self._silent = silent
        outliers = self._engine.name_outliers(self._turn_at)
        if outliers != self._outliers:
            _LOG.info(
                'forwarding: targets fail more than their peers',
                extra={'targets': outliers, 'before': self._outliers},
            )
            self._outliers = outliers
        away = self._engine.judge.list_away()
        if away != self._away:
            _LOG.info(
                'forwarding: zones away',
                extra={'zones': away, 'before': self._away},
            )
            self._away = away
        lossy = self._engine.judge.is_lossy(self._turn_at)
        if lossy != self._lossy:
            _LOG.warning(
                'forwarding: packets are lost on the way here'
                if lossy
                else 'forwarding: packets are no longer lost'
            )
            self._lossy = lossy

    def _send_reset(self, key, seq):
        caller = (self._codec.format_ip(key[0]), self._port)
        self._send(self._codec.encode_reset(key, seq), caller)

    def _read_batch(self):
        for _ in range(READ_BATCH):
            try:
                raw = self._sock.recv(DATAGRAM_BYTES)
            except BlockingIOError:
                self._woken = False
                return
            except OSError as exc:
                # An ICMP error of an earlier send is told here; the socket
                # itself is fine.
                self.counts[f'socket_{exc.errno}'] += 1
                continue
            self._handle(raw)

    def _handle(self, raw):
        now = self._turn_at
        self._packet_at = now
        try:
            packet = self._codec.decode(raw)
        except CodedError as exc:
            self.counts[str(exc.code)] += 1
            return
        self._carry_out(packet)

    def _carry_out(self, packet):
        effect = self._engine.handle(packet, self._turn_at, self._woken)
        if effect.reason is Reason.ROUTES_UNKNOWN:
            if len(self._held) < MAX_HELD:
                self._held.append(packet)
                return
        self.counts[effect.reason] += 1
        if effect.reason is not Reason.KNOWN:
            self._log_effect(packet, effect)
        if isinstance(effect, Forward):
            target = effect.target
            datagram = self._codec.encode_forward(packet, target)
            self._send(datagram, target.address)
        elif isinstance(effect, Reset):
            self._send_reset(packet.flow, effect.seq)

    def _log_effect(self, packet, effect):
        if effect.reason in _SAMPLED and not self._is_sampled(effect.reason):
            return
        target = effect.target if isinstance(effect, Forward) else None
        _LOG.info(
            _TEXTS[type(effect)],
            extra={
                'flow': self._name_flow(packet.flow),
                'why': effect.reason,
                'copy': packet.ack if packet.flags & SYN else None,
                'cookie': packet.cookie,
                'target': target.name if target else None,
                'service': target.service if target else None,
                'zone': target.zone if target else None,
                'age_s': self._engine.read_age(self._turn_at),
            },
        )

    def _is_sampled(self, reason):
        return self.counts[reason] % SAMPLE == 1

    def _send(self, datagram, address):
        try:
            self._sock.sendto(datagram, address)
        except OSError as exc:
            # The network is full or gone; the caller repeats.
            self.counts[f'unsent_{exc.errno}'] += 1

    def _take_evidence(self, message):
        alive = self._engine.note_evidence(
            message.instance, message.evidence, self._turn_at
        )
        if alive:
            self._tell(EvidenceSeen(alive))
        self._reset_lost()

    def _tell(self, message):
        tell_actor(self.scope, self._receiver, message)

    def _take_outcomes(self, message):
        self._engine.note_zone_outcomes(message.outcomes, self._turn_at)
        self._log_beliefs()

    def _adopt_cold_limit(self, message):
        self._engine.set_cold_limit(message.limit)

    def _take_members(self, message):
        self._engine.note_members(message.names)

    def _drop_openings(self, message):
        self._engine.openings.drop_until(self._turn_at + message.for_s)

    def _take_others(self, message):
        self._engine.note_others(
            message.loads, message.instances, message.pause_s, message.rank
        )

    def _tick(self, _message):
        self._engine.note_overdue(self._turn_at)
        self._step_admission()
        self._engine.expire(self._turn_at)
        self._tell_evidence()
        self._reset_lost()
        flows = self._engine.flows
        news = LoadSeen(
            flows.count_flows(),
            self._engine.judge.take_outcomes(),
            self._engine.make_opening_report(self._turn_at),
        )
        self._tell(news)

    def _step_admission(self):
        for fields in self._engine.step_admission(self._turn_at):
            _LOG.warning('forwarding: overload of a service', extra=fields)

    def _give_counts(self, _message):
        loads = self._engine.flows.loads.values()
        gauges = {
            'answer_seconds_bucket': dict(self._engine.answers.counts),
            'flows': sum(load.flows for load in loads),
            'waiting': sum(load.waiting for load in loads),
            'way_lossy': int(self._engine.judge.is_lossy(self._turn_at)),
            'admitted_share': self._engine.admission.read_shares(),
        }
        return dict(self.counts), gauges, self._packet_at
