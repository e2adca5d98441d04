"""Steps about the membership view."""

import random
from dataclasses import replace

from behave import given, then, when

from cornelgap.core.control import Instance
from cornelgap.core.stamps import Stamp
from cornelgap.decisions.membership import Membership
from features.proofs.hand import Desk, make_cfg

BOOT = 7
NEW_BOOT = 8
TICK_S = 0.02
PING_BYTES = 110
"""A sealed ping with its UDP and IP headers, rounded up."""


def list_entries(count):
    return [
        Instance(f'e{i}', f'z{i % 3}', f'127.0.0.1:{1000 + i}', 'api')
        for i in range(count)
    ]


def hear(context, now, name, boot=BOOT, leaving=False):
    context.members.record_datagram(
        now, name, boot, Stamp(1, 3), leaving, 'api'
    )


@given('a membership of {count:d} entries, all heard at 0 s')
def make_members(context, count):
    context.members = Membership.from_settings('e0', 'z0', context.rng)
    context.entries = list_entries(count)
    context.members.update_from_list(0, context.entries)
    for entry in context.entries[1:]:
        hear(context, 0, entry.name)
    context.members.choose_pings(0)


def run_ticks(context, until, answers, sends=()):
    """Tick until a time; returns when "e2" or "e9" was first called lost."""
    now = 0
    lost_at = {}
    while now < until:
        now = round(now + TICK_S, 4)
        for name in sends:
            if now >= 1:
                context.members.record_probe(now, name)
        for name in context.members.choose_pings(now):
            if answers(now, name):
                hear(context, now, name)
        for name in ('e2', 'e9'):
            if context.members.is_lost(now, name, BOOT):
                lost_at.setdefault(name, now)
    context.now = now
    context.lost_at = lost_at


@when('entry "{name}" is silent and packets go to it from 1 s to 3 s')
def lose_entry(context, name):
    run_ticks(context, 3, lambda now, asked: asked != name or now < 1, [name])


@when('packets want to go to the unknown entry "{name}" from 1 s to 3 s')
def ask_unknown(context, name):
    run_ticks(context, 3, lambda now, asked: True, [name])


@when('entry "{name}" answers only the third ask after 1 s')
def answer_third(context, name):
    asked_at = []

    def answers(now, asked):
        if asked != name or now < 1:
            return True
        asked_at.append(now)
        return len(asked_at) >= 3

    run_ticks(context, 4, answers)
    assert len(asked_at) >= 3


@when("the membership's own process stands still from 1 s to 11 s after asking")
def stand_still(context):
    for step in range(4):
        for entry in context.entries[1:]:
            context.members.record_probe(0.1 + step * 0.3, entry.name)
        context.members.choose_pings(0.1 + step * 0.3)
    context.now = 11


@when('entry "{name}" is heard with another boot')
def hear_reboot(context, name):
    hear(context, 1, name, NEW_BOOT)
    context.now = 1.1


@when('a late datagram of the old boot of "{name}" arrives')
def hear_late(context, name):
    hear(context, 1.05, name, BOOT)


@when('the unlisted entry "{name}" is heard')
def hear_unlisted(context, name):
    hear(context, 1, name)
    context.now = 1.1


@when(
    'entry "{name}" says that it leaves and the stale list shows it as staying'
)
def leave(context, name):
    hear(context, 1, name, leaving=True)
    context.members.update_from_list(1.05, context.entries)
    context.now = 1.1


@when("the membership's own entry adopts revision {revision:d} at 0.1 s")
def adopt(context, revision):
    context.members.record_adoption(0.1, Stamp(1, revision))


@when("{count:d} of the membership's entries are silent until 30 s")
def lose_many(context, count):
    silent = {entry.name for entry in context.entries[-count:]}
    context.late_asked = set()

    def answers(now, name):
        if now > 20:
            context.late_asked.add(name)
        return name not in silent

    run_ticks(context, 30, answers)
    context.silent = silent


@then('the membership calls "{name}" lost between {first:g} s and {last:g} s')
def check_lost(context, name, first, last):
    assert first <= context.lost_at[name] <= last, context.lost_at


@then('the membership calls the other entries live')
def check_others(context):
    assert context.members.list_live(context.now) == ['e1', 'e3', 'e4', 'e5']


@then('the membership never called "{name}" lost')
def check_never_lost(context, name):
    assert name not in context.lost_at, context.lost_at


@when('entry "{name}" is heard with the boot that it had')
def hear_same(context, name):
    hear(context, 1.2, name, BOOT)


@when("one burst to all of the membership's entries is lost at {at:d} s")
def lose_burst(context, at):
    context.now = 0
    while context.now < at + 1.1:
        context.now = round(context.now + TICK_S, 4)
        for name in context.members.choose_pings(context.now):
            if context.now < at:
                hear(context, context.now, name)
        if context.now == at:
            for entry in context.entries[1:]:
                context.members.record_probe(context.now, entry.name)


@then('the membership calls nobody lost at {at:g} s')
def check_burst(context, at):
    for entry in context.entries[1:]:
        assert not context.members.is_lost(at, entry.name, BOOT)


