"""Engines driven by hand: each datagram and each call in plain sight.

The stories of the traps need an exact order of events.  Here nothing
happens by itself: effects are collected, and the story carries out those
that it wants, when it wants.  What targets run and callers hear goes to a
tape, for the same checkers as everywhere.
"""

import random
from dataclasses import dataclass, field, replace

from cornelgap.core import calls
from cornelgap.core import messages as msg
from cornelgap.core.control import Instance
from cornelgap.core.settings import Cfg, KeyCfg, ServiceCfg, TargetCfg
from cornelgap.core.verdicts import RunState
from cornelgap.decisions.ends import CallEnd
from cornelgap.entry.engine import Engine
from cornelgap.entry.handover import HandedOver, HandOver
from cornelgap.wire.caller_codec import decode_datagram, encode_message
from features.proofs import records as rec

CALLER = ('10.0.0.1', 5000)
DEADLINE_MS = 1000
KEY = KeyCfg(1, b'1' * 32)


def make_cfg(revision=1, targets=('b1', 'b2'), token_s=60, keys=(KEY,)):
    """Make a configuration of the services booking and briefing."""
    booking = {
        name: TargetCfg(name, f'{name}:9', 'z1', slots=2) for name in targets
    }
    briefing = {'p1': TargetCfg('p1', 'p1:9', 'z1')}
    return Cfg(
        revision,
        {
            'booking': ServiceCfg('booking', targets=booking, token_s=token_s),
            'briefing': ServiceCfg(
                'briefing', targets=briefing, token_s=token_s
            ),
        },
        {key.key_id: key for key in keys},
    )


