"""What is wrong with a configuration, precisely enough to mend it.

A loader never stops at the first fault: an operator who fixes one line and
runs the check again, fault after fault, gives up on checking.
"""

import difflib
from dataclasses import dataclass

# Searching a near name costs time in the number of names, so that a folder
# with thousands of faults would take minutes to check.
MAX_NEAREST = 50


@dataclass(frozen=True, slots=True)
class CfgFinding:
    """One fault of a configuration folder or document.

    :param code: one of :class:`cornelgap.core.errors.Code`.
    :param text: one short sentence.
    :param file: name of the file, empty if none applies.
    :param line: line in it, from 1; 0 if none applies.
    :param section: section as written, such as ``target t1``.
    :param option: option name in lower case.
    :param expected: what would have been right.
    :param nearest: nearest known name, empty if none is near.
    """

    code: str
    text: str
    file: str = ''
    line: int = 0
    section: str = ''
    option: str = ''
    expected: str = ''
    nearest: str = ''

    def __str__(self):
        """Format as one line, in the order in which editors jump to it."""
        place = f'{self.file}:{self.line}: ' if self.file else ''
        section = f'[{self.section}] ' if self.section else ''
        option = f'{self.option}: ' if self.option else ''
        expected = f'; expected {self.expected}' if self.expected else ''
        nearest = f'; did you mean "{self.nearest}"?' if self.nearest else ''
        return (
            f'{place}{self.code} {section}{option}{self.text}'
            f'{expected}{nearest}'
        )


def find_nearest(name, known):
    """Find the known name that a mistyped one most likely meant.

    :param name: what was written.
    :param known: names that would have been right.
    """
    near = difflib.get_close_matches(name, list(known), n=1)
    return near[0] if near else ''
