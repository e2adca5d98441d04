"""Steps on what an instance keeps and counts of its own way."""

from behave import given, then, when
from hypothesis import given as vary
from hypothesis import settings
from hypothesis import strategies as st

from cornelgap.decisions.path_loss import WINDOW_S, PathLoss

TARGETS = 16
QUIET = settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
EVENTS = st.lists(
    st.tuples(
        st.sampled_from(('repeat', 'answer')),
        st.integers(1, 3),
        st.sampled_from((0, 0.3, 0.7, 1.2)),
    ),
    max_size=20,
)
"""Tuples (what comes, its target, seconds since the one before)."""


class CountedKey(int):
    """Name of a target that counts how often it was looked up."""

    lookups = 0

    def __hash__(self):
        """Count one more look."""
        CountedKey.lookups += 1
        return super().__hash__()


def count_kept(path):
    """Return how many times and repeats are kept."""
    repeats = sum(map(len, path._open_repeats.values()))
    return len(path._requests) + len(path._lost) + repeats


@given('an instance to which {per_s:d} requests a second come')
def start_path(context, per_s):
    context.per_s = per_s
    context.path = PathLoss()
    context.now = 100.0


def send_requests(context, seconds, lost, answered):
    """Send requests evenly to all targets.

    :param lost: one of so many requests is repeated after 0.2 s, and one of
        so many repeats again.
    :param answered: whether targets answer.
    """
    path = context.path
    late_by = context.per_s // 5
    for number in range(seconds * context.per_s):
        context.now += 1 / context.per_s
        path.note_request(context.now)
        if number >= late_by and number % lost == 0:
            key = CountedKey((number - late_by) % TARGETS)
            again = number % (lost * lost) == 0
            path.note_repeat(key, context.now, again)
        if answered:
            key = CountedKey(number % TARGETS)
            path.note_answer(key, context.now, context.now)


@when('no target answers for {seconds:d} s')
def send_unanswered(context, seconds):
    send_requests(context, seconds, lost=1, answered=False)


@then('it keeps no more than {seconds:d} s of them')
def check_kept(context, seconds):
    kept = count_kept(context.path)
    # Requests and repeats; those of a target are dropped with its next one.
    assert kept <= 2 * seconds * context.per_s + TARGETS, kept


@when('one of {lost:d} is lost for {seconds:d} s')
def send_lossy(context, lost, seconds):
    CountedKey.lookups = 0
    context.sent = seconds * context.per_s
    send_requests(context, seconds, lost, answered=True)
    assert context.path.is_lossy(context.now)


@then('it looks at no more than {most:d} targets for each')
def check_lookups(context, most):
    looks = CountedKey.lookups / context.sent
    assert looks <= most, looks


def play_events(events):
    """Play events; return the time and the path after each answer."""
    path = PathLoss()
    now = 100.0
    for kind, key, wait in events:
        now += wait
        if kind == 'repeat':
            path.note_repeat(key, now)
        else:
            path.note_answer(key, now, now)
            yield now, path


@then('hypothesis finds no answer after which older repeats count')
def search_old_repeats(context):
    @QUIET
    @vary(EVENTS)
    def check(events):
        for now, path in play_events(events):
            assert all(now - at <= WINDOW_S for at, *_ in path._lost)

    check()
