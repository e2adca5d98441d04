"""The `cornelgap` command: thin functions over the library.

Each command returns an exit code of :class:`cornelgap.operators.exits.Exit`
and prints what it found; coded errors end in one line with their code.
"""

import sys

from cyclopts import App, CycloptsError

from cornelgap import operators
from cornelgap.core.errors import CodedError
from cornelgap.operators import (
    explain_commands,
    fleet_commands,
    folder_commands,
    key_commands,
    printing,
    trail_commands,
)
from cornelgap.operators.exits import Exit, choose_exit


def build_app():
    """Build the command line."""
    app = App(name='cornelgap', help=operators.__doc__)
    app.command(folder_commands.check)
    app.command(folder_commands.show)
    app.command(folder_commands.diff)
    app.command(folder_commands.apply)
    app.command(trail_commands.history)
    app.command(trail_commands.audit_trail, name='audit')
    app.command(explain_commands.explain)
    app.command(fleet_commands.status)
    app.command(fleet_commands.drain)
    app.command(fleet_commands.undrain)
    keys = App(name='key', help='Rotate the keys that sign flow tokens.')
    keys.command(key_commands.list_keys, name='list')
    keys.command(key_commands.add)
    keys.command(key_commands.sign)
    keys.command(key_commands.retire)
    app.command(keys)
    return app


def run_command(args):
    """Run one command line.

    :param args: arguments without the program's name.
    :return: the exit code.
    """
    app = build_app()
    try:
        result = app(args, exit_on_error=False, result_action='return_value')
    except CycloptsError:
        return Exit.USAGE
    except CodedError as exc:
        printing.print_error(exc)
        return choose_exit(exc.code)
    return Exit.DONE if result is None else result


def run_main():
    """Run the command line of this process."""
    sys.exit(run_command(sys.argv[1:]))


if __name__ == '__main__':
    run_main()
