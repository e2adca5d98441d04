"""A load of many flows: feeds, requests in turn, downloads.

Each flow is one caller: it keeps at most one request open, thinks, and
sends the next.  A request that did not run is sent anew under a new id
after the time that the refusal names; one that may have run is not.
"""

import hashlib
import heapq
import json
from dataclasses import dataclass, field

from cornelgap.call import events as ev
from cornelgap.call.report import FeedLog, LoadLog
from cornelgap.core.verdicts import RunState

FIRST_RETRY_S = 0.1
MAX_TRIES = 20
"""Sendings of one payload under new ids before its caller gives up."""


@dataclass
class LoadPlan:
    """What to do.  ``{flow}`` and ``{n}`` in payloads name flow and turn.

    :param flows: callers; each has a flow of its own.
    :param open_rate: flows opened per second, 0 for all at once.
    :param requests: payloads, used in turn; none sends no requests.
    :param think_s: pause of each caller between two requests.
    :param total: requests of each caller, 0 for as many as the time allows.
    :param topic: feed that each caller follows, or none.
    :param linger_s: after the time, how long open requests may end.
    """

    service: str
    flows: int = 10
    open_rate: float = 0
    seconds: float = 10
    requests: list[str] = field(default_factory=list)
    idempotent: bool = False
    long_job: bool = False
    think_s: float = 0.1
    total: int = 0
    deadline_s: float = 10
    topic: str = ''
    linger_s: float = 5
    stall_s: float = 2
    credit: int = 128


@dataclass(slots=True, eq=False)
class Caller:
    """One caller of the load."""

    index: int
    flow: object
    opened_at: float
    turn: int = 0
    tries: int = 0
    payload: str = ''
    sent_at: float = 0
    done: bool = False
    feed: FeedLog | None = None


