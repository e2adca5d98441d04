"""Steps about the caller's state machine, on a simulated clock."""

import heapq
import random

from behave import given, then, when
from hypothesis import given as vary
from hypothesis import settings
from hypothesis import strategies as st

from cornelgap.call import events as ev
from cornelgap.call.flow import CallerFlow
from cornelgap.core import messages as msg
from cornelgap.core.verdicts import RunState, Verdict, report_unknown
from cornelgap.wire.caller_codec import decode_datagram, encode_message

FLOW = b'f' * 16
QUIET = settings(
    max_examples=40, derandomize=True, database=None, deadline=None
)


class FakeHome:
    """Just enough of a home: runs once, chunks, re-sends what is missing."""

    def __init__(self, events=0):
        self.runs = {}
        self.answers = {}
        self.events = events
        self.sent = {}

    def handle(self, message):
        if isinstance(message, msg.Open):
            return [
                msg.Opened(message.service, message.nonce, b't', FLOW, 7),
            ]
        if isinstance(message, msg.Request):
            if message.number in self.runs:
                return [msg.Progress(FLOW, 7, message.number)]
            self.runs[message.number] = 1
            size = int(message.payload)
            body = random.Random(size).randbytes(size)
            pieces = [
                body[at : at + 1000] for at in range(0, max(1, size), 1000)
            ]
            self.answers[message.number] = pieces
            return self.send_chunks(message.number, range(message.credit))
        if isinstance(message, msg.OutcomeQuery):
            return self.send_chunks(message.number, range(8))
        if isinstance(message, msg.Subscribe):
            return self.send_events(message.position, message.number, 8)
        if isinstance(message, msg.Ack):
            if message.number in self.answers:
                # Only what is new or named: a lost tail is not guessed.
                first = self.sent[message.number]
                ahead = range(first, max(first, message.position + 16))
                return self.send_chunks(
                    message.number, [*message.missing, *ahead]
                )
            return self.send_events(message.position, message.number, 16)
        return []

    def send_chunks(self, number, positions):
        pieces = self.answers[number]
        highest = max(positions, default=-1) + 1
        self.sent[number] = max(self.sent.get(number, 0), highest)
        return [
            msg.Chunk(FLOW, 7, number, at, pieces[at], at == len(pieces) - 1)
            for at in positions
            if at < len(pieces)
        ]

    def send_events(self, position, number, count):
        end = min(self.events, position + count)
        return [
            msg.Event(FLOW, 7, number, at, b'%d' % at)
            for at in range(position, end)
        ]


def run_path(flow, home, seed, until):
    """Carry datagrams both ways with faults until ``until(events)``."""
    rng = random.Random(seed)
    queue = []
    found = []
    order = 0
    now = 0

    def put(to_home, data):
        nonlocal order
        copies = rng.choices((0, 1, 2), (0.15, 0.75, 0.1))[0]
        for _ in range(copies):
            order += 1
            at = now + 0.002 + rng.random() * 0.01
            heapq.heappush(queue, (at, order, to_home, data))

    for _ in range(200000):
        if until(found):
            return found
        if queue and queue[0][0] <= flow.due:
            now, _, to_home, data = heapq.heappop(queue)
            if to_home:
                for reply in home.handle(decode_datagram(data)):
                    put(False, encode_message(reply))
                continue
            output = flow.handle_datagram(now, data)
        else:
            now = flow.due
            output = flow.tick(now)
        found += output.events
        for data in output.datagrams:
            put(True, data)
    raise AssertionError('the path never came to its end')


@given('a caller on a path with seeded faults')
def note_path(context):
    context.service = 'search'


@then('every answer of any size is byte-exact and ran once')
def check_answers(context):
    @QUIET
    @vary(st.integers(0, 10**6), st.sampled_from([0, 1, 1000, 5000, 150000]))
    def check(seed, size):
        flow = CallerFlow('search', random.Random(seed), 0)
        flow.start_request(0, b'%d' % size, 60)
        home = FakeHome()
        found = run_path(
            flow,
            home,
            seed,
            lambda found: any(isinstance(x, ev.RequestEnded) for x in found),
        )
        assert found[-1].verdict.ran is RunState.DONE
        assert found[-1].answer == random.Random(size).randbytes(size)
        assert home.runs == {1: 1}

    check()


