"""Replay window: the request numbers seen in one id space.

The home of a flow uses it to run each request number only once.  Like the
anti-replay window of IPsec it keeps the highest number and a bitmap of the
numbers below it.  A number below the bitmap counts as seen, since it is no
longer known whether it was; so an old copy of a request never runs again.
"""

WINDOW_SIZE = 256
"""Bits of the bitmap: the highest number and those below it.  A caller has
far fewer open requests, and datagrams are reordered only within a few
milliseconds."""

_MASK = (1 << WINDOW_SIZE) - 1


def is_new_number(top, seen, number):
    """Return whether a number is new.

    :param top: highest number seen, 0 if none.
    :param seen: bitmap, in which bit n stands for number ``top - n``.
    """
    if number > top:
        return True
    bit = top - number
    if bit >= WINDOW_SIZE:
        return False
    return not (seen >> bit) & 1


def mark_number(top, seen, number):
    """Mark a number as seen.

    :returns: the new (top, seen).
    """
    if number > top:
        shift = number - top
        shifted = (seen << shift) & _MASK if shift < WINDOW_SIZE else 0
        return number, shifted | 1
    bit = top - number
    if bit < WINDOW_SIZE:
        seen |= 1 << bit
    return top, seen


def encode_seen(seen):
    """Encode a bitmap as bytes, to hand a flow over to another instance."""
    return seen.to_bytes(WINDOW_SIZE // 8, 'big')


def decode_seen(data):
    """Decode a bitmap that came with a flow handed over."""
    return int.from_bytes(data, 'big') & _MASK
