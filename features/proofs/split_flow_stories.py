"""Stories of flows whose SYN reached two targets.

Each returns the violations that it saw, so that the same story is played
with its guard and without it.
"""

import random

from cornelgap.forwarding import packets as pkt
from cornelgap.forwarding.neighbours import InstanceIdentity, Neighbours
from cornelgap.forwarding.peer_messages import Beat
from features.proofs.forwarding_desk import (
    get_target,
    got_reset,
    make_packet,
)
from features.proofs.forwarding_stories import SEARCH, start_desk
from features.proofs.split_flow_world import Chances, World

CALLER = 40001
SYN_SEQ = 0xFFFFFFF0
"""Near the end of the sequence numbers, so that they wrap around."""

FIRST_BYTES = 100
SEEDS = range(1, 7)
PLAY_S = 30


def open_on(desk, target, copy=0):
    """Let an instance forward a SYN, or a copy of it, to a certain target.

    :returns: the cookie that the target sends to the caller.
    """
    desk.set_targets(target)
    effect = desk.put(make_syn(copy))
    assert get_target(effect) == target
    desk.set_targets(*SEARCH)
    return effect.cookie


def make_syn(copy=0, seq=SYN_SEQ):
    return make_packet(CALLER, pkt.SYN, seq=seq, ack=copy)


def send(desk, cookie, offset=0, size=0, syn_seq=SYN_SEQ):
    """Send a packet of the flow.

    :param offset: bytes that the caller has sent before.
    :returns: the effect.
    """
    packet = make_packet(
        CALLER,
        pkt.ACK,
        cookie=cookie,
        seq=(syn_seq + 1 + offset) % (1 << 32),
        ack=7001 + offset,
        size=size,
    )
    return desk.put(packet)


def establish(desk, cookie):
    """Send the caller's acknowledgement and its first request.

    :returns: the target that got the request.
    """
    send(desk, cookie)
    return get_target(send(desk, cookie, size=FIRST_BYTES))


def exchange(sender, *receivers):
    """Send an instance's reports and queries, and the answers to them."""
    reports, queries = sender.engine.lookup.owners.take_message(sender.now)
    for desk in receivers:
        desk.engine.lookup.note_reports(reports, desk.now)
        answers = desk.engine.lookup.answer_queries(queries, desk.now)
        sender.engine.lookup.note_reports(answers, sender.now)


def split_flow():
    """Open a flow whose copy was placed by another instance.

    The SYN+ACK of the first target is lost.

    :returns: tuple (instance that got the SYN, the one that got the copy,
        cookie of the first target's next SYN+ACK).
    """
    first, second = start_desk(), start_desk()
    late_cookie = open_on(first, SEARCH[0])
    for desk in (first, second):
        desk.pass_time(0.2)
    cookie = open_on(second, SEARCH[1], copy=1)
    assert establish(second, cookie) == SEARCH[1]
    return first, second, late_cookie


def find_misled(effect, owner):
    """Return objections if a packet came to a target without its flow."""
    if got_reset(effect):
        return ['an open flow was reset']
    target = get_target(effect)
    if target not in {None, owner}:
        return [f'data of a flow on {owner.name} went to {target.name}']
    return []


def find_lost(effect, owner):
    """Return objections if a packet did not come to its flow's target."""
    if get_target(effect) != owner:
        return [f'data of a flow on {owner.name} did not get there']
    return []


def play_late_syn_ack():
    """A copy was placed by another instance, and routers change again."""
    first, _, late_cookie = split_flow()
    found = []
    for desk in (first, start_desk()):
        effect = send(desk, late_cookie, FIRST_BYTES, size=50)
        found += find_misled(effect, SEARCH[1])
    return found


def play_late_syn_ack_of_moved_copy():
    """An instance has moved the second copy, and routers change then."""
    desk = start_desk()
    first = desk.put(make_syn())
    desk.pass_time(0.2)
    desk.put(make_syn(1))
    desk.pass_time(0.4)
    second = desk.put(make_syn(2))
    owner = establish(desk, second.cookie)
    assert owner == second.target != first.target
    effect = send(start_desk(), first.cookie, FIRST_BYTES, size=50)
    return find_misled(effect, owner)


def play_owner_reported():
    """The instance that saw the flow open ends before routers change."""
    first, second, late_cookie = split_flow()
    exchange(second, first)
    effect = send(first, late_cookie, FIRST_BYTES, size=50)
    return find_lost(effect, SEARCH[1])


def play_owner_reported_before_first_answer():
    """Routers change while the flow's first request is unanswered."""
    first, second, late_cookie = split_flow()
    exchange(second, first)
    effect = send(first, late_cookie, size=FIRST_BYTES)
    return find_lost(effect, SEARCH[1])


def play_owner_asked():
    """The report on a flow does not reach an instance that has just started."""
    first, second, late_cookie = split_flow()
    exchange(second, first)
    young = start_desk()
    found = find_misled(
        send(young, late_cookie, FIRST_BYTES, size=50), SEARCH[1]
    )
    exchange(young, first)
    effect = send(young, late_cookie, FIRST_BYTES, size=50)
    return found + find_lost(effect, SEARCH[1])


def play_first_target_accepted():
    """The SYN+ACK of the first target was late, and that of the copy is."""
    first, second = start_desk(), start_desk()
    cookie = open_on(first, SEARCH[0])
    second.pass_time(0.2)
    late_cookie = open_on(second, SEARCH[1], copy=1)
    assert establish(second, cookie) == SEARCH[0]
    exchange(second, first)
    effect = send(first, late_cookie, FIRST_BYTES, size=50)
    return find_lost(effect, SEARCH[0])


