"""Steps that fuzz the codec of the callers' protocol."""

import random

from behave import given, then
from hypothesis import given as vary
from hypothesis import settings
from hypothesis import strategies as st

from cornelgap.call.flow import CallerFlow
from cornelgap.core import messages as msg
from cornelgap.core.errors import CodedError
from cornelgap.core.verdicts import RunState, Verdict
from cornelgap.wire import caller_pb2 as pb
from cornelgap.wire.caller_codec import decode_datagram, encode_message

QUIET = settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
names = st.text(min_size=1, max_size=20)
tokens = st.binary(min_size=1, max_size=120)
numbers = st.integers(1, 2**64 - 1)
words = st.integers(0, 2**64 - 1)
short = st.integers(0, 2**32 - 1)
credits = st.integers(0, 256)
payloads = st.binary(max_size=msg.CHUNK_BYTES)
ids = st.binary(max_size=16)
verdicts = st.builds(
    Verdict,
    st.sampled_from(RunState),
    names,
    st.booleans(),
    short,
    st.text(max_size=20),
)
MESSAGES = st.one_of(
    st.builds(msg.Open, names, numbers, st.just(msg.MIN_OPEN_BYTES)),
    st.builds(
        msg.Request,
        names,
        tokens,
        numbers,
        payloads,
        st.booleans(),
        st.integers(1, 2**32 - 1),
        st.booleans(),
        credits,
    ),
    st.builds(msg.Subscribe, names, tokens, numbers, words, payloads, credits),
    st.builds(
        msg.Ack,
        names,
        tokens,
        numbers,
        words,
        st.lists(words, max_size=64),
        credits,
    ),
    st.builds(msg.Cancel, names, tokens, numbers),
    st.builds(msg.OutcomeQuery, names, tokens, numbers),
    st.builds(msg.Close, names, tokens),
    st.builds(msg.Opened, names, words, tokens, ids, words),
    st.builds(
        msg.Chunk, ids, words, words, words, payloads, st.booleans(), tokens
    ),
    st.builds(msg.Event, ids, words, words, words, payloads, tokens),
    st.builds(msg.VerdictReport, ids, words, words, verdicts, tokens),
    st.builds(msg.Progress, ids, words, words, words, short, tokens),
    st.builds(msg.Moved, names, ids, words, words, tokens),
    st.builds(msg.Refused, names, words, ids, words, verdicts),
)


def try_decode(data):
    """Decode; return the code, or '' if it could be decoded."""
    try:
        decode_datagram(data)
    except CodedError as exc:
        assert exc.code.startswith('PKT-')
        return str(exc.code)
    return ''


@then('hypothesis finds no message that changes on the way')
def check_round_trip(context):
    @QUIET
    @vary(MESSAGES)
    def check(message):
        data = encode_message(message)
        if isinstance(message, msg.Open):
            message.size = len(data)
        if len(data) <= msg.MAX_DATAGRAM_BYTES:
            assert decode_datagram(data) == message

    check()


@then('hypothesis finds no bytes that raise anything but a PKT code')
def check_any_bytes(context):
    @QUIET
    @vary(st.binary(max_size=1500))
    def check(data):
        try_decode(data)

    check()


@then('no truncated or altered datagram of the protocol does so either')
def check_altered(context):
    @QUIET
    @vary(MESSAGES, st.randoms(use_true_random=False))
    def check(message, rng):
        data = bytearray(encode_message(message))
        try_decode(bytes(data[: rng.randrange(len(data))]))
        for _ in range(3):
            data[rng.randrange(len(data))] = rng.randrange(256)
            try_decode(bytes(data))

    check()


def build(**changes):
    fields = {
        'version': 1,
        'kind': pb.REQUEST,
        'service': 'search',
        'token': b't',
        'number': 1,
        'deadline_ms': 100,
    }
    return pb.Datagram(**(fields | changes)).SerializeToString()


BAD = {
    'oversized': lambda: build(payload=bytes(msg.MAX_DATAGRAM_BYTES)),
    'cut in a field': lambda: build(token=bytes(50))[:-3],
    'of another version': lambda: build(version=2),
    'of an unknown kind': lambda: build(kind=99),
    'without a service': lambda: build(service=''),
    'without a token': lambda: build(token=b''),
    'with number 0': lambda: build(number=0),
    'without a deadline': lambda: build(deadline_ms=0),
    'an open without a nonce': lambda: build(kind=pb.OPEN),
    'naming 65 missing ones': lambda: build(kind=pb.ACK, missing=[1] * 65),
    'a verdict out of range': lambda: build(kind=pb.VERDICT, ran=4),
}


@given('a datagram of the protocol that is {bad}')
def make_bad(context, bad):
    assert try_decode(build()) == ''
    context.bad_data = BAD[bad]()


@then('decoding it fails with "{code}"')
def check_code(context, code):
    assert try_decode(context.bad_data) == code


@then('hypothesis finds no sequence of messages that breaks a flow')
def check_flow(context):
    flow_id = b'f' * 16

    def aim(message, own):
        # Most messages of chance would miss the flow; these hit it.
        if own and hasattr(message, 'flow'):
            message.flow = flow_id
        if own and hasattr(message, 'epoch'):
            message.epoch = 7
        if own and hasattr(message, 'number'):
            message.number = message.number % 4
        return message

    @QUIET
    @vary(st.lists(st.tuples(MESSAGES, st.booleans()), max_size=20))
    def check(sequence):
        flow = CallerFlow('search', random.Random(1), 0)
        flow.tick(0)
        flow.handle_message(
            0, msg.Opened('search', flow.nonce, b't', flow_id, 7)
        )
        flow.start_request(0, b'find', 5, idempotent=True)
        flow.start_request(0, b'hold', 5)
        flow.start_feed(0, b'topic')
        now = 0
        for message, own in sequence:
            output = flow.handle_message(now, aim(message, own))
            output.datagrams += flow.tick(now).datagrams
            for data in output.datagrams:
                assert len(data) <= msg.MAX_DATAGRAM_BYTES
                decode_datagram(data)
            now += 0.2

    check()
