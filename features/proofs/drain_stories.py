"""Stories of availability zones that operators drain and take back.

Each returns the violations that it saw, so that the same story is played
with its guard and without it.
"""

from msgspec.structs import replace

from cornelgap.forwarding import peer_messages as peers
from cornelgap.forwarding.directory import Directory
from cornelgap.forwarding.news import update_from_beat
from features.proofs.forwarding_desk import (
    Desk,
    get_target,
    got_reset,
    make_route,
    make_target,
)
from features.proofs.zone_stories import carry_flows, repeat_twice

NEAR = tuple(make_target(number) for number in range(1, 5))
FAR = tuple(make_target(number, zone='b') for number in range(5, 9))
KEY = b'k' * 32


def start_desk():
    """Start an engine of zone a, with four targets there and four in b."""
    desk = Desk()
    desk.set_routes(make_route('search'))
    desk.set_targets(*NEAR, *FAR)
    return desk


def find_flows_in(zone, targets):
    """Return an objection for each flow that was opened in a zone."""
    return [
        f'{target.name} of a drained zone got a flow'
        for target in targets
        if target is not None and target.zone == zone
    ]


def play_drained_zone():
    """The own zone is drained; its flows stay, new ones go elsewhere."""
    desk = start_desk()
    held = desk.open(40001)
    desk.send(40001, held, ack=1)
    desk.drain_zones('a')
    opened = [desk.open(caller) for caller in range(50000, 50020)]
    found = find_flows_in('a', opened)
    if None in opened:
        found.append('an opening is refused though another zone has room')
    if get_target(desk.send(40001, held, ack=1, size=10)) != held:
        found.append('an open flow has left its target')
    return found


def play_drained_copy():
    """A zone is drained between a SYN and its copies."""
    found = []
    for wait in (0.01, 0.2, 0.6):
        desk = start_desk()
        desk.open(40001)
        desk.drain_zones('a')
        desk.pass_time(wait)
        copies = [desk.open(40001, copy=copy) for copy in (1, 2)]
        found += find_flows_in('a', copies)
    return found


def play_drained_probe():
    """A zone that is cut off, and due for a probe, is drained."""
    desk = start_desk()
    flows = carry_flows(desk, FAR)
    desk.pass_time(1)
    repeat_twice(desk, flows, list(flows)[:2])
    desk.drain_zones('b')
    opened = []
    for caller in range(50000, 50040):
        desk.pass_time(0.1)
        opened.append(desk.open(caller))
    return find_flows_in('b', opened)


def play_drained_last():
    """The only targets that are left are draining, lapsed or in the zone."""
    desk = start_desk()
    desk.drain_zones('a')
    desk.set_targets(*NEAR)
    return find_flows_in('a', [desk.open(40001)])


def play_drained_lapse():
    """Registrations of a drained zone lapse while the store is away."""
    desk = start_desk()
    desk.drain_zones('a')
    desk.pass_time(6)
    desk.set_targets()
    opened = [desk.open(caller) for caller in range(50000, 50020)]
    found = find_flows_in('a', opened)
    if not any(opened):
        found.append('registrations of the other zone are not waited for')
    return found


def play_drained_all():
    """All zones are drained; callers are told so at once."""
    desk = start_desk()
    desk.drain_zones('a', 'b')
    found = []
    for seconds in (0, 10):
        desk.pass_time(seconds)
        if desk.open(40001 + seconds) is not None:
            found.append('a flow was opened')
        if not got_reset(desk.effects[-1]):
            found.append(f'a caller waits, {seconds} s after the last news')
    return found


def play_drained_and_cut():
    """The own zone is drained, and then cut off from the other one."""
    desk = start_desk()
    flows = carry_flows(desk, FAR)
    desk.drain_zones('a')
    desk.pass_time(4)
    repeat_twice(desk, flows, list(flows)[:3])
    opened = [desk.open(caller) for caller in range(50000, 50020)]
    found = find_flows_in('a', opened)
    waiting = sum(target is not None for target in opened)
    if waiting > 1:
        found.append(f'{waiting} callers wait for targets beyond the cut')
    return found


def play_drained_again():
    """An order is taken back and given again; older news comes late."""
    desk = start_desk()
    desk.drain_zones('a')
    old = desk.revision
    desk.drain_zones()
    found = []
    desk.drain_zones('a', revision=old)
    if desk.engine.view.drained_zones:
        found.append('an order that was taken back holds again')
    desk.drain_zones('a')
    desk.drain_zones(revision=old)
    opened = [desk.open(caller) for caller in range(50000, 50020)]
    return found + find_flows_in('a', opened)


def play_drained_beat():
    """An instance that lost the store hears of an order from another."""
    teller = start_desk()
    teller.drain_zones('a')
    desk = start_desk()
    directory = teller.directory
    beat = peers.Beat('n1', 'a', '10.0.0.1', 1)
    beat.drained_zones = sorted(directory.drained_zones)
    beat.drained_revision = directory.drained_stamp.revision
    read = peers.decode_beat(peers.encode_beat(beat, KEY), KEY)
    update_from_beat(desk.directory, read, [], desk.now)
    desk.show()
    opened = [desk.open(caller) for caller in range(50000, 50020)]
    return find_flows_in('a', opened)


def play_drained_snapshot():
    """An instance that has just started knows facts from a snapshot only."""
    teller = start_desk()
    teller.drain_zones('a')
    raw = peers.encode_snapshot(teller.directory, teller.now, KEY)
    snapshot = peers.decode_snapshot(raw, teller.now, KEY)
    directory = Directory()
    directory.adopt_drained_zones(
        snapshot.drained_zones, snapshot.drained_stamp, teller.now
    )
    if directory.drained_zones != {'a'}:
        return ['a snapshot hides that a zone is drained']
    return []


def play_drained_target_changes():
    """A target of a drained zone writes its registration anew."""
    desk = start_desk()
    desk.drain_zones('a')
    desk.change(replace(NEAR[0], slots=4), make_target(9))
    opened = [desk.open(caller) for caller in range(50000, 50020)]
    return find_flows_in('a', opened)
