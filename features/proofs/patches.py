"""Attributes of the product that a test replaces and puts back."""

import sys

_OURS = ('cornelgap', 'features')


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
