"""One flow of a caller as a state machine without socket or clock.

Inputs are datagrams and the time; outputs are datagrams to send and typed
events.  docs/CALLERS.md tells the protocol in words.
"""

from collections import OrderedDict

from cornelgap.call import events as ev
from cornelgap.call.feed import ACK_EVENTS, Feed
from cornelgap.call.pending import Pending
from cornelgap.call.timing import pick_delay
from cornelgap.core import messages as msg
from cornelgap.core.errors import Code, CodedError
from cornelgap.core.verdicts import (
    RunState,
    Verdict,
    confirm_done,
    refuse_not_run,
    report_may_have_run,
)
from cornelgap.core.window import WINDOW_SIZE
from cornelgap.wire.caller_codec import decode_datagram, encode_message

NUMBER_SPAN = WINDOW_SIZE // 2
"""Numbers that may be open at once.  The home takes a number below its
window for an old copy, so a caller that ran ahead of a lost request would
be told that it is too old."""

SPAN_WAIT_S = 0.05
"""Before a request that has to wait for a number looks again."""

FINISHED_KEPT = 256
"""Answers whose last ACK is repeated when a chunk still comes."""

_FEED_ENDS = frozenset(
    {
        Code.REQ_NO_SERVICE,
        Code.REQ_CANCELLED,
        Code.PKT_OTHER_SERVICE,
    }
)
"""Codes that no new subscription would change."""

_REOPEN_CODES = frozenset({Code.PKT_TOKEN_EXPIRED})
"""Refusals after which the same token can never be served again."""


def _check_payload(payload):
    if len(payload) > msg.CHUNK_BYTES:
        raise CodedError(Code.PKT_OVERSIZED, f'{len(payload)} bytes', 'payload')


