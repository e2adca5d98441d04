"""Steps of soaks of forwarded flows."""

import tempfile
from types import SimpleNamespace

from behave import then, when

from features.proofs import soak, soak_checks

LATE_S = 60


@when('seed {seed:d} is soaked')
def soak_seed(context, seed):
    with tempfile.TemporaryDirectory() as folder:
        _, context.tape = soak.run_seed(seed, folder)


@then('no promise was broken and requests are served again')
def check_soaked(context):
    assert not context.tape.found, context.tape.found
    assert context.tape.outcomes['served'], context.tape.outcomes


def make_target(**changes):
    found = {
        'number': 1,
        'service': 'search',
        'zone': 'a',
        'alive': True,
        'draining_since': None,
        'flows': {},
        'via': 'h',
    }
    return SimpleNamespace(**{**found, **changes})


def make_flow(key, state):
    return SimpleNamespace(
        key=key, state=state, sender='h', request=1, began_at=0
    )


def plant_foreign(tape, key):
    tape.note_packet(make_target(service='archive'), key, b'')


def plant_two_targets(tape, key):
    for number in (1, 2):
        tape.note_packet(make_target(number=number), key, b'1 once')


def plant_late_opening(tape, key):
    tape.note_open(make_target(draining_since=0), key, LATE_S)


def plant_reset(tape, key):
    target = make_target(flows={key: SimpleNamespace(opened=True)})
    tape.note_open(target, key, 0)
    tape.note_reset(make_flow(key, 'open'), 1)


def plant_second_run(tape, key):
    for _ in range(2):
        tape.note_run(make_target(), key, b'1 once')


def plant_reset_run(tape, key):
    tape.note_run(make_target(), key, b'1 ')
    tape.note_reset(make_flow(key, 'opening'), 1)


def plant_reversion(tape, key):
    tape.versions += [(0, False), (1, True)]
    for now, present in ((2, True), (3, False)):
        tape.note_probe('h', present, now)


def plant_late_version(tape, key):
    tape.versions += [(0, False), (1, True)]
    tape.note_probe('h', False, LATE_S)


def plant_cut(tape, key):
    tape.lone_until = LATE_S
    tape.note_cut(make_flow(key, 'open'), True, 'late', 1)


PLANTED = (
    plant_foreign,
    plant_two_targets,
    plant_late_opening,
    plant_reset,
    plant_second_run,
    plant_reset_run,
    plant_reversion,
    plant_late_version,
    plant_cut,
)


@then('each planted violation is reported once')
def check_planted(context):
    for plant in PLANTED:
        tape = soak_checks.Tape(1, {'h': 'a'})
        plant(tape, (1, 2, 3, 443))
        assert len(tape.found) == 1, (plant, tape.found)


@then('a probe that was sent before a refusal is no violation')
def check_held_up(context):
    context.tape = soak_checks.Tape(0, {})
    context.tape.versions += [(0, True), (5, False)]
    context.tape.note_probe('h', False, 6)
    context.tape.note_probe('h', True, 6.05, 5.8)
    assert not context.tape.found, context.tape.found


@then('one that was sent after it is')
def check_reverted(context):
    context.tape.note_probe('h', True, 6.2, 6.1)
    assert len(context.tape.found) == 1
