"""Steps about the verdict type."""

from behave import given, then

from cornelgap.core import verdicts


@given('a refusal with code "{code}" and {wait:d} ms to wait')
def build_refusal(context, code, wait):
    context.verdict = verdicts.refuse_not_run(code, retry_after_ms=wait)


@then('it says not run')
def check_not_run(context):
    assert context.verdict.ran is verdicts.RunState.NOT_RUN


@then('the same id may not be sent again')
def check_same_id(context):
    assert not context.verdict.same_id


@then('the caller is told to come back after {wait:d} ms')
def check_wait(context, wait):
    assert context.verdict.retry_after_ms == wait
