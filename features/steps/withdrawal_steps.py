"""Steps on zones that leave the rotation: decision, beats and readiness."""

import json

from behave import given, then, when
from hypothesis import given as vary
from hypothesis import settings
from hypothesis import strategies as st

from cornelgap.core.errors import CodedError
from cornelgap.decisions.withdrawal import (
    FLAP_WINDOW_S,
    MIN_WITHDRAWN_S,
    OpeningReport,
    Situation,
    Withdrawal,
)
from cornelgap.forwarding import peer_messages as peers
from cornelgap.platform.node import Node
from features.proofs.forwarding_desk import Desk, make_route, make_target

TICK_S = 0.25
KEY = b'key of a test fleet'
QUIET = settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)
FAR = frozenset(('a', 'c'))
DARK = OpeningReport(placed=1, unserved=20, served=2, beyond=frozenset('a'))
LIT = OpeningReport(placed=20)
zones = st.frozensets(st.sampled_from(('a', 'c')))
reports = st.builds(
    OpeningReport,
    placed=st.integers(0, 3),
    unserved=st.integers(0, 40),
    served=st.integers(0, 30),
    beyond=zones,
)
STRETCHES = st.lists(
    st.tuples(
        st.integers(1, 60),
        st.one_of(st.just([DARK] * 3), st.lists(reports, max_size=3)),
        st.one_of(st.just(FAR), zones),
        zones,
        st.frozensets(st.integers(0, 2), max_size=2),
    ),
    max_size=30,
)


def play(stretches):
    """Let a zone see one thing after the other.

    :param stretches: tuples (ticks, reports, others, zones heard, home).
    :returns: list of tuples (time, withdrawn, zones that serve meanwhile).
    """
    verdict = Withdrawal()
    now = 100.0
    heard_at = {}
    told = []
    for ticks, found, others, heard, home in stretches:
        for _ in range(ticks):
            now += TICK_S
            heard_at.update(dict.fromkeys(heard, now))
            named = {f'n{number}': one for number, one in enumerate(found)}
            situation = Situation(named, 3, dict(heard_at), others, home)
            verdict.decide(situation, now)
            told.append((now, verdict.withdrawn, verdict.beyond & others))
    return told


def list_changes(told):
    before = (0, False, frozenset())
    pairs = zip([before, *told], told, strict=False)
    return [after for first, after in pairs if first[1] != after[1]]


@then('hypothesis finds no sequence after which a zone is out and none serves')
def search_unserved(context):
    @QUIET
    @vary(STRETCHES)
    def check(stretches):
        told = play(stretches)
        assert all(serving for _, withdrawn, serving in told if withdrawn)

    check()


def play_worst():
    """Let the other zones be lost as soon as a dark zone is out."""
    verdict = Withdrawal()
    dark = {f'n{number}': DARK for number in range(3)}
    told = []
    for tick in range(round(5 * FLAP_WINDOW_S / TICK_S)):
        others = frozenset() if verdict.withdrawn else FAR
        now = 100 + tick * TICK_S
        verdict.decide(Situation(dark, 3, {}, others), now)
        told.append((now, verdict.withdrawn, others))
    return told


def check_minutes(changes, most):
    times = [at for at, _, _ in changes]
    for at in times:
        minute = [one for one in times if at <= one < at + FLAP_WINDOW_S]
        assert len(minute) <= most, minute


@then('hypothesis finds no minute with more than {most:d} changes')
def search_changes(context, most):
    @QUIET
    @vary(STRETCHES)
    def check(stretches):
        changes = list_changes(play(stretches))
        check_minutes(changes, most)
        for (out, _, _), (back, _, serving) in zip(
            changes[::2], changes[1::2], strict=False
        ):
            assert back - out >= MIN_WITHDRAWN_S or not serving

    check()
    check_minutes(list_changes(play_worst()), most)


@given('a zone of {count:d} instances that all report')
def make_zone(context, count):
    context.count = count


def decide(context, named):
    verdict = Withdrawal()
    situation = Situation(named, context.count, {}, FAR)
    for tick in range(20):
        verdict.decide(situation, 100 + tick * TICK_S)
    context.verdict = verdict


@when('{dark:d} of them can serve nobody and the others open flows')
def decide_with_others(context, dark):
    found = [DARK] * dark + [LIT] * (context.count - dark)
    decide(context, {f'n{at}': report for at, report in enumerate(found)})


@when('{dark:d} of them can serve nobody and no other instance reports')
def decide_alone(context, dark):
    decide(context, {f'n{at}': DARK for at in range(dark)})


@then('the zone stays in rotation')
def check_stays(context):
    assert not context.verdict.withdrawn, context.verdict.totals


@then('the zone leaves the rotation')
def check_leaves(context):
    assert context.verdict.withdrawn, context.verdict.totals


def make_directory():
    """Make a directory that a snapshot can be made of."""
    desk = Desk()
    desk.set_routes(make_route('search'))
    desk.set_targets(make_target(1))
    return desk.directory


def check_code(code, read, raw):
    try:
        read(raw)
    except CodedError as exc:
        assert str(exc.code) == code, exc
    else:
        raise AssertionError('it was taken')


@then('a beat with the {field} "{text}" is refused with "{code}"')
def check_refused(context, field, text, code):
    content = {'name': 'n1', 'zone': 'b', 'host': 'h', 'boot': 1}
    content[field] = json.loads(text)
    raw = peers.sign_message(json.dumps(content).encode(), KEY)
    check_code(code, lambda sealed: peers.decode_beat(sealed, KEY), raw)


@then('a beat with a withdrawal 1e{digits:d} ms ago is refused with "{code}"')
def check_age_refused(context, digits, code):
    check_refused(context, 'withdrawal', f'[1, 1{"0" * digits}, 0]', code)


@then('a snapshot with the withdrawal "{text}" is refused with "{code}"')
def check_snapshot_refused(context, text, code):
    raw = peers.encode_snapshot(
        make_directory(), 101, KEY, withdrawal=json.loads(text)
    )
    check_code(code, lambda told: peers.decode_snapshot(told, 101, KEY), raw)


@given('an instance that is ready')
def make_node(context):
    context.node = Node(settings=None, sock=None, path=None)
    context.node.complete.set()
    check_readiness(context, 200)


@when('its zone is withdrawn')
def withdraw(context):
    context.node.note_withdrawn(True)


@when('its zone is back')
def return_zone(context):
    context.node.note_withdrawn(False)


@then('its readiness answers {status:d}')
def check_readiness(context, status):
    assert context.node._make_ready()[0] == status
