"""Steps that run hypothesis; derandomised, so each run is the same."""

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import run_state_machine_as_test

from cornelgap.core.errors import CodedError
from cornelgap.wire.caller_codec import decode_datagram, encode_message
from features.proofs import (
    naive_answers,
    naive_codec,
    naive_fanout,
    naive_load,
    naive_route,
)

MACHINES = {
    'answer': naive_answers.AnswerMachine,
    'feed': naive_answers.FeedMachine,
    'admission': naive_load.AdmissionMachine,
    'placement': naive_load.PlacementMachine,
    'fan-out': naive_fanout.FanoutMachine,
    'window': naive_route.WindowMachine,
    'token': naive_route.TokenMachine,
}


def fix_settings(count, **more):
    return settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=count,
        **more,
    )


@when('the proof machine "{name}" runs for {count:d} examples')
def run_machine(context, name, count):
    run_state_machine_as_test(
        MACHINES[name], settings=fix_settings(count, stateful_step_count=40)
    )


@then('the proof machine found no difference')
@then('it is equal to itself')
@then('no error without a code came out')
def confirm_ran(context):
    """The step before raises on a difference."""


@when('each of {count:d} proof messages is encoded and decoded')
def run_round_trip(context, count):
    @fix_settings(count)
    @given(naive_codec.MESSAGES)
    def check_round_trip(message):
        assert decode_datagram(encode_message(message)) == message

    check_round_trip()


@when('each of {count:d} proof messages is spoilt and decoded')
def run_spoilt(context, count):
    place = st.integers(0, 10**6)

    @fix_settings(count)
    @given(naive_codec.MESSAGES, place, st.integers(1, 255), place)
    def check_spoilt(message, place, flip, length):
        data = encode_message(message)
        spoilt = naive_codec.spoil_datagram(data, place, flip, length)
        try:
            decode_datagram(spoilt)
        except CodedError as exc:
            assert exc.code

    check_spoilt()
