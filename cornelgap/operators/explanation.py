"""What the logs of all instances say of one flow, target or instance.

An engineer on call has a caller's address and port and asks why the flow
failed.  The lines of the flow itself give the decisions; why an instance
decided so stands in lines about the targets that the flow was on and about
the instance's own knowledge, which bear no mark of the flow.  Both are
merged here, in order of time.
"""

from datetime import timedelta

NEARBY = timedelta(seconds=5)
"""Time around a flow's lines in which beliefs of its instances count: the
longest bound after which a change is known everywhere."""

BELIEFS = (
    'directory: drained zones changed',
    'directory: fact refused as older',
    'directory: follows the store',
    'directory: leaves the store to others',
    'directory: routes adopted',
    'follower: store era',
    'follower: store is back',
    'follower: store lost',
    'forwarding: overload of a service',
    'forwarding: packets are lost on the way here',
    'forwarding: packets are no longer lost',
    'forwarding: process stood still',
    'forwarding: targets given up',
    'forwarding: zone returned',
    'forwarding: zone withdrawn',
    'forwarding: zones away',
    'node: ended',
    'node: leaving',
    'node: settings changed',
    'node: settings need a restart',
    'node: settings refused',
    'node: started',
)
"""Lines that say what an instance believes or suffers, for all its flows."""

REASONS = {
    'placed': 'the flow was opened on a target',
    'moved_on': 'the target before had not answered, so this copy of the '
    'opening went to another one',
    'no_route': 'the configuration has no route to this address and port',
    'routes_unknown': 'the instance had just started, and the configuration '
    'did not come in time',
    'route_dropped': "the configuration no longer has the flow's route",
    'no_target': 'no target of the service is registered, not draining and '
    'in a zone that takes new flows',
    'withdrawn': 'no target was in reach and the zone was leaving the '
    'rotation, so that a copy of the opening reaches another zone',
    'cold_targets': 'the targets of the service have just started and had got '
    'their flows of this second',
    'overloaded': 'the targets of the service shed, and the share of its '
    'priority that is admitted had been given out; nothing has run',
    'copy_overloaded': 'the targets of the service shed, and what became of '
    'the first copy of the opening was not known here',
    'target_silent': 'the target had answered nobody, so its callers were '
    'told at once',
    'target_gone': "the target's registration has ended",
    'not_fresh': 'the instance could not know whether its view was still '
    'right, and stayed silent',
    'stale_open': 'the process had just stood still, and its view was not '
    'confirmed yet',
    'unknown_target': 'the instance did not know the target that the flow is '
    'on; it had just started or was behind',
    'ambiguous_cookie': 'two targets share the mark that the packet carries',
    'no_cookie': 'the packet named no target',
    'from_target': 'only targets send such a packet; it was forged',
}
"""Meaning of the field ``why`` of lines about a packet."""


def name_subject(line, subject):
    """Say whether a line is about a flow, target or instance itself.

    :param subject: ``ADDRESS:PORT`` of a caller, a whole flow as logs name
        it, or the name of a target or instance.
    """
    flow = str(line.fields.get('flow', ''))
    return (
        flow == subject
        or flow.partition('>')[0] == subject
        or line.fields.get('target') == subject
        or subject in line.fields.get('silent', ())
        or line.instance == subject
    )


def select_lines(lines, subject):
    """Select what explains a subject.

    :param lines: list of :class:`~cornelgap.operators.log_lines.LogLine`.
    :returns: the lines of the subject, and those of its targets and
        instances nearby in time; empty if no line names it.
    """
    own = [line for line in lines if name_subject(line, subject)]
    if not own:
        return []
    first = own[0].at - NEARBY
    last = own[-1].at + NEARBY
    instances = {line.instance for line in own}
    targets = {line.fields['target'] for line in own if 'target' in line.fields}
    return [
        line
        for line in lines
        if name_subject(line, subject)
        or first <= line.at <= last
        and _is_related(line, instances, targets)
    ]


def _is_related(line, instances, targets):
    if line.instance not in instances:
        return False
    if line.message in BELIEFS:
        return True
    about_target = line.message == 'directory: target changed'
    return about_target and line.fields.get('target') in targets


def describe_line(line):
    """Describe a line in words: when, who, what, and from which inputs."""
    reason = REASONS.get(line.fields.get('why'))
    details = ', '.join(
        f'{name} {found}'
        for name, found in line.fields.items()
        if name not in {'flow', 'why'}
    )
    what = f'{line.message} because {reason}' if reason else line.message
    rest = f' ({details})' if details else ''
    return f'{line.at:%H:%M:%S.%f} {line.instance}  {what}{rest}'


def find_cause(lines, subject):
    """Find the last decision about a subject that was not an opening.

    :returns: its meaning in words, or None if all was ordinary.
    """
    for line in reversed(lines):
        why = line.fields.get('why')
        if why in REASONS and why != 'placed' and name_subject(line, subject):
            return REASONS[why]
    return None
