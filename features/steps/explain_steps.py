"""Steps on the command that explains a failure from logs."""

import contextlib
import io
import tempfile
from pathlib import Path

from behave import given, then, when

from cornelgap.operators.main import run_command
from standins.object_store import RawJson, encode_content


def get_path(context, name):
    if not hasattr(context, 'log_folder'):
        folder = tempfile.TemporaryDirectory()
        context.cleanups.append(folder.cleanup)
        context.log_folder = Path(folder.name)
    return context.log_folder / f'{name}.log'


@given('the log of "{name}"')
def keep_log(context, name):
    get_path(context, name).write_text(context.text)


@given('the log of "{name}" with a value nested {depth:d} deep')
def keep_nested_log(context, name, depth):
    line = {
        'time': '2026-12-03 10:00:00,301',
        'message': 'forwarding: flow placed',
        'instance': name,
        'flow': '100.64.0.7:40001>198.18.0.1:443',
        'nested': RawJson('[' * depth + ']' * depth),
    }
    get_path(context, name).write_bytes(encode_content(line))


@when('"{subject}" is explained')
def explain(context, subject, more=()):
    paths = [*sorted(context.log_folder.iterdir()), *more]
    out, err = io.StringIO(), io.StringIO()
    args = ['explain', subject, *map(str, paths)]
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        context.exit_code = run_command(args)
    context.told = out.getvalue().splitlines()
    context.complaints = err.getvalue()


@when('"{subject}" is explained with the log of "{name}" as well')
def explain_more(context, subject, name):
    explain(context, subject, [get_path(context, name)])


@then('the explanation has the lines')
def check_lines(context):
    found = context.told[:-1]
    assert len(found) == len(context.table.rows), found
    for line, row in zip(found, context.table, strict=True):
        assert line.startswith(f'{row["time"]} {row["instance"]}  '), line
        assert row['text'] in line, line


@then('it ends with "{text}"')
def check_last(context, text):
    assert context.told[-1].startswith(f'last: {text}'), context.told[-1]


@then('half a line is reported with code "{code}" and its place "{place}"')
def check_complaint(context, code, place):
    assert code in context.complaints
    assert place in context.complaints


@then('the command fails with code "{code}"')
def check_failure(context, code):
    assert context.exit_code != 0
    assert code in context.complaints


@then('the explanation has {count:d} lines, and "{code}" names "{name}"')
def check_partial(context, count, code, name):
    assert len(context.told) == count + 1
    assert code in context.complaints
    assert name in context.complaints


@then('the explanation has {count:d} lines, and "{code}" names no log')
def check_whole(context, count, code):
    assert len(context.told) == count + 1, context.told
    assert code not in context.complaints
