"""The command ``cornelgap-entry``: run one entry instance until it ends."""

import json
import signal
import sys

import cyclopts

from cornelgap.entry.node import EntryNode
from cornelgap.entry.settings import load_settings

EXIT_SETTINGS = 2
EXIT_CRASHED = 3

app = cyclopts.App(name='cornelgap-entry', help=__doc__)


@app.default
def serve(settings: str):
    """Serve until SIGTERM asks for a planned stop, and end when it is done.

    :param settings: INI file of this instance.
    """
    loaded, errors = load_settings(settings)
    if errors:
        for exc in errors:
            print(exc, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    node = EntryNode.from_settings(loaded)
    node.start()
    _print_addresses(node)

    def leave(*_):
        node.leave()

    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, leave)
    node.ended.wait()
    node.stop()
    if node.crashed:
        sys.exit(EXIT_CRASHED)


def _print_addresses(node):
    """Print one line of JSON, so that a starter learns the ports."""
    line = {
        'name': node.settings.name,
        'public': node.public,
        'private': node.private,
        'api': node.api,
    }
    print(json.dumps(line), flush=True)


def run_main():
    """Run the command line."""
    app()


if __name__ == '__main__':
    run_main()
