"""Write docs/ERRORS.md from the catalogue of error codes.

Run `python -m bench.errors_page`; a scenario checks that it was run.
"""

from pathlib import Path

from cornelgap.core.errors import Code
from cornelgap.core.meanings import MEANINGS

PAGE = Path(__file__).resolve().parent.parent / 'docs' / 'ERRORS.md'

_INTRODUCTION = """# Error codes

Codes are stable: logs, verdicts and commands bear them, and scripts may
branch on them. This page is written from `cornelgap/core/errors.py` and
`cornelgap/core/meanings.py` by `python -m bench.errors_page`.

The `cornelgap` command ends with 0 when all went well, 1 when something was
refused, 2 for a wrong command line or missing settings, 3 for a lost race,
4 when a change is accepted and not yet in force everywhere, 5 for an unsafe
change, 6 when the platform does not answer as it should, 7 when it is not
known whether a change took effect, and 8 for a broken audit trail.
"""
_TITLES = {
    'PKT': 'Datagrams from callers',
    'REQ': 'Requests and flows',
    'CFG': 'Configuration folder and settings',
    'OPS': 'Operators',
    'PLT': 'Platform',
    'NET': 'Between and inside entry instances',
}


def build_page():
    """Build the page's text."""
    lines = [_INTRODUCTION]
    for prefix, title in _TITLES.items():
        lines += [f'## {title}', '', '| code | name | meaning |']
        lines.append('| --- | --- | --- |')
        lines += [
            f'| {code.value} | `{code.name}` | {MEANINGS[code]} |'
            for code in Code
            if code.value.startswith(prefix)
        ]
        lines.append('')
    return '\n'.join(lines)


if __name__ == '__main__':
    PAGE.write_text(build_page())
