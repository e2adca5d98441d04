"""Steps on packets that come while an instance starts."""

import random
import socket
import subprocess
import sys

from behave import given, then, when

from cornelgap.forwarding import packet_actor
from cornelgap.forwarding.directory_actor import DIRECTORY
from cornelgap.forwarding.engine import Engine
from cornelgap.forwarding.packet_actor import (
    AdoptView,
    PacketActor,
    ReadCounts,
)
from cornelgap.forwarding.packets import Reason
from cornelgap.forwarding.sockets import open_socket
from cornelgap.platform.node import CODEC
from features.proofs.forwarding_desk import (
    ADDRESS,
    PORT,
    Desk,
    make_route,
    make_target,
)
from standins.packet_ends import ACK, SYN, make_raw

WAIT_S = 15
SCOPE = 'starting'
CALLER = 0x64400007
PLACE = (ADDRESS, PORT)
HEAVY = (
    'pykka',
    'logging',
    'http.client',
    'httptools',
    'cornelgap.platform.node',
)


@given('a packet task without routes and targets')
def start_actor(context):
    context.target = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.target.bind(('127.0.0.1', 0))
    context.target.settimeout(WAIT_S)
    context.cleanups.append(context.target.close)
    sock = open_socket(('127.0.0.1', 0))
    context.address = sock.getsockname()
    engine = Engine('a', random.Random(1))
    context.actor = PacketActor.start(SCOPE, engine, CODEC, sock, DIRECTORY)
    context.cleanups.append(context.actor.stop)


@given('its packets may wait for {seconds:d} s')
def shorten_wait(context, seconds):
    before = packet_actor.MAX_PENDING_S
    packet_actor.MAX_PENDING_S = seconds
    context.cleanups.append(
        lambda: setattr(packet_actor, 'MAX_PENDING_S', before)
    )


def send_opening(context, port):
    raw = make_raw((CALLER, port), PLACE, SYN, 0, 1000, 0)
    context.target.sendto(raw, context.address)


def read_counts(context):
    counts, _, _ = context.actor.ask(ReadCounts(), timeout=WAIT_S)
    return counts


def make_view(context, *routes):
    desk = Desk()
    if routes:
        desk.set_routes(*routes)
    address = context.target.getsockname()
    desk.set_targets(make_target(1, address=address))
    return desk.directory.make_view(desk.now)


def tell_view(context, *routes):
    now = packet_actor.read_clock()
    context.actor.tell(AdoptView(make_view(context, *routes), now))


@when('an opening arrives and the directory becomes known')
def adopt_view(context):
    send_opening(context, 40001)
    # An answer shows that the task has had its chance to read.
    for _ in range(3):
        read_counts(context)
    tell_view(context, make_route('search'))


@when('an opening and a request arrive and only the targets become known')
def adopt_targets(context):
    send_opening(context, 40001)
    cookie = make_target(1).cookie
    raw = make_raw((CALLER, 40002), PLACE, ACK, cookie, 1000, 1, b'hold')
    context.target.sendto(raw, context.address)
    tell_view(context)


@then('the target gets the request alone')
def check_request(context):
    assert context.target.recv(2048).endswith(b'hold')
    assert read_counts(context) == {Reason.KNOWN: 1}


@when('the routes become known too')
def adopt_routes(context):
    tell_view(context, make_route('search'))


@then('the target gets the opening')
def check_arrived(context):
    assert context.target.recv(2048)[8:]
    assert read_counts(context)[Reason.PLACED] == 1


@then('the opening is counted as dropped, and the next one arrives')
def check_dropped(context):
    assert read_counts(context)[Reason.NOT_FRESH] == 1
    send_opening(context, 40002)
    check_arrived(context)


@when('the first steps of the program are loaded')
def load_first_steps(context):
    code = 'import cornelgap.platform.role, sys; print(*sys.modules)'
    done = subprocess.run(
        [sys.executable, '-c', code], capture_output=True, check=True
    )
    context.loaded = done.stdout.decode().split()


@then("neither actors, logs nor the store's client are loaded with them")
def check_light(context):
    assert 'cornelgap.platform.settings' in context.loaded
    heavy = set(HEAVY) & set(context.loaded)
    assert not heavy, heavy


@then('the whole program loads without mail, TLS or the standard HTTP client')
def check_program(context):
    code = (
        'import sys, cornelgap.platform.node;'
        "print(*{'email', 'ssl', 'http.client'} & sys.modules.keys())"
    )
    found = subprocess.run(
        [sys.executable, '-P', '-c', code],
        capture_output=True,
        check=True,
        text=True,
    )
    assert not found.stdout.split(), found.stdout
