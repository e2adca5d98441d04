"""The traps of forwarded flows as short stories on an engine driven by hand.

Each returns the violations that it saw, so that the same story is played
with its guard and without it.
"""

import random
from collections import Counter

from msgspec.structs import replace

from cornelgap.core.errors import CodedError
from cornelgap.decisions.following import FollowerRole
from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding import peer_messages
from cornelgap.forwarding.failure_detector import Evidence
from cornelgap.forwarding.packets import Drop
from cornelgap.forwarding.stamps import Stamp
from cornelgap.platform import layout, sources
from features.proofs.forwarding_desk import (
    ADDRESS,
    PORT,
    Desk,
    get_target,
    got_reset,
    make_packet,
    make_route,
    make_target,
)

SEARCH = tuple(make_target(number) for number in range(1, 5))
KEY = b'k' * 32


def start_desk(*targets, seed=1):
    """Start an engine that knows one route and some targets."""
    desk = Desk(seed)
    desk.set_routes(make_route('search'))
    desk.set_targets(*(targets or SEARCH))
    return desk


def play_two_answers():
    """Two targets answer two copies of one SYN."""
    desk = start_desk()
    first = desk.open(40001)
    desk.pass_time(0.2)
    desk.open(40001, copy=1)
    desk.pass_time(0.4)
    second = desk.open(40001, copy=2)
    desk.send(40001, first, ack=7001)
    # The late SYN+ACK of the second target has changed the caller's cookie.
    effect = desk.send(40001, second, ack=7001, size=300)
    if get_target(effect) != first:
        return [f'data of a flow on {first.name} went elsewhere']
    return []


def play_late_answer():
    """A target's answer to a SYN takes longer than the caller waits."""
    desk = start_desk()
    first = desk.open(40001)
    desk.pass_time(0.2)
    second = desk.open(40001, copy=1)
    # The copy is answered first.  Then the late answer comes, its cookie is
    # carried from now on, and routers choose another instance.
    other = start_desk()
    effect = other.send(40001, first, ack=7001, size=300)
    if get_target(effect) != second:
        return [f'data of a flow on {second.name} went elsewhere']
    return []


def play_reused_number():
    """An address is given to a target of another service."""
    desk = start_desk(SEARCH[0])
    packet = make_packet(40001, pkt.SYN, raw=bytes(36))
    effect = desk.put(packet)
    datagram = layout.encode_forward(packet, effect.target, effect.cookie)
    # The process that now listens at the address goes by these bytes.
    archive = 77
    meant = int.from_bytes(datagram[:8], 'big')
    if meant in {0, archive}:
        return ['the archive takes a packet of the search']
    return []


def play_shared_cookie():
    """Two targets have numbers that fold to one cookie."""
    twin = make_target(SEARCH[0].identity << 32, 'archive')
    assert twin.cookie == SEARCH[0].cookie
    desk = start_desk(SEARCH[0], twin)
    effect = desk.send(40001, SEARCH[0], size=10)
    if not isinstance(effect, Drop):
        return [f'guessed {effect}']
    return []


def play_instance_behind():
    """An instance does not know a target yet that another one placed on."""
    desk = start_desk(*SEARCH[:3])
    effect = desk.send(40001, SEARCH[3], size=100)
    return ['an open flow was reset'] if got_reset(effect) else []


def play_registration_lapsed():
    """The store is away, and registrations lapse of targets that live."""
    desk = start_desk()
    flow = desk.open(40001)
    desk.send(40001, flow, size=100)
    desk.pass_time(6)
    rest = [target for target in SEARCH if target != flow]
    desk.set_targets(*rest)
    effect = desk.send(40001, flow, ack=5000, size=100, seq=1100)
    found = ['a flow of a live target was reset'] if got_reset(effect) else []
    desk.pass_time(1.9)
    desk.set_targets(*SEARCH)
    if get_target(desk.send(40001, flow, size=1, seq=1200)) != flow:
        found.append('a flow is lost though its target is back')
    return found


def play_store_goes_back():
    """A lagging replica serves a list from before a route was dropped."""
    desk = start_desk()
    old = desk.revision
    desk.set_routes(make_route('search', port=444))
    desk.set_routes(make_route('search'), revision=old)
    if desk.open(40001) is not None:
        return ['a flow was opened on a dropped route']
    return []


def play_target_goes_back():
    """A list that is older than a change does not undo it."""
    desk = start_desk(SEARCH[0])
    desk.change(replace(SEARCH[0], draining=True))
    listed = {SEARCH[0].name: (SEARCH[0], 1)}
    stamp = Stamp(revision=desk.revision)
    desk.directory.adopt_targets(listed, stamp, desk.now, desk.now)
    desk.show()
    if desk.open(40001) is not None:
        return ['a draining target got a flow']
    return []


