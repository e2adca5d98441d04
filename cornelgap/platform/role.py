"""The program that runs on the platform's machines: its first steps.

When all instances lose power, routers send packets to each of them from the
moment at which it runs again.  Loading the program takes 0.2 to 0.4 s of
such a machine's processor; packets that came meanwhile would meet no socket
and wait for their callers' next repeats, up to 0.8 s later.  So the socket
is opened before anything else is loaded, and packets wait in it.
"""

import os
import signal
import sys

from cornelgap.forwarding.sockets import open_socket
from cornelgap.platform.settings import VARIABLE, load_start_settings

EXIT_SETTINGS = 2
RECEIVE_BYTES = 1024 * 1024
"""About 500 full packets with the kernel's own share, and under a hundredth
of the smallest machine's memory."""


def main():
    """Run one instance until SIGTERM."""
    # The program is not loaded yet; it reads the file again when it is.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = os.environ.get(VARIABLE, '')
    settings, errors = load_start_settings(path)
    for exc in errors:
        print(exc, file=sys.stderr)
    if settings is None:
        sys.exit(EXIT_SETTINGS)
    sock = open_socket(settings.packets, RECEIVE_BYTES)
    # Loaded only now, see the module's text.
    from cornelgap.platform.node import run_node

    run_node(settings, sock, path)


if __name__ == '__main__':
    main()
