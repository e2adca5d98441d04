"""Run formatter, linter and behave, and print one closing line.

Each check counts as one test beside behave's scenarios, so that a badly
formatted tree can never read as passed.  Scenarios that KNOWN-RED.txt
names may fail; they are printed, and any other failure is a red run.
"""

import json
import subprocess
import sys
import tempfile
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
_PLACES = ('cornelgap', 'standins', 'features', 'bench')
_MAX_KNOWN_RED = 3


def run_check(name, args):
    """Run one checking command and say whether it passed."""
    print(f'== {name}', flush=True)
    done = subprocess.run([sys.executable, '-m', *args], cwd=_ROOT)
    return done.returncode == 0


def load_known_red():
    """Load the scenario names that may fail, one `name | cause | issue` a line."""
    path = _ROOT / 'KNOWN-RED.txt'
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    return [line.split('|')[0].strip() for line in lines][:_MAX_KNOWN_RED]


def run_features(extra):
    """Run behave; return its exit code and every scenario's name and status."""
    print('== behave', flush=True)
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        args = ['-f', 'json', '-o', str(report), '-f', 'progress3', *extra]
        done = subprocess.run(
            [sys.executable, '-m', 'behave', *args], cwd=_ROOT
        )
        found = json.loads(report.read_text()) if report.exists() else []
    scenarios = [
        (item['name'], item.get('status', 'failed'))
        for feature in found
        for item in feature.get('elements', ())
        if item['type'] == 'scenario'
    ]
    return done.returncode, scenarios


def main():
    """Run everything and exit with 0 only when nothing unexpected failed."""
    checks = {
        'formatter': run_check(
            'formatter', ['ruff', 'format', '--check', *_PLACES]
        ),
        'imports': run_check('imports', ['ruff', 'check', *_PLACES]),
        'linter': run_check('linter', ['flake8', *_PLACES]),
    }
    code, scenarios = run_features(sys.argv[1:])
    known = load_known_red()
    red = [
        name
        for name, status in scenarios
        if status not in {'passed', 'skipped'}
    ]
    passed = sum(status == 'passed' for _, status in scenarios)
    failed = [name for name, good in checks.items() if not good]
    failed += [name for name in red if name not in known]
    if code != 0 and not red:
        failed.append('behave itself')
    for name in red:
        print(f'red: {name}' + (' (known)' if name in known else ''))
    passed += sum(checks.values())
    print(f'{passed} passed, {len(failed)} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
