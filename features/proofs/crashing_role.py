"""The forwarding program with a directory actor that crashes at once.

No input is known that crashes it, so its tick is made to.
"""

from cornelgap.forwarding.directory_actor import DirectoryActor
from cornelgap.platform import role


def crash(actor, message):
    """Meet an error that nobody thought of."""
    raise ZeroDivisionError('unthought of')


if __name__ == '__main__':
    DirectoryActor._tick = crash
    role.main()