def play_standstill():
    """An instance is suspended, and a target begins to drain meanwhile."""
    desk = start_desk(SEARCH[0])
    desk.pass_time(4)
    desk.engine.distrust_directory(desk.now)
    found = []
    if desk.open(40001) is not None:
        found.append('a flow was placed on a belief from before')
    desk.change(replace(SEARCH[0], draining=True), SEARCH[1])
    desk.confirm()
    desk.pass_time(0.2)
    if desk.open(40001, copy=1) != SEARCH[1]:
        found.append('no flow is placed once the store has confirmed')
    return found


def play_draining():
    """A target drains while it is the least loaded one."""
    desk = start_desk(*SEARCH[:2])
    flow = desk.open(40001)
    desk.change(replace(flow, draining=True))
    found = []
    for caller in range(40002, 40012):
        if desk.open(caller).name == flow.name:
            found.append('a draining target got a new flow')
    if get_target(desk.send(40001, flow, size=10)).name != flow.name:
        found.append('an open flow has left its draining target')
    return found


def play_forged_opening():
    """Somebody sends a SYN+ACK, as only targets do."""
    desk = start_desk()
    effect = desk.put(make_packet(40001, pkt.SYN | pkt.ACK))
    return [] if isinstance(effect, Drop) else [f'{effect} for a forged one']


def play_cut_packet():
    """A datagram is shorter than its head says."""
    head = layout.HEAD.pack(PORT, 7, ADDRESS, 40001, 16, 9, 1, 1, 500, 0)
    try:
        packet = layout.decode_packet(head + b'x' * 100)
    except CodedError:
        return []
    return [f'{packet.size} bytes are claimed, 100 came']


def play_crashed_target():
    """A target crashes; its registration stays for seconds."""
    desk = start_desk()
    flows = {}
    for caller in range(40001, 40041):
        flows[caller] = desk.open(caller)
        desk.send(caller, flows[caller], ack=1)
    crashed = flows[40001]
    held = [caller for caller, target in flows.items() if target == crashed]
    desk.pass_time(1)
    for caller in held:
        desk.send(caller, crashed, ack=1, size=100)
    for wait in (0.2, 0.4):
        desk.pass_time(wait)
        last = [desk.send(caller, crashed, ack=1, size=100) for caller in held]
    found = []
    if not all(got_reset(effect) for effect in last):
        found.append('callers wait for a target that answers nobody')
    if desk.open(41000) == crashed:
        found.append('a flow was opened on it')
    return found


def play_slow_target():
    """A target works for longer than callers wait, but answers some."""
    desk = start_desk(SEARCH[0])
    callers = range(40001, 40009)
    for caller in callers:
        desk.open(caller)
    desk.pass_time(1.5)
    for caller in callers:
        desk.send(caller, SEARCH[0], ack=1, size=100)
    found = []
    for number, caller in enumerate(callers):
        desk.pass_time(0.2)
        # The oldest gets its answer; all others repeat.
        desk.send(caller, SEARCH[0], ack=700)
        for other in list(callers)[number + 1 :]:
            effect = desk.send(other, SEARCH[0], ack=1, size=100)
            if got_reset(effect):
                found.append('a flow of a live target was reset')
    return found


def play_late_answers():
    """A cold target's answers are late now and then, seen by many instances.

    Each of them hears of the others' repeats, and of none of the answers.
    """
    desk = start_desk(SEARCH[0])
    desk.open(40001)
    desk.send(40001, SEARCH[0], ack=1)
    found = []
    for number in range(30):
        desk.pass_time(0.3)
        other = [[SEARCH[0].cookie, 50000 + number, 0]]
        desk.engine.note_evidence('n2', Evidence(other), desk.now)
        if got_reset(desk.send(40001, SEARCH[0], ack=1, size=0)):
            found.append('an open flow of a live target was reset')
    return found[:1]


def play_all_targets_look_bad():
    """Callers' network is cut, and no target seems to answer."""
    desk = start_desk()
    for caller in range(40001, 40041):
        desk.open(caller)
    desk.pass_time(0.2)
    for caller in range(40001, 40041):
        desk.open(caller, copy=1)
    if desk.open(41000) is None:
        return ['the last targets were taken away']
    return []


