"""Steps on a store that comes back from a copy some seconds old."""

import logging

from behave import given, then, when

from cornelgap.forwarding import intake
from cornelgap.forwarding.facts import TargetsChanged
from features.proofs.restore_world import Reader, World, make_name


class Lines(logging.Handler):
    """Keeps log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)

    def pick(self, message):
        return [one for one in self.records if one.getMessage() == message]


def keep_lines(context):
    context.lines = Lines()
    log = logging.getLogger('cornelgap')
    level = log.level
    log.addHandler(context.lines)
    log.setLevel(logging.INFO)
    context.cleanups.append(lambda: log.setLevel(level))
    context.cleanups.append(lambda: log.removeHandler(context.lines))


@given('a store, and an instance that has read it')
def start(context):
    keep_lines(context)
    context.world = World(context.cleanups)
    context.reader = Reader(context.world)


@when('an older change of a target arrives')
def take_older(context):
    directory = context.reader.directory
    targets = directory.list_targets()
    target, revision = targets[make_name(1)]
    old = TargetsChanged(
        ((target.name, target, revision - 1),), revision - 1, 0
    )
    context.lines.records.clear()
    intake.take_changes(directory, old, context.reader.now)


@then('it is logged as refused, with both revisions, and not as taken')
def check_refused(context):
    (line,) = context.lines.pick('directory: fact refused as older')
    assert line.target == make_name(1)
    assert line.revision < line.known, (line.revision, line.known)
    assert not context.lines.pick('directory: target changed')


@when('the store comes back from a copy')
def restore(context):
    context.world.store.restore(context.world.store.copy())


@then("the instance's next list logs the era, and the one before")
def check_era(context):
    context.lines.records.clear()
    context.reader.read_all()
    (line,) = context.lines.pick('follower: store era')
    assert (line.before, line.era) == (1, 2), (line.before, line.era)
