"""Strategies of every message of the callers' protocol, for round trips."""

from hypothesis import strategies as st

from cornelgap.core import messages as msg
from cornelgap.core.verdicts import RunState, Verdict
from cornelgap.wire import caller_codec

U32 = st.integers(1, 2**32 - 1)
U64 = st.integers(1, 2**64 - 1)
NAMES = st.text(min_size=1, max_size=20)
TOKENS = st.binary(min_size=1, max_size=200)
FLOWS = st.binary(min_size=16, max_size=16)
PAYLOADS = st.binary(max_size=600)
CREDITS = st.integers(0, caller_codec.MAX_CREDIT)
VERDICTS = st.builds(
    Verdict,
    ran=st.sampled_from(list(RunState)),
    code=st.text(max_size=8),
    same_id=st.booleans(),
    retry_after_ms=st.integers(0, 2**32 - 1),
    text=st.text(max_size=40),
)

TO_ENTRY = st.one_of(
    st.builds(
        msg.Request,
        service=NAMES,
        token=TOKENS,
        number=U64,
        payload=PAYLOADS,
        idempotent=st.booleans(),
        deadline_ms=U32,
        long_job=st.booleans(),
        credit=CREDITS,
    ),
    st.builds(
        msg.Subscribe,
        service=NAMES,
        token=TOKENS,
        number=U64,
        position=U64,
        payload=PAYLOADS,
        credit=CREDITS,
    ),
    st.builds(
        msg.Ack,
        service=NAMES,
        token=TOKENS,
        number=U64,
        position=U64,
        missing=st.lists(U32, max_size=caller_codec.MAX_MISSING),
        credit=CREDITS,
    ),
    st.builds(msg.Cancel, service=NAMES, token=TOKENS, number=U64),
    st.builds(msg.OutcomeQuery, service=NAMES, token=TOKENS, number=U64),
    st.builds(msg.Close, service=NAMES, token=TOKENS),
)

TO_CALLER = st.one_of(
    st.builds(
        msg.Opened,
        service=NAMES,
        nonce=U64,
        token=TOKENS,
        flow=FLOWS,
        epoch=U64,
    ),
    st.builds(
        msg.Chunk,
        flow=FLOWS,
        epoch=U64,
        number=U64,
        position=U64,
        payload=PAYLOADS,
        last=st.booleans(),
        token=TOKENS,
    ),
    st.builds(
        msg.Event,
        flow=FLOWS,
        epoch=U64,
        number=U64,
        position=U64,
        payload=PAYLOADS,
        token=TOKENS,
    ),
    st.builds(
        msg.VerdictReport,
        flow=FLOWS,
        epoch=U64,
        number=U64,
        verdict=VERDICTS,
        token=TOKENS,
    ),
    st.builds(
        msg.Progress,
        flow=FLOWS,
        epoch=U64,
        number=U64,
        position=U64,
        retry_after_ms=U32,
        token=TOKENS,
    ),
    st.builds(
        msg.Moved,
        service=NAMES,
        flow=FLOWS,
        old_epoch=U64,
        epoch=U64,
        token=TOKENS,
    ),
    st.builds(
        msg.Refused,
        service=NAMES,
        nonce=U64,
        flow=FLOWS,
        number=U64,
        verdict=VERDICTS,
    ),
)

MESSAGES = st.one_of(TO_ENTRY, TO_CALLER)


def spoil_datagram(data, place, flip, length):
    """Change one byte and cut the end of a datagram."""
    spoilt = bytearray(data)
    spoilt[place % len(data)] ^= flip
    return bytes(spoilt[: 1 + length % len(data)])
