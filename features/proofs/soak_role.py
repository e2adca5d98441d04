"""The forwarding program without one guard, named by the first argument."""

import sys

from cornelgap.platform import node, role
from features.proofs import guards

if __name__ == '__main__' and node:
    with guards.take_out(sys.argv[1]):
        role.main()
