"""Steps about the way of a configuration to every entry instance."""

import random
from dataclasses import replace

from behave import given, then, when

from cornelgap.core.control import ControlView, Instance, PeerRevision
from cornelgap.core.stamps import Stamp
from cornelgap.decisions.fanout import is_watcher
from cornelgap.decisions.membership import Membership
from cornelgap.entry.distribution import (
    CloseWatch,
    Distribution,
    FetchPeer,
    OpenWatch,
    ReadPlatform,
)
from features.proofs.hand import Desk, make_cfg

TICK_S = 0.1


class Driver:
    """One distribution with a clock that a scenario moves."""

    def __init__(self, rng, own='e0', seeds=()):
        self.dist = Distribution.from_settings(own, 'z0', rng, seeds)
        self.now = 0
        self.adopted = []
        self.actions = []
        self.signs = 0

    def step(self, seconds=0):
        self.now += seconds
        payload = self.dist.take_ripe(self.now)
        if payload is not None:
            self.adopted.append(payload)
        new = self.dist.decide(self.now)
        self.actions += new
        return new

    def view(self, newer_peers=(), live=None):
        self.dist.note_view(
            self.now,
            ControlView(
                stamp=self.dist.stamp,
                newer_peers=tuple(newer_peers),
                outdated_cfg_hints=self.signs,
                live=live,
            ),
        )

    def count(self, kind):
        return sum(isinstance(action, kind) for action in self.actions)

    def await_action(self, kind, within):
        passed = 0
        while passed <= within:
            for action in self.step(TICK_S):
                if isinstance(action, kind):
                    return action
            passed += TICK_S
        raise AssertionError(f'no {kind.__name__} within {within} s')


def make_peers(names, zone='z9'):
    return tuple(
        Instance(name, zone, '', f'{name}:1') for name in names.split(',')
    )


def start_warm(context, live):
    context.driver = Driver(context.rng)
    context.driver.step()
    context.driver.dist.note_read(0, Stamp(1, 7), 7)
    context.driver.step()
    assert context.driver.adopted == [7]
    context.driver.view(live=live)
    context.driver.step()
    context.driver.actions.clear()


@given('a distribution with revision {revision:d} in force')
def make_warm(context, revision):
    start_warm(context, make_peers('e1,e2'))


@given('a distribution with revision {revision:d} in force that watches')
def make_watching(context, revision):
    start_warm(context, ())


@given('a cold distribution with peers "{names}"')
def make_cold(context, names):
    context.driver = Driver(context.rng)
    context.driver.view(live=make_peers(names))
    context.driver.step()


@given('a cold distribution with the seed "{api}"')
def make_seeded(context, api):
    context.driver = Driver(context.rng, seeds=[api])
    context.driver.step()


@given('the distribution\'s live peers are "{names}"')
def set_live(context, names):
    context.driver.view(live=make_peers(names))


@when("the distribution's read gives revision {revision:d}")
def give_read(context, revision):
    driver = context.driver
    driver.dist.note_read(driver.now, Stamp(1, revision), revision)
    driver.step()


@when("the distribution's read gives revision {revision:d} of era {era:d}")
def give_era(context, revision, era):
    driver = context.driver
    driver.dist.note_read(driver.now, Stamp(era, revision), revision)
    driver.step()


@when("the distribution's read fails")
def fail_read(context):
    context.driver.dist.note_read(context.driver.now, None)
    context.driver.step()


@when('the distribution\'s peer "{name}" gives revision {revision:d}')
def give_fetch(context, name, revision):
    driver = context.driver
    stamp = Stamp(1, revision)
    driver.dist.note_fetched(driver.now, name, stamp, revision)
    driver.step()


@when('the distribution\'s peer "{name}" gives nothing')
def fail_fetch(context, name):
    context.driver.dist.note_fetched(context.driver.now, name, None)
    context.driver.step()


@when('the distribution hears that "{names}" has revision {revision:d}')
def hear_revision(context, names, revision):
    newer_peers = [
        PeerRevision(name, f'{name}:1', Stamp(1, revision))
        for name in names.split(',')
    ]
    context.driver.view(newer_peers)


@when("the distribution's watch shows revision {revision:d}")
def show_root(context, revision):
    context.driver.dist.note_watch_item(context.driver.now, Stamp(1, revision))
    context.driver.step()
    assert context.driver.count(ReadPlatform) == 1


@when("the distribution's watch ends at once {count:d} times")
def end_watches(context, count):
    driver = context.driver
    for _ in range(count):
        driver.dist.note_watch_ended(driver.now, 0.01)
        driver.await_action(OpenWatch, 20)


@when("the distribution's reads fail for {seconds:d} s")
def fail_reads(context, seconds):
    driver = context.driver
    driver.dist.note_read(0, None)
    while driver.now < seconds:
        for action in driver.step(TICK_S):
            if isinstance(action, ReadPlatform):
                driver.dist.note_read(driver.now, None)