def play_rush():
    """Forty instances choose at once, with the same news of an idle target.

    The answer is judged by the busiest target's share of the new flows.
    """
    targets = [make_target(number) for number in range(1, 21)]
    archive = make_target(99, 'archive')
    loads = {target.cookie: 6 for target in targets}
    loads[targets[0].cookie] = 0
    taken = Counter()
    for instance in range(40):
        desk = Desk(seed=instance)
        desk.set_routes(make_route('search'), make_route('archive', port=80))
        desk.set_targets(*targets, archive)
        desk.engine.note_other_instances(
            loads, instances=40, report_interval_s=0.5
        )
        for number in range(12):
            # Some seconds of flows, so that the engine knows its own rate.
            desk.pass_time(0.25)
            desk.open(50000 + number, port=80)
        taken[desk.open(60000).name] += 1
    most = max(taken.values())
    return [f'one target got {most} of 40 flows'] if most > 12 else []


def play_new_target():
    """A target is added in one of five zones of 16 instances each.

    All others hold thirty flows.  Two seconds pass before the instances of
    other zones hear what the new one has got since.
    """
    zones = 'abcde'
    targets = [
        make_target(10 * position + number, zone=zone)
        for position, zone in enumerate(zones, start=1)
        for number in range(1, 10)
    ]
    loads = {target.cookie: 30 for target in targets}
    added = make_target(99, zone='a')
    taken = Counter()
    for instance in range(16 * len(zones)):
        desk = Desk(seed=instance, zone=zones[instance % len(zones)])
        desk.set_routes(make_route('search'), make_route('archive', port=80))
        desk.set_targets(*targets, added, make_target(98, 'archive'))
        desk.engine.note_other_instances(
            loads, instances=16, report_interval_s=1
        )
        # Some seconds of flows, so that the engine knows its own rate.
        for number in range(18):
            desk.pass_time(1 / 3)
            desk.open(50000 + number, port=80)
        for number in range(6):
            desk.pass_time(1 / 3)
            taken[desk.open(40001 + number).name] += 1
    got = taken[added.name]
    if got > 2 * 30:
        return [f'the new target got {got} flows, the others hold 30']
    return [] if got else ['the new target got no flow']


def play_deaf_follower():
    """The store no longer tells the one that follows it, without an error."""
    others = [FollowerRole(1, active=False) for _ in range(3)]
    age = 0
    while age < 2.4 and not any(other.active for other in others):
        age += 0.05
        for rank, other in enumerate(others, start=1):
            other.decide(100 + age, rank, age, other_follows=False)
    active = [other.active for other in others]
    if not any(active):
        return ['nobody follows the store']
    # They wait for each other, since the first one tells the rest.
    return ['all follow at once'] if all(active) else []


def play_first_start():
    """A system starts for the first time, and has no configuration yet.

    The first instance by rank hears of one when it begins to follow, and
    tells the others a moment later.
    """
    starting = [FollowerRole(1, started_at=100) for _ in range(20)]
    followed = set()
    step_s = 0.05
    for step in range(80):
        now = 100 + step * step_s
        is_known = now > 102 + 0.1
        for rank, instance in enumerate(starting):
            age_s = 0.2 if is_known else float('inf')
            if instance.decide(now, rank, age_s, is_known and rank > 0):
                followed.add(rank)
    if 0 not in followed:
        return ['nobody follows the store']
    if len(followed) > 1:
        return [f'{len(followed)} instances of a zone follow at once']
    return []


def play_deaf_at_first_start():
    """The first instance by rank never tells of a configuration."""
    others = [FollowerRole(1, started_at=100) for _ in range(3)]
    for step in range(100):
        now = 100 + step * 0.05
        for rank, other in enumerate(others, start=1):
            other.decide(now, rank, float('inf'), other_follows=False)
    if not others[0].active:
        return ['nobody follows the store']
    return []


def play_stranger():
    """Somebody without the key tells where targets are."""
    beat = peer_messages.Beat('x', 'a', '10.0.0.9', 1, targets_changed=999)
    raw = peer_messages.encode_beat(beat, b'another key of 16 bytes')
    try:
        peer_messages.decode_beat(raw, KEY)
    except CodedError:
        return []
    return ['a stranger was believed']


def play_split_copies():
    """Copies of one SYN reach two instances that choose by weight."""
    weighted_services = (('search', 9), ('archive', 1))
    route = replace(make_route('search'), weighted_services=weighted_services)
    archive = make_target(9, 'archive')
    services = set()
    found = []
    rng = random.Random(7)
    for _ in range(200):
        caller = rng.randrange(1024, 65536)
        chosen = set()
        for seed in (1, 2):
            desk = Desk(seed)
            desk.set_routes(route)
            desk.set_targets(SEARCH[0], archive)
            chosen.add(desk.open(caller).service)
        if len(chosen) > 1:
            found.append('two services for one flow')
        services |= chosen
    if len(services) != 2:
        found.append('the weights are not used')
    return found[:1]