@dataclass
class Desk:
    """Some engines and all that they asked for.

    :param told: (message, entry name) to callers, in order.
    :param runs: :class:`StartRun` effects not yet carried out, with the
        entry that asked; likewise ``follows`` and ``handovers``.
    :param peers: datagrams between entries, not yet delivered.
    """

    now: float = 100.0
    engines: dict = field(default_factory=dict)
    boots: int = 0
    told: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    follows: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    handovers: list = field(default_factory=list)
    peers: list = field(default_factory=list)
    hold_peers: bool = False
    tape: rec.Tape = field(default_factory=rec.Tape)

    def start_entry(self, name, cfg=None):
        """Start, or restart, an entry process."""
        self.boots += 1
        rng = random.Random(self.boots)
        engine = Engine.from_settings(name, 'z1', self.boots, rng, name)
        self.engines[name] = engine
        self.adopt(name, cfg or make_cfg())
        listed = [Instance(one, 'z1', f'{one}:1', one) for one in self.engines]
        for each in self.engines.values():
            each.note_instances(self.now, listed, [])
        return engine

    def adopt(self, name, cfg):
        """Put a configuration in force, if the entry takes it."""
        engine = self.engines[name]
        self.carry_out(name, engine.adopt_cfg(self.now, cfg))
        self.tape.note(
            rec.Adopted(name, engine.state.boot, engine.state.cfg.revision)
        )

    def lose_entry(self, name, seen_by=()):
        """End a process; the entries named notice it by its silence."""
        self.engines.pop(name)
        for other in seen_by:
            for _ in range(6):
                self.now += 0.3
                self.tick(other)
                membership = self.engines[other].state.membership
                membership.record_probe(self.now, name)

    def carry_out(self, name, effects):
        """Sort effects into this desk's lists."""
        for effect in effects:
            if isinstance(effect, calls.SendCaller):
                self.told.append((decode_datagram(effect.datagram), name))
                self._note_told(self.told[-1][0])
            elif isinstance(effect, calls.SendPeer):
                self.peers.append((name, effect))
            elif isinstance(effect, calls.StartRun):
                self.runs.append((name, effect))
            elif isinstance(effect, calls.StartFollow):
                self.follows.append((name, effect))
            elif isinstance(effect, HandOver):
                self.handovers.append((name, effect))
            elif isinstance(effect, calls.StopCall):
                self.stops.append((name, effect.call_id))
        if not self.hold_peers:
            self.deliver_peers()

    def _note_told(self, message):
        if isinstance(message, msg.VerdictReport):
            req = rec.ReqId(message.flow, message.epoch, message.number)
            if message.verdict.ran is not RunState.UNKNOWN:
                self.tape.note(rec.Judged('c1', req, message.verdict.ran))

    def deliver_peers(self):
        """Deliver all datagrams between entries."""
        while self.peers:
            source, effect = self.peers.pop(0)
            engine = self.engines.get(effect.peer)
            if engine is not None:
                effects = engine.handle_peer(
                    self.now, effect.datagram, f'{source}:1'
                )
                self.carry_out(effect.peer, effects)

    def tick(self, name):
        """Let one engine see the time."""
        self.carry_out(name, self.engines[name].tick(self.now))

    def pass_time(self, length_s, step_s=0.25):
        """Let time pass for all engines."""
        end = self.now + length_s
        while self.now < end:
            self.now += step_s
            for name in list(self.engines):
                self.tick(name)

    def send(self, name, message, address=CALLER):
        """Send a caller's message to one entry; return what came back."""
        before = len(self.told)
        engine = self.engines[name]
        data = encode_message(message)
        self.carry_out(name, engine.handle_caller(self.now, data, address))
        return [one for one, _ in self.told[before:]]

    def open(self, name, service='booking'):
        """Open a flow; return the OPENED."""
        replies = self.send(name, msg.Open(service, 77))
        return next(one for one in replies if isinstance(one, msg.Opened))

    def request(self, name, opened, number, **fields):
        """Send a hold under a number; return what came back."""
        fields.setdefault('deadline_ms', DEADLINE_MS)
        token = fields.pop('token', opened.token)
        payload = fields.pop('payload', b'hold/%d' % number)
        req = msg.Request(opened.service, token, number, payload, **fields)
        sent = rec.Sent(
            'c1',
            opened.service,
            rec.ReqId(opened.flow, opened.epoch, number),
            payload.decode(),
            req.idempotent,
        )
        if sent not in self.tape.items:
            self.tape.note(sent)
        return self.send(name, req)

    def run_next(self, service=None):
        """Have the target of the oldest waiting call run it.

        :param service: of the target that really listens there.
        :returns: (entry name, effect).
        """
        name, effect = self.runs.pop(0)
        self.tape.note(
            rec.Executed(
                service or effect.service,
                effect.service,
                effect.target,
                rec.ReqId(effect.flow_id, effect.epoch, effect.number),
                effect.payload,
            )
        )
        return name, effect

    def report(self, name, *events):
        """Report events of calls to an entry."""
        engine = self.engines[name]
        self.carry_out(name, engine.handle_events(self.now, list(events)))

    def answer(self, name, effect, payload=b'answer'):
        """Have a call give its answer and end well."""
        self.report(
            name,
            calls.PieceArrived(effect.call_id, 0, payload, True, 1),
            calls.CallEnded(effect.call_id, CallEnd.OK, RunState.DONE),
        )

    def end_call(self, name, effect, ended, ran, code='REQ-005'):
        """Have a call end otherwise."""
        self.report(name, calls.CallEnded(effect.call_id, ended, ran, code))

    def run_all(self):
        """Have all waiting calls run and answered."""
        while self.runs:
            name, effect = self.run_next()
            if name in self.engines:
                self.answer(name, effect)

    def hand_over(self, answered=True):
        """Deliver the waiting handovers.

        :param answered: whether the successors' answers come back.
        """
        pending, self.handovers = self.handovers, []
        for name, effect in pending:
            self.deliver_records(name, effect, answered)
        return pending

    def deliver_records(self, name, effect, answered=True):
        """Deliver one handover to whichever process has the name now."""
        peer = self.engines[effect.peer]
        taken, effects = take_records(peer, self.now, effect)
        self.carry_out(effect.peer, effects)
        if answered and name in self.engines:
            done = HandedOver(effect.batch_id, taken == len(effect.records))
            self.report(name, done)


def take_records(engine, now, effect):
    """Give an engine the records of a handover as the peer service does."""
    return engine.take_handover(now, effect.records)


def pick(messages, kind):
    """Pick the messages of one kind."""
    return [one for one in messages if isinstance(one, kind)]


def sign_with(cfg, revision, *keys):
    """Copy a configuration with another key ring."""
    ring = {key.key_id: key for key in keys}
    return replace(cfg, revision=revision, keys=ring)
