"""Machines are stopped and started in turn while clients keep flows open."""

import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import ends
import lab as labs

ROUTE = ('198.18.0.1', 8443)
OPENINGS_PER_S = 30
LIFE_S = 7.0
DEADLINE_S = 2.0
ROLLS = 4
GAP_S = 1.0
LOST_EVERY = 15
"""One of so many flows loses its first SYN+ACK."""

SETTLE_S = 5.0


class Loss:
    """Loses one datagram now and then, as the network does."""

    def __init__(self):
        self._keys = set()
        self._count = 0
        self.lost = []
        self.off = False

    def __call__(self, key):
        if key in self._keys:
            return False
        self._keys.add(key)
        self._count += 1
        if self._count % LOST_EVERY or self.off:
            return False
        self.lost.append((time.monotonic(), key))
        return True


def open_flows(clients, until, loop):
    """Open flows at a steady rate in each zone."""
    pause_s = 1 / OPENINGS_PER_S
    due_at = time.monotonic()
    while time.monotonic() < until[0]:
        with loop.lock:
            for item in clients:
                item.open(LIFE_S * random.uniform(0.5, 1.5))
        due_at += pause_s
        time.sleep(max(0, due_at - time.monotonic()))


def find_breaks(lab, backends, flows):
    """Apply FLOW as it is written; all backends live and are calm.

    :returns: list of (flow, what).
    """
    by_host = {item.address[0]: item for item in backends}
    packets = {}
    for backend in backends:
        for at, key, sender, what in backend.took:
            packets.setdefault(key, []).append((at, backend, sender, what))
    found = []
    for flow in flows:
        taken = sorted(packets.get(flow.key, ()), key=lambda item: item[0])
        opened = [item for item in taken if item[3] == 'open']
        if not opened:
            continue
        opened_at, owner = opened[0][0], opened[0][1]
        later = [item for item in taken if item[0] > opened_at]
        if flow.end == 'reset' and flow.reset_at > opened_at:
            sender = by_host.get(flow.reset_by)
            if sender is not owner:
                found.append((flow, 'a', owner, sender, later))
                continue
        others = [item for item in later if item[3] == 'other']
        own = [item[0] for item in later if item[3] == 'own']
        for first, _, last in zip(others, others[1:], others[2:]):
            if last[0] - first[0] > ends.FLOW_S:
                continue
            span = (first[0], first[0] + ends.FLOW_S)
            if not any(span[0] <= at <= span[1] for at in own):
                found.append((flow, 'b', owner, first[1], later))
                break
    return found


def is_split(flow):
    """Say whether several machines got the flow's SYN and its copies."""
    return len({item[1] for item in flow.took if item[2] & labs.SYN}) > 1


def describe(lab, flow, kind, owner, other, later):
    lab.note(
        f'FLOW ({kind})',
        flow=f'{flow.zone}:{flow.key[1]}',
        opened_at=owner.name,
        other=other.name if other else 'the system itself',
        copies=flow.copies,
        answers=flow.answers,
        end=flow.end,
    )
    names = {item.host: item.name for item in lab.machines}
    for at, name, flags, echo in flow.took:
        kind = 'SYN' if flags & labs.SYN else 'packet'
        lab.note(
            f'    {lab.since_start(at):.3f} client sent {kind}',
            by=name,
            echo=f'{echo:08x}',
        )
    for at, backend, sender, what in later:
        lab.note(
            f'    {lab.since_start(at):.3f} packet reached',
            backend=backend.name,
            by=names.get(sender),
            what=what,
        )
    if flow.reset_at:
        lab.note(f'    {lab.since_start(flow.reset_at):.3f} reset')


def play(lab, trouble):
    place = (labs.parse_ip(ROUTE[0]), ROUTE[1])
    lab.write_config({ROUTE: 'search-engine'})
    loop = ends.Loop()
    loss = Loss()
    # For comparison only: TROUBLE=roll has the planned work without a loss.
    loss.off = trouble == 'roll'
    backends = []
    for number, zone in enumerate(
        ['amman-a'] * 3 + ['amman-b'] * 2 + ['amman-c'] * 2
    ):
        name = f'i-{random.getrandbits(32):08x}'
        host = f'{lab.net}.{101 + number}'
        backend = ends.LongBackend(
            lab, loop, name, 'search-engine', zone, host, loss
        )
        backend.write()
        backends.append(backend)
    lab.add_machines()
    lab.wait_ready()
    lab.note('all machines are ready')
    time.sleep(lab.site.contact_s + 1)
    routers = ends.Routers(lab)
    routers.start()
    clients = [
        ends.LongClients(
            lab,
            loop,
            routers,
            zone,
            f'{lab.net}.{3 + number}',
            place,
            DEADLINE_S,
        )
        for number, zone in enumerate(['amman-a', 'amman-c'])
    ]
    loop.start()
    until = [float('inf')]
    opener = threading.Thread(
        target=open_flows, args=(clients, until, loop), daemon=True
    )
    opener.start()
    time.sleep(SETTLE_S)
    began = time.monotonic()
    for number in range(ROLLS):
        for machine in lab.machines:
            if trouble == '0':
                time.sleep(2.5)
                continue
            stopped_at = time.monotonic()
            machine.stop_and_start()
            lab.note(
                'roll_term',
                machine=machine.name,
                down_after_s=round(time.monotonic() - stopped_at, 2),
            )
            time.sleep(GAP_S)
            lab.wait_ready([machine])
    lab.note('the roll is over', after_s=round(time.monotonic() - began, 1))
    until[0] = 0
    time.sleep(LIFE_S * 1.5 + DEADLINE_S)
    with loop.lock:
        flows = [flow for item in clients for flow in item.done]
        breaks = find_breaks(lab, backends, flows)
    counts = {}
    for flow in flows:
        counts[flow.end] = counts.get(flow.end, 0) + 1
    lab.note('flows', ends=counts, copied=sum(f.copies > 0 for f in flows))
    lab.note(
        'requests',
        sent=sum(f.requests for f in flows),
        answered=sum(f.answers for f in flows),
    )
    lab.note('changes of rotation', number=len(routers.changes))
    runs = [ident for item in backends for ident in item.runs]
    lab.note(
        'copies of a SYN that another machine got',
        flows=sum(is_split(flow) for flow in flows),
    )
    lab.note(
        'datagrams to clients',
        sent=sum(item.sent for item in backends),
        lost=len(loss.lost),
    )
    ended = {machine.name: len(machine.ends) for machine in lab.machines}
    lab.note('ends of processes by themselves', ends=ended)
    lab.note('run twice', number=len(runs) - len(set(runs)))
    lab.note('longest delay of the stand-ins', s=round(loop.latest_s, 3))
    for item in breaks[:5]:
        describe(lab, *item)
    lab.note(
        'breaks of FLOW',
        number=len(breaks),
        a=sum(item[1] == 'a' for item in breaks),
        b=sum(item[1] == 'b' for item in breaks),
    )
    return not breaks


labs.run_case(play, labs.WADI_AMMAN, Path(__file__).with_name('record.txt'))
