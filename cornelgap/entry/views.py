"""What control and administration read from the packet actor's state.

Plain functions that only read; the packet actor calls them in its own turn.
"""

from collections import Counter

from cornelgap.core.control import ControlView
from cornelgap.core.errors import Code
from cornelgap.wire import admin_pb2

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
    stamp = state.cfg.stamp
    live = tuple(members.list_live_instances(now)) if with_live else None
    return ControlView(
        stamp=stamp,
        newer_peers=tuple(members.list_newer_peers(stamp)),
        outdated_cfg_hints=sum(
            state.counters[name] for name in _BEHIND_COUNTERS
        ),
        has_unknown_addresses=members.has_missing_address(),
        live=live,
    )


def read_status(state, now, started):
    """Read what the administration API shows.

    :param started: when the process started, on the same clock.
    :returns: :class:`~cornelgap.wire.admin_pb2.StatusReply`.
    """
    reply = admin_pb2.StatusReply(
        name=state.name,
        zone=state.zone,
        boot=state.boot,
        revision=state.cfg.revision,
        era=state.cfg.era,
        leaving=state.leaving,
        uptime_s=int(now - started),
        peers=state.membership.list_live(now),
        counters=state.counters,
    )
    feeds = _count_feeds(state)
    for name, placement in sorted(state.placements.items()):
        views = placement.describe(now)
        admission = state.admissions[name]
        reply.services.add(
            service=name,
            flows=sum(view.flows for view in views),
            feeds=feeds[name],
            in_flight=admission.running,
            waiting=admission.waiting,
        )
        for view in views:
            reply.targets.add(
                target=view.target,
                service=name,
                state=view.state.value,
                in_flight=view.in_flight,
                flows=view.flows,
            )
    return reply


def _count_feeds(state):
    feeds = Counter()
    for key, _number in state.live_feeds:
        flow = state.flows.get(key)
        if flow is not None:
            feeds[flow.service] += 1
    return feeds
