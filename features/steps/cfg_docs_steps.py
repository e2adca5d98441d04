"""Steps that run what the pages say."""

import contextlib
import os
import re
import subprocess
import tempfile
from pathlib import Path

from behave import then, when

from bench import errors_page
from cornelgap.core.errors import Code
from cornelgap.core.meanings import MEANINGS
from cornelgap.entry.settings import load_settings
from cornelgap.entry.trust import load_trust
from cornelgap.kernel.credentials import MUTUAL
from cornelgap.operators.exits import Exit
from features.steps.cfg_operators_steps import run

DOCS = Path(__file__).resolve().parent.parent.parent / 'docs'
BLOCK = re.compile('^```sh\n(.*?)^```', re.MULTILINE | re.DOTALL)
SETTINGS = re.compile('^```ini\n(.*?)^```', re.MULTILINE | re.DOTALL)
# One command a line, or a here-document to its END.
COMMAND = re.compile(
    "^[^\n]*<<'END'\n.*?^END$|^[^\n]+$", re.MULTILINE | re.DOTALL
)
EXITS = re.compile(r' # exits with (\d)$')


@when('the command blocks of "{page}" are run in order')
def run_blocks(context, page):
    context.wrong = []
    context.count = 0
    text = (DOCS / page).read_text()
    with tempfile.TemporaryDirectory() as folder, contextlib.chdir(folder):
        for block in BLOCK.findall(text):
            for command in COMMAND.findall(block):
                run_line(context, command)


def run_line(context, command):
    """Run one command; note it if it ends otherwise than the page says."""
    found = EXITS.search(command)
    expected = int(found[1]) if found else 0
    command = EXITS.sub('', command)
    context.count += 1
    if command.startswith('export '):
        name, value = command.removeprefix('export ').split('=')
        if name != 'CORNELGAP_PLATFORM':
            context.env[name] = value
    elif command.startswith('cornelgap '):
        run(context, 'amal', command.removeprefix('cornelgap '))
        if context.code != expected:
            context.wrong.append((command, context.code, context.printed))
    else:
        done = subprocess.run(['bash', '-ec', command], env=os.environ)
        if done.returncode != expected:
            context.wrong.append((command, done.returncode, ''))


@then('every documented command ends as the page says')
def check_blocks(context):
    assert not context.wrong, context.wrong
    assert context.count > 25, context.count


@then('the settings shown in "{page}" load without an error')
def check_settings_shown(context, page):
    (text,) = SETTINGS.findall((DOCS / page).read_text())
    with tempfile.NamedTemporaryFile('w', suffix='.ini') as file:
        file.write(text)
        file.flush()
        settings, errors = load_settings(file.name)
    assert not errors, errors
    trust, errors = load_trust(settings.sections)
    assert not errors, errors
    assert trust.platform.mode == MUTUAL


@then('the page "{page}" is the one that the error catalogue gives')
def check_page(context, page):
    missing = [code.name for code in Code if code not in MEANINGS]
    assert not missing, f'cornelgap/core/meanings.py lacks {missing}'
    assert errors_page.PAGE.name == page
    assert errors_page.PAGE.read_text() == errors_page.build_page()


@then('every documented exit code is one of the cfg command')
def check_exits(context):
    introduction = errors_page.build_page().split('##')[0]
    told = {int(number) for number in re.findall(r'\b\d\b', introduction)}
    assert told == {int(code) for code in Exit}, told
