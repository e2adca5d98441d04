"""Callers of the small world: the product's own caller state machine.

Each holds a feed, places holds one after another, asks idempotent
questions and downloads.  What it does after a verdict is what a careful
application does: a new id only after NOT_RUN.
"""

import random

from cornelgap.call import events as ev
from cornelgap.call.flow import CallerFlow
from cornelgap.core import messages as msg
from cornelgap.core.verdicts import RunState
from cornelgap.wire.caller_codec import decode_datagram
from features.proofs import fabric as fab
from features.proofs import records as rec
from features.proofs.steps import name_message

HOLD_EVERY_S = 0.25
DEADLINE_S = 1.5
DOWNLOAD_S = 3.0
DOWNLOAD_BYTES = 30000
TRIES = 3


class CallerNode:
    """One caller with one flow of one service."""

    def __init__(self, world, number, service):
        """Open a flow and start its feed."""
        self.world = world
        self.name = f'c{number}'
        self.service = service
        self.address = (f'10.0.0.{number}', 4000 + number)
        self.open_holds = {}
        self.stopped = False
        self.last_heard = world.loop.now
        self.feed_name = f'{self.name}/feed'
        self.doubts = 0
        self.rehomed = 0
        self._count = 0
        self._planned = float('inf')
        rng = random.Random(world.rng.getrandbits(64))
        self.flow = CallerFlow(service, rng, world.loop.now)
        self.flow.start_feed(world.loop.now, self.feed_name.encode())
        self._plan()
        world.loop.at(0.05 * number, self._work)

    # What the application does.

    def _work(self):
        if self.stopped or self.flow.is_closed:
            return
        kinds = ('hold', 'hold', 'question', 'download')
        self.start_work(kinds[self._count % len(kinds)])
        delay = HOLD_EVERY_S * (0.5 + self.world.rng.random())
        self.world.loop.at(delay, self._work)

    def start_work(self, kind):
        """Start a hold, a question or a download."""
        self._count += 1
        hold = f'{self.name}/{kind}{self._count}'
        self._try(hold, kind, 1)
        return hold

    def _try(self, hold, kind, attempt):
        if self.flow.is_closed or self.stopped:
            return
        now = self.world.loop.now
        payload = hold.encode()
        if kind == 'download':
            payload = f'{DOWNLOAD_BYTES}:{hold}'.encode()
        handle = self.flow.start_request(
            now,
            payload,
            DOWNLOAD_S if kind == 'download' else DEADLINE_S,
            idempotent=kind == 'question',
            long_job=kind == 'download',
        )
        self.open_holds[handle] = (hold, kind, attempt, payload)
        self._plan()

    # The flow's datagrams and timers.

    def receive(self, data):
        """Take a datagram."""
        self._carry_out(self.flow.handle_datagram(self.world.loop.now, data))

    def _plan(self):
        due = self.flow.due
        if due < self._planned:
            self._planned = due
            delay = max(0, due - self.world.loop.now)
            self.world.loop.at(delay, self._run_timer, due)

    def _run_timer(self, due):
        if due != self._planned:
            return
        self._planned = float('inf')
        self._carry_out(self.flow.tick(self.world.loop.now))

    def _carry_out(self, output):
        for datagram in output.datagrams:
            self._send(datagram)
        for event in output.events:
            self._note(event)
        self._plan()

    def _send(self, datagram):
        message = decode_datagram(datagram)
        if isinstance(message, msg.Request):
            self._note_sent(message)
        node = self.world.spray()
        if node is not None:
            self.world.fabric.send(
                name_message(message),
                fab.OUTSIDE,
                node.zone,
                fab.CALLER_S,
                self.world.deliver_caller,
                node.name,
                datagram,
                self.address,
            )

    def _note_sent(self, message):
        req = rec.ReqId(self.flow.flow, self.flow.epoch, message.number)
        hold = message.payload.partition(b':')[2] or message.payload
        sent = rec.Sent(
            self.name, self.service, req, hold.decode(), message.idempotent
        )
        if sent not in self.world.sent:
            self.world.sent.add(sent)
            self.world.tape.note(sent)

    def _note(self, event):
        if isinstance(event, ev.FeedItem):
            self.last_heard = self.world.loop.now
            self.world.tape.note(
                rec.Heard(
                    self.name, self.feed_name, event.position, event.payload
                )
            )
        elif isinstance(event, ev.FlowMoved):
            self.rehomed += 1
        elif isinstance(event, ev.RequestEnded):
            self._note_end(event)

    def _note_end(self, event):
        work = self.open_holds.pop(event.handle, None)
        req = rec.ReqId(*event.request_id)
        if event.answer is not None:
            self.world.tape.note(rec.Answered(self.name, req, event.answer))
        elif req.number:
            self.world.tape.note(rec.Judged(self.name, req, event.verdict.ran))
        if event.verdict.ran is RunState.MAY_HAVE_RUN:
            self.doubts += 1
        if work is not None and event.verdict.ran is RunState.NOT_RUN:
            self._come_back(work, event.verdict)

    def _come_back(self, work, verdict):
        hold, kind, attempt, _ = work
        if attempt < TRIES and not self.stopped:
            delay = max(0.05, verdict.retry_after_ms / 1000)
            self.world.loop.at(delay, self._try, hold, kind, attempt + 1)
