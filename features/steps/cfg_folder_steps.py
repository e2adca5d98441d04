"""Steps about loading and merging a configuration folder."""

import tempfile
from pathlib import Path

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from cornelgap.cfg.comparison import list_changes
from cornelgap.cfg.folder import load_folder, merge_texts
from cornelgap.core.settings import Cfg, KeyCfg

SECRET = 'ab' * 32
RIGHT = {
    'service search': ['address = 10.0.0.1:9000'],
    'target t1': ['service = search', 'address = 10.1.0.1:7000', 'zone = a'],
    'target t2': ['zone = a'],
    'key 1': [f'secret = {SECRET}', 'stage = signing'],
    'key 2': [f'secret = {SECRET}'],
    'key 4': ['stage = published'],
}
FILLERS = {
    'target t2': ['service = search', 'address = 10.1.0.2:7000'],
    'key 2': ['stage = published'],
    'key 4': [f'secret = {SECRET}'],
}


def write_folder(context, files):
    """Write files by name into a folder that the scenario removes."""
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.folder = Path(folder.name)
    for name, text in files.items():
        (context.folder / name).write_text(text)
    return context.folder


@given('a cfg folder with these files')
def write_files(context):
    files = {
        row['file']: row['text'].replace('~', '\n') for row in context.table
    }
    write_folder(context, files)


@given('a cfg folder with the text "{text}"')
def write_text(context, text):
    write_folder(context, {'a.ini': text.replace('~', '\n')})


@given('a cfg folder that is right but for "{line}" in section "{section}"')
def write_fault(context, line, section):
    lines = {name: list(options) for name, options in RIGHT.items()}
    option = line.split(' =')[0]
    for name, options in FILLERS.items():
        lines[name] += [
            filler
            for filler in options
            if name != section or not filler.startswith(f'{option} =')
        ]
    lines.setdefault(section, []).append(line)
    text = '\n'.join(
        '\n'.join([f'[{name}]', *options]) for name, options in lines.items()
    )
    write_folder(context, {'a.ini': text})
    found = text.splitlines()
    context.fault_line = len(found) - found[::-1].index(line)


@given('a cfg folder whose key is one hex digit too long')
def write_long_secret(context):
    write_folder(
        context, {'a.ini': f'[key 1]\nsecret = {SECRET}a\nstage = signing\n'}
    )


@when('the cfg folder is loaded')
def load(context):
    context.cfg, context.findings, context.meta = load_folder(context.folder)


@when('an empty cfg folder is loaded')
def load_empty(context):
    write_folder(context, {})
    load(context)


@when('a cfg folder with a file of random bytes is loaded')
def load_bytes(context):
    folder = write_folder(context, {})
    (folder / 'a.ini').write_bytes(b'\xff\xfe\x00[')
    load(context)


@then('the cfg folder has no findings')
def check_clean(context):
    assert not context.findings, context.findings
    assert context.cfg is not None


@then(
    'cfg option "{option}" of "{section}" is "{value}" '
    'from "{file}" line {line:d}'
)
def check_winner(context, option, section, value, file, line):
    winner = context.meta.origins[(section, option)].winner
    assert (winner.value, winner.file, winner.line) == (value, file, line)


@then(
    'cfg option "{option}" of "{section}" overrode "{value}" '
    'from "{file}" line {line:d}'
)
def check_loser(context, option, section, value, file, line):
    (loser,) = context.meta.origins[(section, option)].overridden
    assert (loser.value, loser.file, loser.line) == (value, file, line)


@then('the cfg folder\'s only finding is "{code}" at "{section}" "{option}"')
def check_only(context, code, section, option):
    (finding,) = context.findings
    assert (finding.code, finding.section) == (code, section), finding
    assert finding.option == option, finding
    header = context.meta.headers[section][1]
    assert finding.line in {context.fault_line, header}, finding
    assert context.cfg is None


@then('the cfg folder\'s only finding is "{code}" at "{section}" ""')
def check_only_section(context, code, section):
    check_only(context, code, section, '')


@then('the cfg finding expects "{expected}" and suggests "{nearest}"')
def check_hint(context, expected, nearest):
    assert expected in context.findings[0].expected, context.findings[0]
    assert context.findings[0].nearest == nearest


@then('the cfg finding expects "{expected}" and suggests ""')
def check_hint_alone(context, expected):
    check_hint(context, expected, '')


@then('the cfg folder has a finding "{code}" at line {line:d}')
def check_line(context, code, line):
    places = [(finding.code, finding.line) for finding in context.findings]
    assert (code, line) in places, places


@then('the cfg folder\'s only finding code is "{code}"')
def check_code(context, code):
    assert [finding.code for finding in context.findings] == [code]


def merge_naively(texts):
    """Merge as the documentation says, a line at a time."""
    values = {}
    for _, text in texts:
        section = ''
        for line in text.splitlines():
            if line.startswith('['):
                section = line[1:-1]
            elif '=' in line and not line.startswith(('#', ';')):
                option, value = line.split('=', 1)
                values[section, option.strip().lower()] = value.strip()
    return values


NAMES = strategies.sampled_from(['a', 'b', 'C', 'deadline_ms'])
VALUES = strategies.text('ab=#;[] %', max_size=6)
OPTIONS = strategies.dictionaries(NAMES, VALUES, max_size=4).map(
    lambda found: [f'{name} = {value}' for name, value in found.items()]
)
NOISE = strategies.sampled_from([[], [''], ['# note = 1'], ['; [x]']])
SECTIONS = strategies.dictionaries(
    strategies.sampled_from(['service x', 'target y', 'key 1']),
    strategies.tuples(NOISE, OPTIONS, NOISE),
    max_size=3,
)
FILES = strategies.lists(SECTIONS, max_size=4)


@then('cfg merging equals a naive line-by-line merge for generated folders')
def check_merge(context):
    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @hypothesis_given(FILES)
    def compare(files):
        texts = [
            (f'{number}.ini', render_sections(sections))
            for number, sections in enumerate(files)
        ]
        meta, findings = merge_texts(texts)
        merged = {
            key: origin.winner.value for key, origin in meta.origins.items()
        }
        assert not findings, findings
        assert merged == merge_naively(texts)
        lines = {name: text.splitlines() for name, text in texts}
        for origin in meta.origins.values():
            for setting in (origin.winner, *origin.overridden):
                line = lines[setting.file][setting.line - 1]
                assert line.split('=')[0].strip().lower() == setting.option

    compare()


def render_sections(sections):
    lines = []
    for name, (before, options, after) in sections.items():
        lines += [f'[{name}]', *before, *options, *after]
    return '\n'.join(lines)


@then('no cfg finding holds the secret')
def check_secret_hidden(context):
    assert context.findings
    assert not any(SECRET in repr(item) for item in context.findings)


@then('no cfg change between two keys holds a secret')
def check_changes_hidden(context):
    old = Cfg(keys={1: KeyCfg(1, b'a' * 32)})
    new = Cfg(keys={1: KeyCfg(1, b'b' * 32)})
    (change,) = list_changes(old, new)
    assert change.before.startswith('fingerprint:')
    assert change.before != change.after
    for secret in (b'a' * 32, b'b' * 32):
        assert secret.hex() not in repr(change)
        assert repr(secret) not in repr(change)