@when('the distribution sees {count:d} sign of being behind')
def see_sign(context, count):
    context.driver.signs += count
    context.driver.view()


@when('the distribution sees {count:d} signs of being behind in 10 s')
def see_signs(context, count):
    driver = context.driver
    for _ in range(count):
        driver.signs += 1
        driver.view()
        for action in driver.step(10 / count):
            if isinstance(action, ReadPlatform):
                driver.dist.note_read(driver.now, Stamp(1, 7), 7)


@then('the distribution adopts nothing more and stays at {revision:d}')
def check_stays(context, revision):
    context.driver.step(5)
    assert context.driver.adopted == [revision]
    assert context.driver.dist.stamp.revision == revision


@then('the distribution stays at revision {revision:d} of era {era:d}')
def check_era(context, revision, era):
    context.driver.step(5)
    assert context.driver.adopted[-1] == revision
    assert context.driver.dist.stamp == Stamp(era, revision)


@then('the distribution adopts nothing yet')
def check_nothing(context):
    context.driver.step()
    assert not context.driver.adopted


@then('the distribution adopts revision {revision:d}')
def check_adopted(context, revision):
    context.driver.step()
    assert context.driver.adopted[-1] == revision


@then('the distribution adopts revision {revision:d} after {seconds:g} s')
def check_adopted_late(context, revision, seconds):
    assert not context.driver.adopted
    context.driver.step(seconds)
    assert context.driver.adopted == [revision]


@then('the distribution fetches from "{name}"')
def check_fetch(context, name):
    context.driver.step()
    assert any(
        isinstance(action, FetchPeer) and action.name == name
        for action in context.driver.actions
    ), context.driver.actions


@then('the distribution fetches from "{name}" within {seconds:d} s')
def check_next_fetch(context, name, seconds):
    assert context.driver.await_action(FetchPeer, seconds).name == name


@then('the distribution reads again within {seconds:d} s')
def check_read(context, seconds):
    context.driver.await_action(ReadPlatform, seconds)


@then('the distribution waited at least {seconds:d} s in all to open them')
def check_waited(context, seconds):
    assert context.driver.now >= seconds, context.driver.now


@then('the distribution read at most {most:d} times')
def check_reads(context, most):
    count = context.driver.count(ReadPlatform)
    assert 1 <= count <= most, count


def find_watchers(context):
    return {
        zone: {
            entry.name
            for entry in context.entries
            if entry.zone == zone
            and is_watcher(
                entry.name,
                zone,
                [item for item in context.entries if item is not entry],
            )
        }
        for zone in {entry.zone for entry in context.entries}
    }


def list_fleet(count, zones):
    return [
        Instance(f'e{i}', f'z{i % zones}', f'h:{i}', f'e{i}:1')
        for i in range(count)
    ]


@given('{count:d} entries in {zones:d} zones')
def make_entries(context, count, zones):
    context.entries = list_fleet(count, zones)


@when('one watcher of each zone is lost')
def lose_watchers(context):
    context.before = find_watchers(context)
    lost = {min(names) for names in context.before.values()}
    context.entries = [e for e in context.entries if e.name not in lost]


@then('{count:d} distributions in each zone watch')
def check_watchers(context, count):
    for names in find_watchers(context).values():
        assert len(names) == count


@then('at most one distribution in each zone changed')
def check_changed(context):
    for zone, names in find_watchers(context).items():
        assert len(names - context.before[zone]) <= 1


