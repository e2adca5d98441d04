"""The command that explains a failure from logs."""

import json
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from cornelgap.core.errors import Code, CodedError
from cornelgap.operators import explanation, printing
from cornelgap.operators.exits import Exit
from cornelgap.operators.log_lines import load_lines


def explain(
    subject: str,
    *logs: Path,
    as_json: Annotated[bool, Parameter(name='--json', negative='')] = False,
):
    """Show what the logs of all instances say of one flow, target or instance.

    :param subject: ADDRESS:PORT of a caller, a flow as logs name it, or the
        name of a target or instance.
    :param logs: log files of as many instances as there are.
    :param as_json: print one JSON object a line.
    """
    lines, errors = load_lines(logs)
    printing.print_findings(errors)
    found = explanation.select_lines(lines, subject)
    if not found:
        raise CodedError(
            Code.OPS_UNKNOWN_NAME, 'no line of these logs names it', subject
        )
    for line in found:
        print(_dump_line(line) if as_json else explanation.describe_line(line))
    cause = explanation.find_cause(found, subject)
    if cause and not as_json:
        print(f'last: {cause}')
    return Exit.DONE


def _dump_line(line):
    content = {
        'time': line.at.isoformat(),
        'instance': line.instance,
        'message': line.message,
        'place': line.place,
    }
    return json.dumps({**content, **line.fields})
