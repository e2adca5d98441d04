"""The command ``cornelgap-entry``: run one entry instance until it ends."""

import json
import signal
import sys

import cyclopts

from cornelgap.entry.node import EntryNode
from cornelgap.entry.settings import load_settings
from cornelgap.entry.trust import load_trust
from cornelgap.kernel.logs import check_levels, configure_logs

EXIT_SETTINGS = 2
EXIT_CRASHED = 3

app = cyclopts.App(name='cornelgap-entry', help=__doc__)


@app.default
def serve(settings: str):
    """Serve until SIGTERM asks for a planned stop, and end when it is done.

    :param settings: INI file of this instance.
    """
    loaded, errors = load_settings(settings)
    _end_on_errors(errors)
    trust, errors = load_trust(loaded.sections)
    levels = loaded.sections.get('logs', {})
    _end_on_errors(errors + check_levels(levels))
    configure_logs(levels, loaded.name)
    node = EntryNode.from_settings(loaded, trust)
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


def _end_on_errors(errors):
    for exc in errors:
        print(exc, file=sys.stderr)
    if errors:
        sys.exit(EXIT_SETTINGS)


def _print_addresses(node):
    """Print one line of JSON, so that a starter learns the ports."""
    line = {
        'name': node.settings.name,
        'public': node.public,
        'private': node.private,
        'api': node.api,
        'admin': node.admin,
    }
    print(json.dumps(line), flush=True)


def run_main():
    """Run the command line."""
    app()


if __name__ == '__main__':
    run_main()
