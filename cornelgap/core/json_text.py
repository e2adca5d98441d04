"""JSON of other writers, before it is decoded.

The library's decoder fails on values that are nested too deeply, and what it
does decode may still be nested too deeply for a later step, such as quoting
the value in a log line.  Nesting is therefore bounded in the text.
"""

import re

MAX_NESTING = 32
"""Greatest depth of lists and objects that is read; an answer with the
objects of this system has ten levels at most."""

TOKENS = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*(?:"|\\?\Z)|[\[\]{}]', re.DOTALL)
"""Texts, and the characters that begin or end a list or an object.  A text
that is cut off is one token as well: if it failed to match, the search would
scan the rest again from each escaped quote within it."""

_OPENING = frozenset('[{')
_CLOSING = frozenset(']}')


def prune_nesting(text):
    """Replace what is nested more than :data:`MAX_NESTING` deep by null.

    :param text: JSON.
    :raises ValueError: if such a list or object has no end.
    """
    parts = []
    kept_to = 0
    depth = 0
    for token in TOKENS.finditer(text):
        char = token[0]
        if char in _OPENING:
            depth += 1
            if depth == MAX_NESTING + 1:
                parts += (text[kept_to : token.start()], 'null')
        elif char in _CLOSING:
            if depth == MAX_NESTING + 1:
                kept_to = token.end()
            depth -= 1
    if depth > MAX_NESTING:
        raise ValueError('nested without an end')
    return ''.join((*parts, text[kept_to:]))
