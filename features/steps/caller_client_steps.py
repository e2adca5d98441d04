"""Steps about the caller's client over real sockets on loopback."""

import contextlib
import hashlib
import io
import json
import random
import socket
import threading
import time

from behave import given, then, when

from cornelgap.call.client import CallerClient
from cornelgap.call.load import Load, LoadPlan
from cornelgap.call.main import app
from cornelgap.core import messages as msg
from cornelgap.wire.caller_codec import decode_datagram, encode_message
from features.steps.caller_steps import FakeHome
from standins.fabric import start_fabric


class SocketHome:
    """A small home for many flows; the token is the flow's id."""

    def __init__(self):
        self.homes = {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(('127.0.0.1', 0))
        self.address = self.sock.getsockname()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            data, sender = self.sock.recvfrom(2048)
            if not data:
                return
            for reply in self.answer(decode_datagram(data)):
                self.sock.sendto(encode_message(reply), sender)

    def answer(self, message):
        if isinstance(message, msg.Open):
            flow = message.nonce.to_bytes(16, 'big')
            self.homes.setdefault(flow, FakeHome(events=50))
            return [msg.Opened('search', message.nonce, flow, flow, 7)]
        replies = self.homes[message.token].handle(message)
        for reply in replies:
            reply.flow = message.token
        return replies

    def stop(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(b'', self.address)


@given('a small home on a socket behind a fabric with 3 % of each fault')
def start_home(context):
    context.home = SocketHome()
    host, port = context.home.address
    context.fabric, thread = start_fabric(
        [f'{host}:{port}'], loss=0.03, duplicate=0.03, reorder=0.03
    )
    context.cleanups += [context.home.stop, thread.join, context.fabric.stop]


@when('the load tool runs 20 flows with 5 requests and a feed each')
def run_load(context):
    plan = LoadPlan(
        service='search',
        flows=20,
        seconds=30,
        requests=['30000', '0', '1100'],
        think_s=0.01,
        total=5,
        topic='topic',
    )
    client = CallerClient([context.fabric.address], random.Random(1))
    context.record = io.StringIO()
    load = Load(plan, client, time.monotonic, random.Random(2), context.record)
    context.summary = load.run()
    client.close()


@then('its summary says 100 requests done and no feed broken')
def check_summary(context):
    summary = context.summary
    assert summary['verdicts'] == {'done': 100}, summary
    assert summary['flows'] == summary['feeds'] == 20
    assert summary['feeds_broken'] == summary['feeds_out_of_order'] == 0


@then('its record has the digest of each answer')
def check_record(context):
    rows = [
        json.loads(line)
        for line in context.record.getvalue().split('\n')
        if line
    ]
    requests = [row for row in rows if row['kind'] == 'request']
    assert len(requests) == 100
    for row in requests:
        size = int(row['payload'])
        answer = random.Random(size).randbytes(size)
        assert row['sha256'] == hashlib.sha256(answer).hexdigest()


@then('each request took one id at the home')
def check_ids(context):
    # The load uses the first flow that opens; a doubled OPEN is the same
    # flow here, as the flow follows from the nonce.
    runs = [
        count for home in context.home.homes.values() for count in home.runs
    ]
    assert len(runs) == 100


@given('a socket that never answers')
def make_silent(context):
    context.silent = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.silent.bind(('127.0.0.1', 0))
    context.cleanups.append(context.silent.close)


@when('a request with a deadline of 0.3 s is sent to it by the command')
def send_by_command(context):
    host, port = context.silent.getsockname()
    args = ['request', 'hold a1', '--to', f'{host}:{port}']
    args += ['--service', 'booking', '--deadline-s', '0.3']
    with contextlib.redirect_stderr(io.StringIO()):
        context.code = app(args, result_action='return_value')


@then('the command ends with the exit code for not run')
def check_code(context):
    assert context.code == 3
