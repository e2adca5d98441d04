"""Log lines of many instances, merged into one order.

Each instance writes JSON lines of its own; what happened to one flow lies in
the logs of several.  A collector may put text before a line, a process that
was killed may leave half a line: both are read past, and told.
"""

import json
from dataclasses import dataclass
from datetime import datetime
from operator import attrgetter

from cornelgap.core.errors import Code, CodedError
from cornelgap.core.json_text import prune_nesting

TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
_OWN_FIELDS = frozenset(('time', 'level', 'part', 'message', 'instance'))
_FIELD_TYPES = {
    'time': str,
    'message': str,
    'instance': str,
    'flow': str,
    'target': str,
    'why': str,
    'silent': list,
}
"""Types of the fields by which lines are selected and explained."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    :param at: wall clock of the machine that wrote it.  Clocks of machines
        differ by milliseconds, and may jump.
    :param fields: what the line says beside its message.
    :param place: file and line number.
    """

    at: datetime
    instance: str
    message: str
    fields: dict
    place: str


def load_lines(paths):
    """Load log files.

    :param paths: paths of files.
    :returns: tuple (list of :class:`LogLine` by time, list of
        :class:`CodedError`); lines without JSON, such as those of other
        programs, are passed over.
    """
    lines = []
    errors = []
    for path in paths:
        try:
            text = path.read_text(errors='replace')
        except OSError as exc:
            errors.append(CodedError(Code.CFG_UNREADABLE, str(exc), str(path)))
            continue
        _load_text(text, path, lines, errors)
    return sorted(lines, key=attrgetter('at')), errors


def _load_text(text, path, lines, errors):
    for number, raw in enumerate(text.splitlines(), start=1):
        _, brace, rest = raw.partition('{')
        if not brace:
            continue
        place = f'{path}:{number}'
        try:
            lines.append(_load_line(brace + rest, place))
        except (KeyError, TypeError, ValueError) as exc:
            errors.append(CodedError(Code.CFG_SYNTAX, repr(exc), place))


def _load_line(text, place):
    content = json.loads(prune_nesting(text))
    _check_types(content)
    fields = {
        name: found
        for name, found in content.items()
        if name not in _OWN_FIELDS and found is not None
    }
    return LogLine(
        at=datetime.strptime(content['time'], TIME_FORMAT),
        instance=content.get('instance', ''),
        message=content['message'],
        fields=fields,
        place=place,
    )


def _check_types(content):
    """Check a line that another program may have written.

    :raises TypeError: if a field has another type than in lines of ours.
    """
    for name, kind in _FIELD_TYPES.items():
        found = content.get(name)
        if found is not None and not isinstance(found, kind):
            raise TypeError(f'{name} is no {kind.__name__}')