@then('every feed comes in order with each piece once')
def check_feeds(context):
    @QUIET
    @vary(st.integers(0, 10**6))
    def check(seed):
        flow = CallerFlow('search', random.Random(seed), 0)
        flow.start_feed(0, b'topic')

        def is_full(found):
            return sum(isinstance(x, ev.FeedItem) for x in found) >= 100

        found = run_path(flow, FakeHome(events=100), seed, is_full)
        items = [x for x in found if isinstance(x, ev.FeedItem)]
        assert [x.position for x in items] == list(range(100))
        assert all(x.payload == b'%d' % x.position for x in items)
        # A doubled event that were kept would fill the memory over hours.
        assert not flow._feeds[1].held

    check()


def feed_in(context, message):
    output = context.flow.handle_datagram(context.now, encode_message(message))
    keep_output(context, output)
    return output


def keep_output(context, output):
    context.events += output.events
    context.sent += [decode_datagram(data) for data in output.datagrams]


def advance(context, until):
    while context.flow.due <= until:
        context.now = max(context.now, context.flow.due)
        output = context.flow.tick(context.now)
        for data in output.datagrams:
            context.times.append((context.now, decode_datagram(data)))
        keep_output(context, output)
    context.now = until


@given('a caller whose flow is not open')
def make_closed_flow(context):
    context.now = 0
    context.events = []
    context.sent = []
    context.times = []
    context.flow = CallerFlow('booking', context.rng, 0)
    advance(context, 0)


@given('a caller whose flow is open')
def make_open_flow(context):
    make_closed_flow(context)
    feed_in(context, msg.Opened('booking', context.flow.nonce, b't1', FLOW, 7))


@when('a second OPENED comes with another flow')
def open_twice(context):
    other = msg.Opened('booking', context.flow.nonce, b't2', b'g' * 16, 8)
    feed_in(context, other)


@then('the caller keeps its first flow and token')
def check_first(context):
    flow = context.flow
    assert (flow.flow, flow.token, flow.epoch) == (FLOW, b't1', 7)


@given('a hold, a search and a feed at position 3 in progress')
def start_three(context):
    flow = context.flow
    context.hold = flow.start_request(context.now, b'hold', 5)
    context.search = flow.start_request(context.now, b'find', 5, True)
    context.feed = flow.start_feed(context.now, b'topic')
    advance(context, context.now)
    for position in range(3):
        feed_in(context, msg.Event(FLOW, 7, 3, position, b'e'))
    context.sent.clear()


@when('the flow moves to a new epoch')
def move_epoch(context):
    feed_in(context, msg.Moved('booking', FLOW, 7, 9, b't9'))
    advance(context, context.now + 0.5)


@when('a second move from the old epoch comes')
def move_again(context):
    feed_in(context, msg.Moved('booking', FLOW, 7, 11, b't11'))


@then('the caller stays in the epoch of the first move')
def check_epoch(context):
    assert (context.flow.epoch, context.flow.token) == (9, b't9')


@when('the flow moves to a new token in the same epoch')
def move_token(context):
    feed_in(context, msg.Moved('booking', FLOW, 7, 7, b't8'))
    advance(context, context.now + 0.2)


@then('no request has ended')
def check_none_ended(context):
    assert not find_ends(context)


@then('the caller uses the new token with the same numbers')
def check_same_numbers(context):
    assert {item.token for item in context.sent} == {b't8'}
    assert {item.number for item in context.sent} == {1, 2, 3}


def find_ends(context, handle=None):
    return [
        event
        for event in context.events
        if isinstance(event, ev.RequestEnded) and handle in (None, event.handle)
    ]


@then('the hold may have run with code "{code}"')
def check_doubt(context, code):
    (end,) = find_ends(context, context.hold)
    assert end.verdict.ran is RunState.MAY_HAVE_RUN
    assert end.verdict.code == code
    assert end.request_id == (FLOW, 7, 1)


@then('the search is sent again under a new number in the new epoch')
def check_search(context):
    again = [x for x in context.sent if isinstance(x, msg.Request)]
    assert {(x.payload, x.token, x.number) for x in again} == {
        (b'find', b't9', 1)
    }
    assert not find_ends(context, context.search)


@then('the feed subscribes at position 3 under a new number')
def check_feed(context):
    again = [x for x in context.sent if isinstance(x, msg.Subscribe)]
    assert {(x.position, x.token, x.number) for x in again} == {(3, b't9', 2)}


@then('a chunk of the old epoch changes nothing')
def check_old_chunk(context):
    feed_in(context, msg.Chunk(FLOW, 7, 1, 0, b'old', True))
    assert not find_ends(context, context.search)