def play_misled_packet_reported():
    """A copy is placed after the flow was opened through another instance."""
    first, second = start_desk(), start_desk()
    assert establish(first, open_on(first, SEARCH[0])) == SEARCH[0]
    late_cookie = open_on(second, SEARCH[1], copy=1)
    send(first, late_cookie, FIRST_BYTES, size=50)
    exchange(first, second)
    effect = send(second, late_cookie, FIRST_BYTES + 50, size=50)
    return find_lost(effect, SEARCH[0])


def play_misled_after_pause():
    """A caller has been idle for longer than its flow counts as active."""
    desk = start_desk()
    assert establish(desk, open_on(desk, SEARCH[0])) == SEARCH[0]
    late_cookie = open_on(start_desk(), SEARCH[1], copy=1)
    desk.pass_time(8)
    desk.confirm()
    effect = send(desk, late_cookie, FIRST_BYTES, size=50)
    return find_lost(effect, SEARCH[0])


def play_key_used_again():
    """A caller opens a flow from the port of one whose owner was reported."""
    first, second, _ = split_flow()
    exchange(second, first)
    syn_seq = 5000
    other = start_desk(SEARCH[3])
    effect = other.put(make_syn(seq=syn_seq))
    effect = send(first, effect.cookie, syn_seq=syn_seq)
    return find_lost(effect, SEARCH[3])


def play_request_of_two_packets():
    """A first request has two packets, both with the SYN+ACK's cookie."""
    desk = start_desk()
    cookie = desk.put(make_syn()).cookie
    owner = establish(desk, cookie)
    effect = send(desk, cookie, FIRST_BYTES, size=50)
    messages = desk.engine.lookup.owners.take_message(desk.now)
    found = [] if messages == ([], []) else [f'{messages} for a plain flow']
    return found + find_lost(effect, owner)


def play_copy_after_acknowledgement():
    """Copies of a SYN are handled after its flow was opened."""
    found = []
    for seed in range(50):
        desk = start_desk(seed=seed)
        owner = establish(desk, desk.put(make_syn()).cookie)
        for copy in (1, 2):
            effect = desk.put(make_syn(copy))
            if get_target(effect) not in {None, owner}:
                found.append('a copy went to a second target')
        effect = send(desk, owner.cookie, FIRST_BYTES, size=50)
        found += find_lost(effect, owner)
    return found


def play_syn_after_report():
    """A SYN has waited in an instance that stood still."""
    first, second = start_desk(), start_desk()
    assert establish(second, open_on(second, SEARCH[1], copy=1)) == SEARCH[1]
    exchange(second, first)
    if get_target(first.put(make_syn())) is not None:
        return ['a SYN of an open flow went to a second target']
    return []


def play_port_used_again():
    """A caller that has crashed opens a flow from the port of an open one."""
    desk = start_desk()
    establish(desk, desk.put(make_syn()).cookie)
    found = []
    for seq in range(1, 21):
        desk.pass_time(1)
        desk.confirm()
        effect = desk.put(make_syn(seq=seq))
        owner = get_target(effect)
        if get_target(desk.put(make_syn(1, seq))) != owner:
            found.append('the copy of a SYN went to a second target')
        send(desk, effect.cookie, syn_seq=seq)
        effect = send(desk, effect.cookie, size=FIRST_BYTES, syn_seq=seq)
        found += find_lost(effect, owner)
    return found


def play_report_hosts():
    """Reports leave a small zone, and go to the hubs of a large one."""
    found = []
    for size, near, far in ((3, 2, 1), (20, 2, 0)):
        own = InstanceIdentity('n0', 'a', '10.0.0.0')
        neighbours = Neighbours(own, (), random.Random(1))
        for number in range(1, size):
            neighbours.record_beat(make_beat(number), 1)
        far_hub = Beat('m1', 'b', '10.0.1.1', 1, hub=True)
        neighbours.record_beat(far_hub, 1)
        neighbours.expire(1)
        hosts, far_hosts = neighbours.list_owner_report_hosts()
        if (len(hosts), len(far_hosts)) != (near, far):
            found.append(f'{size} instances: {hosts}, {far_hosts}')
    return found


def make_beat(number, **fields):
    """Make the beat of an instance of the zone, of this version."""
    values = {'handshake_cookies': True, **fields}
    return Beat(f'n{number}', 'a', f'10.0.0.{number}', 1, **values)


def play_earlier_version():
    """An instance of an earlier version joins the zone, and leaves it."""
    own = InstanceIdentity('n0', 'a', '10.0.0.0')
    heard = []
    for beat in (
        make_beat(1, handshake_cookies=False),
        make_beat(1),
        make_beat(2, hub=True, plain_cookies=True),
        make_beat(2, hub=True),
    ):
        neighbours = Neighbours(own, (), random.Random(1))
        neighbours.record_beat(make_beat(3), 1)
        neighbours.record_beat(beat, 1)
        heard.append(
            (neighbours.hears_earlier_version, neighbours.needs_plain_cookies)
        )
    expected = [(True, True), (False, False), (False, True), (False, False)]
    desk = start_desk()
    desk.engine.plain_cookies = True
    effect = desk.put(make_syn())
    found = [] if heard == expected else [f'heard {heard}']
    if effect.cookie != effect.target.cookie:
        found.append('an earlier version cannot read the cookie of a SYN')
    return found


def play_zones_of_split_flows():
    """Instances restart in turn or stand still, and SYN+ACKs are lost."""
    found = []
    for seed in SEEDS:
        freeze_s = 0.7 if seed % 2 else 0
        world = World(seed, Chances(freeze_s=freeze_s)).play(PLAY_S)
        found += [f'seed {seed}: {text}' for text in world.breaks]
        lost = world.counts['not answered']
        if lost:
            found.append(f'seed {seed}: {lost} requests were not answered')
    return found