class Load:
    """A running load; :meth:`run` drives it to its end.

    :param client: :class:`~cornelgap.call.client.CallerClient`.
    :param record: text stream for one JSON line a request and feed, or None.
    """

    def __init__(self, plan, client, clock, rng, record=None):
        """Start with no flow open."""
        self.plan = plan
        self.log = LoadLog()
        self._client = client
        self._clock = clock
        self._rng = rng
        self._record = record
        self._callers = {}
        self._due = []
        self._waiting = 0
        self._done = 0
        self._started = clock()

    def run(self):
        """Run to the end and return the summary as plain data."""
        end = self._started + self.plan.seconds
        while self._clock() < end and not self._is_complete():
            self._open_more()
            self._turn(started=True)
        seconds = self._clock() - self._started
        last = self._clock() + self.plan.linger_s
        while self._clock() < last and self._waiting:
            self._turn(started=False)
        self._finish()
        return self.log.summarize(seconds, self.plan.stall_s)

    def _is_complete(self):
        if not self.plan.total or len(self._callers) < self.plan.flows:
            return False
        return self._done >= self.plan.flows

    def _open_more(self):
        wanted = self.plan.flows
        if self.plan.open_rate:
            elapsed = self._clock() - self._started
            wanted = min(wanted, int(elapsed * self.plan.open_rate) + 1)
        while len(self._callers) < wanted:
            flow = self._client.open_flow(
                self.plan.service, credit=self.plan.credit
            )
            index = len(self._callers)
            self._callers[flow] = Caller(index, flow, self._clock())

    def _turn(self, started):
        for item in self._client.poll(0.005):
            caller = self._callers[item.flow]
            handle = _HANDLERS.get(type(item.event))
            if handle is not None:
                handle(self, caller, item.event)
        if started and self.plan.requests:
            self._send_due()

    def _send_due(self):
        now = self._clock()
        while self._due and self._due[0][0] <= now:
            _, _, caller = heapq.heappop(self._due)
            if caller.done:
                continue
            if caller.flow.is_open():
                self._send_request(now, caller)
            else:
                self._plan_next(caller, now + FIRST_RETRY_S)

    def _plan_next(self, caller, due):
        heapq.heappush(self._due, (due, caller.index, caller))

    def _end_caller(self, caller):
        if not caller.done:
            caller.done = True
            self._done += 1

    def _send_request(self, now, caller):
        if not caller.payload:
            # Callers begin at different payloads, or all of them would ask
            # for the same large document at the same time.
            place = (caller.index + caller.turn) % len(self.plan.requests)
            template = self.plan.requests[place]
            caller.payload = template.replace(
                '{flow}', caller.flow.flow.hex()
            ).replace('{n}', str(caller.turn))
        caller.tries += 1
        caller.sent_at = now
        self._waiting += 1
        caller.flow.start_request(
            now,
            caller.payload.encode(),
            self.plan.deadline_s,
            self.plan.idempotent,
            self.plan.long_job,
        )
        self._client.schedule(caller.flow)

    def _note_opened(self, caller, event):
        now = self._clock()
        self.log.opened += 1
        self.log.open_ms.append((now - caller.opened_at) * 1000)
        # Spread the first turns over a pause, or all callers march in step.
        self._plan_next(caller, now + self._rng.random() * self.plan.think_s)
        if not self.plan.topic:
            return
        topic = self.plan.topic.replace('{flow}', event.flow.hex())
        caller.feed = FeedLog(event.flow.hex(), topic, last_at=now)
        self.log.feeds.append(caller.feed)
        caller.flow.start_feed(now, topic.encode())
        self._client.schedule(caller.flow)

    def _note_open_failed(self, caller, event):
        self.log.open_failed += 1
        self._end_caller(caller)

    def _note_moved(self, caller, event):
        self.log.moves += 1

    def _note_ended(self, caller, event):
        now = self._clock()
        self._waiting -= 1
        self.log.resends += event.resends
        self.log.note_verdict(event.verdict, event.answer is not None)
        self._write_request(now, caller, event)
        if event.answer is not None:
            self.log.answer_ms.append((now - caller.sent_at) * 1000)
            self.log.bytes_in += len(event.answer)
        if event.verdict.ran is RunState.NOT_RUN and caller.tries < MAX_TRIES:
            wait = max(FIRST_RETRY_S, event.verdict.retry_after_ms / 1000)
            self._plan_next(caller, now + wait * (1 + self._rng.random()))
            return
        caller.payload = ''
        caller.tries = 0
        caller.turn += 1
        if self.plan.total and caller.turn >= self.plan.total:
            self._end_caller(caller)
            return
        pause = self.plan.think_s * (0.5 + self._rng.random())
        self._plan_next(caller, now + pause)

    def _note_item(self, caller, event):
        caller.feed.note_item(self._clock(), event.position, event.payload)

    def _note_resumed(self, caller, event):
        caller.feed.resumes += 1

    def _note_feed_ended(self, caller, event):
        caller.feed.ended = event.verdict.code or 'done'

    def _write_request(self, now, caller, event):
        if self._record is None:
            return
        flow, epoch, number = event.request_id
        digest = ''
        if event.answer is not None:
            digest = hashlib.sha256(event.answer).hexdigest()
        self._write_line(
            {
                'kind': 'request',
                'service': self.plan.service,
                'flow': flow.hex(),
                'epoch': epoch,
                'number': number,
                'payload': caller.payload,
                'ran': event.verdict.ran.name,
                'code': str(event.verdict.code),
                'answered': event.answer is not None,
                'bytes': len(event.answer or b''),
                'sha256': digest,
                'ms': round((now - caller.sent_at) * 1000, 3),
            }
        )

    def _write_line(self, row):
        self._record.write(json.dumps(row) + '\n')

    def _finish(self):
        now = self._clock()
        for caller in self._callers.values():
            if caller.feed is not None:
                self._finish_feed(now, caller.feed)
            caller.flow.close(now)
            self._client.schedule(caller.flow)
        self._client.poll(0)

    def _finish_feed(self, now, feed):
        feed.note_gap(now)
        if self._record is not None:
            self._write_line(
                {
                    'kind': 'feed',
                    'service': self.plan.service,
                    'flow': feed.flow,
                    'topic': feed.topic,
                    'items': feed.position,
                    'out_of_order': feed.out_of_order,
                    'resumes': feed.resumes,
                    'ended': feed.ended,
                    'gap_s': round(feed.gap_s, 3),
                    'digest': feed.digest.hexdigest(),
                }
            )


_HANDLERS = {
    ev.FlowOpened: Load._note_opened,
    ev.OpenFailed: Load._note_open_failed,
    ev.FlowMoved: Load._note_moved,
    ev.RequestEnded: Load._note_ended,
    ev.FeedItem: Load._note_item,
    ev.FeedResumed: Load._note_resumed,
    ev.FeedEnded: Load._note_feed_ended,
}
