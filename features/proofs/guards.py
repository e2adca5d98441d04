"""The guards that the proofs rely on, each with a way to switch it off.

A proof is worth something only if it fails without its guard.  This list
is the one place that knows how to take a guard out; the product has no
such switch.  ``bench/mutation.py`` takes them out one by one.
"""

import sys
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Callable

from cornelgap.core import token, window

_OURS = ('cornelgap', 'features')


@dataclass(frozen=True, slots=True)
class Guard:
    """One guard.

    :param name: short name, as scenarios and the mutation table use it.
    :param trap: number in the list of traps, 0 if it is not among them.
    :param text: what it prevents.
    :param switch_off: called with a :class:`Patches`.
    """

    name: str
    trap: int
    text: str
    switch_off: Callable


class Patches:
    """Attributes that were replaced, to be put back."""

    def __init__(self):
        """Begin with nothing replaced."""
        self._undo = []

    def set_attr(self, owner, name, value):
        """Replace one attribute of a module or class."""
        old = owner.__dict__[name]
        self._undo.append((owner, name, old))
        setattr(owner, name, value)

    def replace_function(self, func, value):
        """Replace a module's function wherever it was imported by name."""
        for name, module in tuple(sys.modules.items()):
            if name.split('.')[0] not in _OURS:
                continue
            held = [attr for attr, item in vars(module).items() if item is func]
            for attr in held:
                self.set_attr(module, attr, value)

    def undo(self):
        """Put everything back, last first."""
        while self._undo:
            owner, name, old = self._undo.pop()
            setattr(owner, name, old)


def _forget_old_numbers(patches):
    def check_number(top, seen, number):
        age = top - number
        if age >= window.WINDOW_SIZE:
            return True
        return number > top or not (seen >> age) & 1

    patches.replace_function(window.check_number, check_number)


def _skip_window(patches):
    patches.replace_function(window.check_number, lambda *args: True)


def _skip_tag(patches):
    patches.replace_function(token.check_bytes, lambda *args: True)


_ALL = (
    Guard(
        'window-below',
        3,
        'a number below the bitmap counts as seen',
        _forget_old_numbers,
    ),
    Guard('window', 1, 'a number seen before never runs again', _skip_window),
    Guard('token-tag', 0, 'a token that was not minted is refused', _skip_tag),
)

GUARDS = {guard.name: guard for guard in _ALL}


@contextmanager
def take_out(name):
    """Run a block without the guard of this name; empty takes out none."""
    patches = Patches()
    try:
        if name:
            GUARDS[name].switch_off(patches)
        yield
    finally:
        patches.undo()
