"""What control and administration read from the packet actor's state.

Plain functions that only read; the packet actor calls them in its own turn.
"""

from cornelgap.core.control import ControlView
from cornelgap.core.errors import Code

_BEHIND_COUNTERS = (
    f'refused_{Code.REQ_BEHIND}',
    f'refused_{Code.PKT_KEY_UNKNOWN}',
    f'peer_refused_{Code.PKT_KEY_UNKNOWN}',
)


def read_view(state, now, with_live):
    """Read what the control actors act upon.

    :param with_live: whether to look at who is alive, which costs most.
    :returns: :class:`cornelgap.core.control.ControlView`.
    """
    members = state.membership
    revision = state.cfg.revision
    live = tuple(members.list_live_instances(now)) if with_live else None
    return ControlView(
        revision=revision,
        ahead=tuple(members.list_ahead(revision)),
        behind_signs=sum(state.counters[name] for name in _BEHIND_COUNTERS),
        unknown_peers=members.has_unknown(),
        live=live,
    )
