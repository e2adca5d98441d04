"""Steps about the fabric stand-in, over loopback."""

import random
import socket
import threading
from collections import Counter

from behave import given, then, when

from standins.fabric import send_order, start_fabric
from standins.fates import Faults, pick_fate


class EchoEntry:
    """An entry that answers each datagram by itself."""

    def __init__(self):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind(('127.0.0.1', 0))
        host, port = self.sock.getsockname()
        self.where = f'{host}:{port}'
        self.seen = Counter()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            data, sender = self.sock.recvfrom(2048)
            if not data:
                return
            self.seen[sender] += 1
            self.sock.sendto(data, sender)

    def stop(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.sendto(b'', self.sock.getsockname())


@given('a fabric stand-in before three echoing entries')
def start_path(context):
    context.entries = [EchoEntry() for _ in range(3)]
    texts = [
        f'{entry.where}@zone-{index}'
        for index, entry in enumerate(context.entries)
    ]
    context.fabric, thread = start_fabric(texts, seed=5)
    context.cleanups += [entry.stop for entry in context.entries]
    context.cleanups += [thread.join, context.fabric.stop]


@when('a caller sends {count:d} datagrams through it')
def send_many(context, count):
    context.before = [sum(entry.seen.values()) for entry in context.entries]
    context.answers = []
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(20)
        # One at a time: loopback would drop what a full buffer cannot take.
        for number in range(count):
            sock.sendto(b'%d' % number, context.fabric.address)
            context.answers.append(sock.recvfrom(2048))


def count_new(context):
    now = [sum(entry.seen.values()) for entry in context.entries]
    return [new - old for new, old in zip(now, context.before, strict=True)]


@then('each entry gets between {low:d} and {high:d} of them')
def check_spray(context, low, high):
    assert all(low <= count <= high for count in count_new(context))


@then('all entries see the same caller address')
def check_one_address(context):
    assert len({a for entry in context.entries for a in entry.seen}) == 1


@then("the caller has all {count:d} answers from the fabric's address")
def check_answers_back(context, count):
    assert [data for data, _ in context.answers] == [
        b'%d' % number for number in range(count)
    ]
    assert {sender for _, sender in context.answers} == {context.fabric.address}


@when('the zone of the first entry is cut')
def cut_zone(context):
    send_order(context.fabric.control, {'cut': ['zone-0']})


@when('nothing is cut and only the first entry is left')
def heal_zone(context):
    entries = [f'{context.entries[0].where}@zone-0']
    send_order(context.fabric.control, {'cut': [], 'entries': entries})


@then('the first entry gets none of them')
def check_none(context):
    assert count_new(context)[0] == 0


@then('the first entry gets all of them')
def check_all(context):
    assert count_new(context) == [100, 0, 0]


@given('a path with 10 % loss, 10 % duplication and 20 % reordering')
def make_faults(context):
    context.faults = Faults(loss=0.1, duplicate=0.1, reorder=0.2)


def draw_fates(context, seed):
    rng = random.Random(seed)
    return [pick_fate(rng, context.faults) for _ in range(20000)]


@then('of 20000 datagrams each fate has its share within 1 %')
def check_shares(context):
    fates = draw_fates(context, 1)
    sizes = Counter(len(fate) for fate in fates)
    held = sum(len(fate) == 1 and fate[0] > 0 for fate in fates)
    shares = (sizes[0], sizes[2], held)
    wanted = (2000, 2000, 4000)
    assert all(
        abs(found - want) < 200
        for found, want in zip(shares, wanted, strict=True)
    )


@then('the same seed gives the same fates')
def check_seed(context):
    assert draw_fates(context, 3) == draw_fates(context, 3)
    assert draw_fates(context, 3) != draw_fates(context, 4)