class CallerFlow:
    """One flow: opens itself, repeats, reassembles, moves, reports.

    :param service: name of the service.
    :param rng: :class:`random.Random` for nonces and jitter.
    :param open_s: how long to try to open before giving up.
    :param credit: chunks or events that may be in flight for each answer.
    """

    def __init__(self, service, rng, now, open_s=10.0, credit=128):
        """Start to open at ``now``; the first tick sends the first OPEN."""
        self.service = service
        self.flow = b''
        self.epoch = 0
        self.token = b''
        self.nonce = rng.getrandbits(64) or 1
        self.is_closed = False
        self.moves = 0
        self.due = now
        self._rng = rng
        self._credit = credit
        self._open_s = open_s
        self._open_end = now + open_s
        self._open_due = now
        self._open_attempts = 0
        self._refusal = None
        self._handle = 0
        self._number = 0
        self._requests = {}
        self._feeds = {}
        self._by_number = {}
        self._finished = OrderedDict()
        self._out = ev.Output()

    def is_open(self):
        """Say whether the flow has a usable token."""
        return bool(self.token)

    def start_request(
        self, now, payload, deadline_s, idempotent=False, long_job=False
    ):
        """Start a request; the next tick sends it.

        :param deadline_s: seconds until the caller gives up.
        :returns: a handle that events of this request carry.
        :raises CodedError: ``PKT_OVERSIZED`` for a payload that no datagram
            can carry.
        """
        _check_payload(payload)
        handle = self._next_handle()
        self._requests[handle] = Pending(
            handle=handle,
            payload=payload,
            idempotent=idempotent,
            deadline=now + deadline_s,
            long_job=long_job,
            credit=self._credit,
            due=now,
        )
        self.due = now
        return handle

    def start_feed(self, now, topic, position=0):
        """Start a feed at a position; the next tick subscribes.

        :returns: a handle that events of this feed carry.
        :raises CodedError: as :meth:`start_request`.
        """
        _check_payload(topic)
        handle = self._next_handle()
        self._feeds[handle] = Feed(
            handle=handle,
            topic=topic,
            credit=self._credit,
            due=now,
            position=position,
            heard=now,
        )
        self.due = now
        return handle

    def cancel(self, now, handle):
        """Cancel a request or a feed; no event follows."""
        item = self._requests.pop(handle, None) or self._feeds.pop(handle, None)
        if item is not None:
            self._drop_number(item)
        self.due = now

    def close(self, now):
        """Close the flow; the datagram goes out with the next tick."""
        if self.token:
            self._send(msg.Close(self.service, self.token))
        self.is_closed = True
        self.due = now

    def handle_datagram(self, now, data):
        """Handle one datagram; what cannot be decoded is dropped."""
        try:
            message = decode_datagram(data)
        except CodedError:
            return ev.Output()
        return self.handle_message(now, message)

    def handle_message(self, now, message):
        """Handle one decoded message.

        :returns: :class:`~cornelgap.call.events.Output`.
        """
        handler = self._HANDLERS.get(type(message))
        if handler is not None and not self.is_closed:
            handler(self, now, message)
        return self._take_output()

    def tick(self, now):
        """Send what is due and conclude what is too late."""
        if not self.is_closed:
            if self.token:
                self._tick_requests(now)
                self._tick_feeds(now)
            else:
                self._tick_open(now)
        return self._take_output()

    def _next_handle(self):
        self._handle += 1
        return self._handle

    def _take_output(self):
        out = self._out
        self._out = ev.Output()
        self.due = self._find_due()
        return out

    def _find_due(self):
        if self.is_closed:
            return float('inf')
        ends = [req.deadline for req in self._requests.values()]
        if not self.token:
            return min([self._open_due, *ends])
        dues = [req.due for req in self._requests.values()]
        feeds = [feed.due for feed in self._feeds.values()]
        return min([*ends, *dues, *feeds], default=float('inf'))

    def _send(self, message):
        if not self.token and not isinstance(message, msg.Open):
            # While the flow opens anew there is nothing to say yet.
            return
        self._out.datagrams.append(encode_message(message))

    # Opening.

    def _tick_open(self, now):
        self._end_late(now)
        if now < self._open_due:
            return
        if now >= self._open_end:
            self._fail_open()
            return
        self._send(msg.Open(self.service, self.nonce))
        self._open_due = now + pick_delay(
            self._rng, attempt=self._open_attempts
        )
        self._open_attempts += 1

    def _fail_open(self):
        verdict = self._refusal or refuse_not_run(
            Code.REQ_DEADLINE, text='no entry instance answered'
        )
        for req in list(self._requests.values()):
            self._end_request(req, verdict)
        for feed in list(self._feeds.values()):
            self._end_feed(feed, verdict)
        self._out.events.append(ev.OpenFailed(verdict))
        self.is_closed = True

    def _handle_opened(self, now, message):
        # A doubled OPEN gives two tokens; the first one is used.
        if self.token or message.nonce != self.nonce:
            return
        reopened = bool(self.flow)
        old_epoch = self.epoch
        self.flow = message.flow
        self.token = message.token
        if reopened:
            self._change_space(now, old_epoch, message.epoch)
            return
        self.epoch = message.epoch
        self._out.events.append(ev.FlowOpened(self.flow, self.epoch))
        self._resend_all(now)

    def _reopen(self, now):
        self.token = b''
        self.nonce = self._rng.getrandbits(64) or 1
        self._open_due = now
        self._open_end = now + self._open_s
        self._open_attempts = 0

    # Requests.

    def _tick_requests(self, now):
        self._end_late(now)
        for req in list(self._requests.values()):
            self._send_due(now, req)

    def _end_late(self, now):
        for req in list(self._requests.values()):
            if now < req.deadline:
                continue
            if req.number:
                self._send(msg.Cancel(self.service, self.token, req.number))
                verdict = report_may_have_run(Code.REQ_DEADLINE)
            else:
                verdict = refuse_not_run(Code.REQ_DEADLINE, text='never sent')
            self._end_request(req, verdict)

    def _send_due(self, now, item):
        if item.due > now:
            return
        if not self._assign_number(item):
            item.due = now + SPAN_WAIT_S
            return
        self._send(item.build_due(now, self.service, self.token, self._rng))

    def _assign_number(self, item):
        if item.number:
            return True
        # What the home knows already keeps its id however far the window
        # moves on.  Counting it too, a feed of an hour ago would hold back
        # every refinement after the first 128.
        unknown = (
            number for number, it in self._by_number.items() if not it.known
        )
        lowest = min(unknown, default=self._number)
        if self._number - lowest >= NUMBER_SPAN:
            return False
        self._number += 1
        item.number = self._number
        self._by_number[item.number] = item
        return True

    def _drop_number(self, item):
        if not item.number:
            return
        self._by_number.pop(item.number, None)
        if self.token:
            self._send(msg.Cancel(self.service, self.token, item.number))

    def _end_request(self, req, verdict, answer=None):
        self._requests.pop(req.handle, None)
        self._by_number.pop(req.number, None)
        self._out.events.append(
            ev.RequestEnded(
                handle=req.handle,
                request_id=(self.flow, self.epoch, req.number),
                verdict=verdict,
                answer=answer,
                resends=req.resends,
            )
        )

    def _find_item(self, message, kind):
        if message.flow != self.flow or message.epoch != self.epoch:
            return None
        if message.token:
            self.token = message.token
        item = self._by_number.get(message.number)
        return item if isinstance(item, kind) else None

    def _handle_chunk(self, now, message):
        req = self._find_item(message, Pending)
        if req is None:
            self._repeat_last_ack(message)
            return
        wants_ack = req.add_chunk(now, message)
        if wants_ack:
            self._send(req.build_ack(self.service, self.token))
        if req.answer.is_whole():
            self._keep_finished(req)
            self._end_request(req, confirm_done(), req.answer.join_chunks())

    def _keep_finished(self, req):
        self._finished[self.epoch, req.number] = req.answer.position
        if len(self._finished) > FINISHED_KEPT:
            self._finished.popitem(last=False)

    def _repeat_last_ack(self, message):
        # The last ACK was lost: without another one the home would keep the
        # answer and go on sending it until it expires.
        position = self._finished.get((message.epoch, message.number))
        if position is not None and message.flow == self.flow:
            self._send(
                msg.Ack(self.service, self.token, message.number, position)
            )

    def _handle_report(self, now, message):
        item = self._find_item(message, (Pending, Feed))
        if item is None:
            return
        if message.verdict.ran is RunState.UNKNOWN:
            self._retry_item(now, item, message.verdict)
        elif isinstance(item, Pending):
            self._end_request(item, message.verdict)
        else:
            self._resume_feed(now, item, message.verdict)

    def _handle_progress(self, now, message):
        item = self._find_item(message, (Pending, Feed))
        if isinstance(item, Pending):
            item.note_progress(now, message.retry_after_ms)
        elif item is not None:
            item.note_life(now)

    def _retry_item(self, now, item, verdict):
        if isinstance(item, Pending):
            item.note_refusal(now, verdict.retry_after_ms, self._rng)
            return
        wait = verdict.retry_after_ms / 1000
        item.due = now + max(wait, pick_delay(self._rng, attempt=item.attempts))
        item.known = False

    def _handle_refused(self, now, message):
        if message.nonce:
            self._note_open_refusal(now, message)
            return
        if message.flow != self.flow or not self.token:
            return
        if message.verdict.code in _REOPEN_CODES:
            self._reopen(now)
            return
        item = self._by_number.get(message.number)
        if item is not None:
            self._retry_item(now, item, message.verdict)

    def _note_open_refusal(self, now, message):
        if self.token or message.nonce != self.nonce:
            return
        self._refusal = message.verdict
        wait = message.verdict.retry_after_ms / 1000
        if not wait or now + wait >= self._open_end:
            self._fail_open()
            return
        # Another entry may open it already; an OPEN stores nothing there.
        self._open_due = now + pick_delay(self._rng, wait)

    # Feeds.

    def _tick_feeds(self, now):
        for feed in list(self._feeds.values()):
            if feed.is_silent(now):
                self._resume_feed(
                    now, feed, Verdict(RunState.UNKNOWN, Code.REQ_HOME_LOST)
                )
            self._send_due(now, feed)

    def _handle_event(self, now, message):
        feed = self._find_item(message, Feed)
        if feed is None:
            return
        for position, payload in feed.add_event(
            now, message.position, message.payload
        ):
            self._out.events.append(ev.FeedItem(feed.handle, position, payload))
        if feed.unacked >= ACK_EVENTS:
            self._send(feed.build_ack(self.service, self.token))

    def _resume_feed(self, now, feed, verdict):
        if verdict.ran is RunState.DONE or verdict.code in _FEED_ENDS:
            self._end_feed(feed, verdict)
            return
        self._drop_number(feed)
        wait = verdict.retry_after_ms / 1000
        feed.restart(
            now + max(wait, pick_delay(self._rng, attempt=feed.attempts))
        )
        self._note_resumed(feed, verdict.code)

    def _note_resumed(self, feed, code):
        feed.resumes += 1
        self._out.events.append(
            ev.FeedResumed(feed.handle, feed.position, str(code))
        )

    def _end_feed(self, feed, verdict):
        self._feeds.pop(feed.handle, None)
        self._by_number.pop(feed.number, None)
        self._out.events.append(
            ev.FeedEnded(feed.handle, feed.position, verdict)
        )

    # Moves.

    def _handle_moved(self, now, message):
        if message.flow != self.flow or message.old_epoch != self.epoch:
            # Stale: two entries moved the flow at once, or a late copy.
            return
        self.token = message.token
        self.moves += 1
        if message.epoch == self.epoch:
            self._resend_all(now)
            return
        self._change_space(now, message.old_epoch, message.epoch)

    def _change_space(self, now, old_epoch, epoch):
        for req in list(self._requests.values()):
            if req.number and not req.idempotent:
                self._end_request(req, report_may_have_run(Code.REQ_HOME_LOST))
                continue
            req.restart(now)
        self._by_number.clear()
        self._number = 0
        self.epoch = epoch
        for feed in self._feeds.values():
            feed.restart(now)
            self._note_resumed(feed, Code.REQ_HOME_LOST)
        self._out.events.append(ev.FlowMoved(old_epoch, epoch))

    def _resend_all(self, now):
        for item in [*self._requests.values(), *self._feeds.values()]:
            item.due = min(item.due, now)

    _HANDLERS = {
        msg.Opened: _handle_opened,
        msg.Chunk: _handle_chunk,
        msg.Event: _handle_event,
        msg.VerdictReport: _handle_report,
        msg.Progress: _handle_progress,
        msg.Moved: _handle_moved,
        msg.Refused: _handle_refused,
    }