def play_young_instance():
    """An instance has just started and has seen no answer yet."""
    desk = start_desk()
    flows = {caller: SEARCH[caller % 4] for caller in range(40001, 40025)}
    found = []
    for wait in (0, 0.2, 0.4, 0.3):
        desk.pass_time(wait)
        for caller, target in flows.items():
            # What it held was lost while the instance was down.
            effect = desk.send(caller, target, ack=2, size=100)
            if got_reset(effect):
                found.append('a flow of a live target was reset')
    return found[:1]


def play_split_in_reach():
    """A route's flows go to two services; one has no target in reach."""
    weighted_services = (('archive', 1), ('search', 9))
    archive = [make_target(number, 'archive', zone='b') for number in (7, 8)]
    desk = Desk()
    desk.set_routes(
        replace(make_route('search'), weighted_services=weighted_services)
    )
    desk.set_targets(SEARCH[0], *archive)
    for caller, target in zip((40001, 40002), archive, strict=True):
        desk.send(caller, target, ack=1)
        desk.send(caller, target, ack=2)
    desk.pass_time(1)
    for wait in (0, 0.2, 0.4):
        desk.pass_time(wait)
        desk.send(40001, archive[0], ack=2, size=100)
        desk.send(40002, archive[1], ack=2, size=100)
    opened = [desk.open(caller) for caller in range(50000, 50040)]
    if any(target.service == 'archive' for target in opened):
        return ['flows wait for a service that is out of reach']
    return []


def play_backlog():
    """Packets have waited in our own socket, and are read at once."""
    targets = [make_target(number) for number in range(1, 5)]
    desk = start_desk(*targets)
    found = []
    for caller in range(40001, 40011):
        first = desk.open(caller)
        if any(desk.open(caller, copy=copy) != first for copy in (1, 2)):
            found.append('a flow was opened on two targets')
    flows = {}
    for caller in range(50001, 50011):
        flows[caller] = targets[caller % 4]
        desk.send(caller, flows[caller], ack=1)
    desk.pass_time(1)
    for _ in range(3):
        for caller, target in flows.items():
            desk.send(caller, target, ack=1, size=100)
    desk.pass_time(0.05)
    for caller, target in flows.items():
        if got_reset(desk.send(caller, target, ack=1, size=100)):
            found.append('a flow of a live target was reset')
    return found[:1]


def play_reborn_target():
    """A target crashes and starts again under its name."""
    desk = start_desk(*SEARCH[:2])
    desk.pass_time(2)
    for caller in range(40001, 40021):
        desk.send(caller, SEARCH[0], ack=1)
    for wait in (0, 0.2, 0.4):
        desk.pass_time(wait)
        for caller in range(40001, 40021):
            desk.send(caller, SEARCH[0], ack=1, size=100)
    desk.change(replace(SEARCH[0], born=1700000000000))
    opened = [desk.open(caller) for caller in range(50000, 50020)]
    if sum(target.cookie == SEARCH[0].cookie for target in opened) < 5:
        return ['a target that is idle gets no new flow']
    return []


def play_entry_written_over():
    """Another writer puts something else in the place of an entry."""
    desk = start_desk()
    flow = desk.send(40001, SEARCH[0], ack=1)
    entries = {
        target.name: {
            'meta': {'name': target.name, 'revision': 9},
            'spec': make_spec(target),
        }
        for target in SEARCH
    }
    entries[SEARCH[0].name]['spec'] = {'state': 'ready', 'address': None}
    source = sources.StoreSource(None)
    found = filter(None, map(source.read, entries.values()))
    listed = {name: (target, revision) for name, target, revision in found}
    stamp = Stamp(revision=9)
    desk.directory.adopt_targets(listed, stamp, desk.now, desk.now)
    desk.show()
    flow = desk.send(40001, SEARCH[0], ack=2, size=100)
    if got_reset(flow) or get_target(flow) is None:
        return ['an open flow of a living target was reset']
    opened = [desk.open(caller) for caller in range(50000, 50020)]
    if any(target.cookie == SEARCH[0].cookie for target in opened):
        return ['a flow was opened by an entry that names no target']
    return []


def make_spec(target):
    """Make what a target writes of itself."""
    host, port = target.address
    return {
        'service': target.service,
        'address': f'{host}:{port}',
        'zone': target.zone,
        'max_concurrent': target.slots,
        'state': 'ready',
        'warmup_left_ms': 0,
    }