@then('a token that names a new boot of "{name}" does not make it look lost')
def check_new_boot(context, name):
    for step in range(5):
        assert not context.members.is_lost(1 + step / 50, name, NEW_BOOT)


@then('the membership calls the new boot of "{name}" lost')
def check_new_boot_lost(context, name):
    assert context.members.is_lost(1.3, name, NEW_BOOT)


@then('the membership calls nobody lost on waking')
def check_nobody_lost(context):
    for moment in (context.now, context.now + TICK_S):
        for entry in context.entries[1:]:
            assert not context.members.is_lost(moment, entry.name, BOOT)
        context.members.choose_pings(moment)


@then('the membership calls the old boot of "{name}" lost and the new one live')
def check_boots(context, name):
    assert context.members.is_lost(context.now, name, BOOT)
    assert not context.members.is_lost(context.now, name, NEW_BOOT)


@then('the membership lists "{name}" as live')
def check_live(context, name):
    assert name in context.members.list_live(context.now)


@then('the membership does not list "{name}" as live')
def check_not_live(context, name):
    assert name not in context.members.list_live(context.now)


@then('the membership says that an address is missing')
def check_unknown(context):
    assert context.members.has_missing_address()


@then('the membership asks {count:d} peers at 0.12 s')
def check_news(context, count):
    assert len(context.members.choose_pings(0.12)) == count


@then('each other entry was asked by the membership after 20 s')
def check_asked(context):
    others = {entry.name for entry in context.entries[1:]} - context.silent
    assert others <= context.late_asked, others - context.late_asked


@given('a membership fleet of {size:d} entries that hear each other')
def make_fleet(context, size):
    entries = list_entries(size)
    context.fleet = {}
    for entry in entries:
        rng = random.Random(context.rng.random())
        members = Membership.from_settings(entry.name, entry.zone, rng)
        members.update_from_list(0, entries)
        context.fleet[entry.name] = members


@when('the membership fleet runs for {seconds:d} s')
def run_fleet(context, seconds):
    context.bytes = dict.fromkeys(context.fleet, 0)
    context.seconds = seconds
    context.heard = {name: set() for name in context.fleet}
    for tick in range(int(seconds / 0.1)):
        now = tick * 0.1
        for name, members in context.fleet.items():
            for peer in members.choose_pings(now):
                exchange(context, now, name, peer)


def exchange(context, now, name, peer):
    for sender, receiver in ((name, peer), (peer, name)):
        members = context.fleet[receiver]
        members.record_datagram(now, sender, BOOT, Stamp(1, 3), False, 'api')
        context.heard[receiver].add(sender)
        context.bytes[sender] += PING_BYTES
        context.bytes[receiver] += PING_BYTES


@then('each entry sent and received at most {most:d} control bytes a second')
def check_bytes(context, most):
    for name, count in context.bytes.items():
        assert count / context.seconds <= most, (name, count)


@then('each entry heard from at least {least:d} others')
def check_heard(context, least):
    for name, heard in context.heard.items():
        assert len(heard) >= least, (name, len(heard))


@given('a membership that knows nobody')
def make_lonely(context):
    context.members = Membership.from_settings('e0', 'z0', context.rng)
    context.members.choose_pings(0)


@when('a peer names {count:d} entries to the membership')
def name_entries(context, count):
    context.hints = list_entries(count + 1)[1:]
    context.members.add_peer_hints(0, context.hints)


@then('the membership asks these {count:d} entries')
def check_hinted_asked(context, count):
    asked = set()
    for tick in range(1, 100):
        asked.update(context.members.choose_pings(tick * TICK_S))
    assert asked == {hint.name for hint in context.hints}, asked
    assert len(asked) == count


@then('the membership takes none of them for live before it answers')
def check_none_live(context):
    assert context.members.list_live(0) == []


@when('a peer names "{name}" at another address to the membership')
def name_elsewhere(context, name):
    hint = Instance(name, 'z9', '127.0.0.1:9', 'elsewhere')
    context.members.add_peer_hints(1, [hint])


@then('the membership keeps the address of "{name}"')
def check_address(context, name):
    listed = {entry.name: entry.address for entry in context.entries}
    assert context.members.find_address(name) == listed[name]


@given(
    'an entry with revision {one:d} of era {before:d} and its peer with '
    '{other:d} of era {after:d}'
)
def start_two(context, one, before, other, after):
    context.desk = Desk()
    context.desk.start_entry('e1', replace(make_cfg(one), era=before))
    context.desk.start_entry('e2', replace(make_cfg(other), era=after))


@when("the membership's two entries have talked")
def let_talk(context):
    context.desk.pass_time(3)


@then('only the one of era 1 knows of a peer that is ahead')
def check_ahead(context):
    states = [engine.state for engine in context.desk.engines.values()]
    ahead = [
        [
            peer.name
            for peer in state.membership.list_newer_peers(state.cfg.stamp)
        ]
        for state in states
    ]
    assert ahead == [['e2'], []], ahead