class Fleet:
    """Many distributions with memberships, a store and a cuttable net."""

    def __init__(self, rng, entries):
        self.entries = {entry.name: entry for entry in entries}
        self.rng = rng
        self.now = 0
        self.published = Stamp(1, 7)
        self.reads = 0
        self.cut = None
        self.watches = set()
        self.went_back = False
        self.members = {}
        self.drivers = {}
        for entry in entries:
            seed = random.Random(rng.random())
            members = Membership.from_settings(entry.name, entry.zone, seed)
            members.update_from_list(0, entries)
            self.members[entry.name] = members
            driver = Driver(seed, entry.name)
            driver.dist.zone = entry.zone
            self.drivers[entry.name] = driver

    def can_talk(self, one, other):
        zones = {self.entries[one].zone, self.entries[other].zone}
        return self.cut not in zones or len(zones) == 1

    def has_platform(self, name):
        return self.entries[name].zone != self.cut

    def run_turn(self):
        self.now = round(self.now + 0.02, 4)
        for name in self.entries:
            self.ping(name)
            driver = self.drivers[name]
            if round(self.now * 50) % 5 == 0:
                self.decide(name, driver)

    def ping(self, name):
        for peer in self.members[name].choose_pings(self.now):
            if self.can_talk(name, peer):
                self.tell(name, peer)
                self.tell(peer, name)

    def tell(self, sender, receiver):
        self.members[receiver].record_datagram(
            self.now,
            sender,
            1,
            self.drivers[sender].dist.stamp,
            False,
            f'{sender}:1',
        )

    def decide(self, name, driver):
        driver.now = self.now
        members = self.members[name]
        stamp = driver.dist.stamp
        live = members.list_live_instances(self.now)
        driver.view(members.list_newer_peers(stamp), tuple(live))
        for action in driver.step():
            self.carry_out(name, driver, action)
        driver.step()
        if driver.dist.stamp != stamp:
            self.went_back |= driver.dist.stamp < stamp
            members.record_adoption(self.now, driver.dist.stamp)

    def carry_out(self, name, driver, action):
        dist = driver.dist
        reachable = self.has_platform(name)
        if isinstance(action, ReadPlatform):
            self.reads += 1
            found = self.published if reachable else None
            dist.note_read(self.now, found, found)
        elif isinstance(action, FetchPeer):
            found = None
            if self.can_talk(name, action.name):
                found = self.drivers[action.name].dist.stamp
            dist.note_fetched(self.now, action.name, found, found)
        elif isinstance(action, OpenWatch) and reachable:
            self.watches.add(name)
        elif isinstance(action, OpenWatch):
            dist.note_watch_ended(self.now, 0.01)
        elif isinstance(action, CloseWatch):
            self.watches.discard(name)

    def publish(self, revision, era=1):
        self.published = Stamp(era, revision)
        self.reads = 0
        for name in sorted(self.watches):
            if self.has_platform(name):
                self.drivers[name].dist.note_watch_item(
                    self.now, self.published
                )

    def await_revision(self, revision, within, names):
        self.await_stamp(Stamp(1, revision), within, names)

    def await_stamp(self, stamp, within, names):
        until = self.now + within
        while self.now < until:
            self.run_turn()
            if all(self.drivers[name].dist.stamp == stamp for name in names):
                return
        raise AssertionError(
            {name: self.drivers[name].dist.stamp for name in names}
        )


@given('a distribution fleet of {count:d} entries in {zones:d} zones')
def make_fleet(context, count, zones):
    context.fleet = Fleet(context.rng, list_fleet(count, zones))
    context.fleet.await_revision(7, 5, context.fleet.entries)
    for _ in range(150):
        context.fleet.run_turn()


@when('revision {revision:d} is published to the distribution fleet')
def publish_fleet(context, revision):
    context.fleet.publish(revision)


@when(
    "the distribution fleet's platform loses and reissues revision {revision:d}"
)
def restore_fleet(context, revision):
    context.fleet.publish(revision, era=2)


@then('the whole distribution fleet has era {era:d} within {seconds:d} s')
def check_fleet_era(context, era, seconds):
    fleet = context.fleet
    fleet.await_stamp(Stamp(era, 8), seconds, fleet.entries)


@then(
    'the distribution fleet outside "{zone}" has era {era:d} within'
    ' {seconds:d} s'
)
def check_era_outside(context, zone, era, seconds):
    names = [e.name for e in context.fleet.entries.values() if e.zone != zone]
    context.fleet.await_stamp(Stamp(era, 8), seconds, names)


@when('zone "{zone}" of the distribution fleet is cut off')
def cut_zone(context, zone):
    context.fleet.cut = zone


@when('zone "{zone}" of the distribution fleet is joined again')
def join_zone(context, zone):
    context.fleet.cut = None


@then(
    'the whole distribution fleet has revision {revision:d} within'
    ' {seconds:d} s'
)
def check_fleet(context, revision, seconds):
    context.fleet.await_revision(revision, seconds, context.fleet.entries)


@then(
    'the distribution fleet outside "{zone}" has revision {revision:d} within'
    ' {seconds:d} s'
)
def check_fleet_outside(context, zone, revision, seconds):
    names = [e.name for e in context.fleet.entries.values() if e.zone != zone]
    context.fleet.await_revision(revision, seconds, names)


@then('zone "{zone}" of the distribution fleet still has revision {rev:d}')
def check_cut_zone(context, zone, rev):
    for entry in context.fleet.entries.values():
        if entry.zone == zone:
            assert context.fleet.drivers[entry.name].dist.stamp.revision == rev


@then("the platform's root was read at most {most:d} times for it")
def check_root_reads(context, most):
    assert 1 <= context.fleet.reads <= most, context.fleet.reads


@then('no entry of the distribution fleet went back')
def check_no_reverting(context):
    assert not context.fleet.went_back


@given('an engine with revision {revision:d} of era {era:d} in force')
def make_engine(context, revision, era):
    context.desk = Desk()
    context.desk.start_entry('e1', replace(make_cfg(revision), era=era))


@when('the engine is given revision {revision:d} of era {era:d}')
def give_engine(context, revision, era):
    context.desk.adopt('e1', replace(make_cfg(revision), era=era))


@then('the engine has revision {revision:d} of era {era:d} in force')
def check_engine(context, revision, era):
    found = context.desk.engines['e1'].state.cfg.stamp
    assert found == Stamp(era, revision), found