@given('a search that was given up and a refinement in progress')
def start_refinement(context):
    flow = context.flow
    search = flow.start_request(context.now, b'find', 5, True)
    advance(context, context.now)
    flow.cancel(context.now, search)
    context.refinement = flow.start_request(context.now, b'refine', 5)
    advance(context, context.now)


@when('the whole answer to the search comes')
def answer_search(context):
    feed_in(context, msg.Chunk(FLOW, 7, 1, 0, b'found', True))


@then('the refinement has no answer')
def check_no_answer(context):
    assert not find_ends(context)
    feed_in(context, msg.Chunk(FLOW, 7, 2, 0, b'refined', True))
    assert [x.answer for x in find_ends(context)] == [b'refined']


@when('the hold is refused with the same id after 300 ms')
def refuse_hold(context):
    context.times.clear()
    verdict = report_unknown('REQ-014', 300)
    feed_in(context, msg.Refused('booking', 0, FLOW, 1, verdict))
    context.refused_at = context.now
    advance(context, context.now + 2)


@then("the caller sends the hold's number again, not before 300 ms")
def check_same_id(context):
    again = [
        (at, x)
        for at, x in context.times
        if isinstance(x, msg.Request) and x.payload == b'hold'
    ]
    assert again and all(x.number == 1 for _, x in again)
    assert again[0][0] >= context.refused_at + 0.3
    assert again[0][1].deadline_ms < 5000


@when('the deadline passes')
def pass_deadline(context):
    advance(context, context.now + 5.1)


@then('the caller has cancelled the hold')
def check_cancel(context):
    cancels = [x for x in context.sent if isinstance(x, msg.Cancel)]
    assert 1 in {x.number for x in cancels}


@when('the whole answer to the search comes twice')
def answer_twice(context):
    for _ in range(2):
        feed_in(context, msg.Chunk(FLOW, 7, 2, 0, b'found', True))


@then('two last ACKs for it have been sent')
def check_acks(context):
    acks = [x for x in context.sent if isinstance(x, msg.Ack)]
    assert [(x.number, x.position) for x in acks] == [(2, 1), (2, 1)]
    assert len(find_ends(context, context.search)) == 1


@when('the open is refused with 200 ms to wait')
def refuse_open(context):
    context.times.clear()
    verdict = Verdict(RunState.NOT_RUN, 'REQ-013', retry_after_ms=200)
    feed_in(
        context, msg.Refused('booking', context.flow.nonce, b'', 0, verdict)
    )
    advance(context, 1)


@then('the caller opens again with the same nonce, not before 150 ms')
def check_open_again(context):
    opens = [(at, x) for at, x in context.times if isinstance(x, msg.Open)]
    assert opens and opens[0][0] >= 0.15
    assert {x.nonce for _, x in opens} == {context.flow.nonce}
    assert not context.events


@given('a caller flow whose feed is live')
def follow_live(context):
    flow = CallerFlow('search', context.rng, 0.0)
    for data in flow.tick(0.0).datagrams:
        sent = decode_datagram(data)
        opened = msg.Opened('search', sent.nonce, b'token', FLOW, 7)
        flow.handle_datagram(0.0, encode_message(opened))
    flow.start_feed(0.0, b'topic')
    flow.tick(0.0)
    event = msg.Event(FLOW, 7, 1, 0, b'first')
    flow.handle_datagram(0.1, encode_message(event))
    context.live_flow = flow


@when('the caller flow sends {count:d} requests and each is answered')
def send_many(context, count):
    context.done = 0
    context.subscribed = 0
    for turn in range(count):
        now = 1 + turn
        context.live_flow.start_request(now, b'echo', 0.5)
        for data in context.live_flow.tick(now).datagrams:
            answer_request(context, now, decode_datagram(data))


def answer_request(context, now, sent):
    if isinstance(sent, msg.Subscribe):
        context.subscribed += 1
    if not isinstance(sent, msg.Request):
        alive = msg.Progress(FLOW, 7, sent.number, 1)
        context.live_flow.handle_datagram(now, encode_message(alive))
        return
    chunk = msg.Chunk(FLOW, 7, sent.number, 0, b'answer', last=True)
    output = context.live_flow.handle_datagram(now, encode_message(chunk))
    context.done += len(output.events)


@then('all {count:d} requests of the caller flow are done')
def check_all_done(context, count):
    assert context.done == count, context.done
    assert not context.subscribed, context.subscribed
