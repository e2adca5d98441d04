"""The window of request numbers that a home has seen in one id space.

It answers one question: may this number still be new?  Like the
anti-replay window of IPsec it keeps the highest number and a bitmap of the
ones below it.  A number below the bitmap counts as seen, because nobody
can tell any more; so an old copy of a request can never run again.
"""

WINDOW_SIZE = 256
"""Numbers kept below the highest one.  A caller has far fewer requests
open at once; reordering of datagrams spans a few milliseconds."""

_MASK = (1 << WINDOW_SIZE) - 1


def check_number(top, seen, number):
    """Say whether a number is new.

    :param top: highest number seen, 0 if none.
    :param seen: bitmap, bit n stands for number ``top - n``.
    """
    if number > top:
        return True
    age = top - number
    if age >= WINDOW_SIZE:
        return False
    return not (seen >> age) & 1


def mark_number(top, seen, number):
    """Mark a number as seen.

    :returns: the new (top, seen).
    """
    if number > top:
        shift = number - top
        moved = (seen << shift) & _MASK if shift < WINDOW_SIZE else 0
        return number, moved | 1
    age = top - number
    if age < WINDOW_SIZE:
        seen |= 1 << age
    return top, seen


def encode_seen(seen):
    """Encode a bitmap for a handover."""
    return seen.to_bytes(WINDOW_SIZE // 8, 'big')


def decode_seen(data):
    """Decode a bitmap from a handover."""
    return int.from_bytes(data, 'big') & _MASK
