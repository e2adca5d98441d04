"""Steps on packets that wait until the target of their flow is known."""

from behave import given, then, when

from bench.procs import wait_for
from cornelgap.forwarding.flow_owners import NO_SEQUENCE
from cornelgap.forwarding.packet_actor import PeerOwners, ReadCounts
from cornelgap.forwarding.packets import Reason
from features.proofs.forwarding_desk import (
    ADDRESS,
    PORT,
    make_route,
    make_target,
)
from features.steps.forwarding_start_steps import (
    CALLER,
    PLACE,
    WAIT_S,
    read_counts,
    send_opening,
    tell_view,
)
from standins.packet_ends import ACK, HEAD, make_raw

COPIED_PORT = 40001
FLOW = (CALLER, COPIED_PORT, ADDRESS, PORT)
SYN_SEQ = 1000
HEAD_BYTES = 8 + HEAD.size
UNKNOWN_COOKIE = 0x5EED5EED
PARTS = (b'first part', b'second part')


def send_data(context, cookie, seq, data):
    raw = make_raw((CALLER, COPIED_PORT), PLACE, ACK, cookie, seq, 7001, data)
    context.target.sendto(raw, context.address)


def read_data(context):
    return context.target.recv(2048)[HEAD_BYTES:]


@given('a packet task that knows a route and a target')
def start_actor_with_view(context):
    context.execute_steps('Given a packet task without routes and targets')
    tell_view(context, make_route('search'))


@when('the second packet of a request overtakes the first one')
def send_overtaking(context):
    send_opening(context, COPIED_PORT)
    syn = context.target.recv(2048)
    cookie = HEAD.unpack_from(syn[8:])[5]
    seq = SYN_SEQ + 1
    send_data(context, cookie, seq + len(PARTS[0]), PARTS[1])
    send_data(context, cookie, seq, PARTS[0])


@then('the target gets both packets at once')
def check_both(context):
    assert [read_data(context) for _ in PARTS] == list(PARTS)
    assert read_counts(context)[Reason.KNOWN] == 2


@when('a packet of a flow arrives whose target is not known')
def send_unknown(context):
    send_data(context, UNKNOWN_COOKIE, SYN_SEQ, PARTS[0])
    # An answer shows that the task has had its chance to read.
    for _ in range(3):
        context.actor.ask(ReadCounts(), timeout=WAIT_S)


@when('another instance reports the target of the flow')
def report_owner(context):
    report = [*FLOW, make_target(1).cookie, NO_SEQUENCE]
    context.actor.tell(PeerOwners('10.0.0.1', 'a', [report], []))


@then('the target gets the packet')
def check_packet(context):
    assert read_data(context) == PARTS[0]


@then('the packet is counted as dropped after a moment')
def check_dropped(context):
    wait_for(
        lambda: read_counts(context).get(Reason.UNKNOWN_TARGET),
        WAIT_S,
        'the packet is counted',
    )
