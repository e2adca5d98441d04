"""Steps about when the platform's instance list is read."""

from behave import given, then, when

from cornelgap.decisions.polling import LIST_BYTES_PER_S, LIST_INTERVAL_S, Poll

TICK_S = 0.1


@given('a polling schedule of a list')
def make_poll(context):
    context.poll = Poll(context.rng, LIST_INTERVAL_S, LIST_BYTES_PER_S)
    context.calls = 0


def run_poll(context, seconds, answer, hasten=False):
    now = 0
    while now < seconds:
        now += TICK_S
        if hasten:
            context.poll.bring_forward(now)
        if context.poll.start_if_due(now):
            context.calls += 1
            answer(now)


@when('the polled list has {size:d} bytes each time for {seconds:d} s')
def poll_list(context, size, seconds):
    run_poll(
        context, seconds, lambda now: context.poll.record_success(now, size)
    )


@when(
    'the polled list has {size:d} bytes each time for {seconds:d} s and is'
    ' wanted every 0.1 s'
)
def poll_wanted(context, size, seconds):
    run_poll(
        context,
        seconds,
        lambda now: context.poll.record_success(now, size),
        hasten=True,
    )


@when('the polled list fails for {seconds:d} s')
def poll_failing(context, seconds):
    run_poll(context, seconds, context.poll.record_failure)


@when('the polled list does not answer for {seconds:d} s')
def poll_silent(context, seconds):
    run_poll(context, seconds, lambda now: None)


@then('the polling made between {least:d} and {most:d} calls')
def check_calls(context, least, most):
    assert least <= context.calls <= most, context.calls
