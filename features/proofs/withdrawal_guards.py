"""Guards of zones that leave the rotation, and how each is taken out."""

from msgspec.structs import replace

from cornelgap.decisions import withdrawal
from cornelgap.forwarding import openings, zone_standing


def keep_old_evidence(patches):
    patches.set_attr(
        withdrawal.Withdrawal, '_drop_stale_evidence', lambda self, now: None
    )


def stay_in_rotation(patches):
    patches.replace_function(
        withdrawal.is_withdrawal_worthwhile, lambda totals: False
    )


def reset_all_openings(patches):
    patches.set_attr(zone_standing, 'ROUTER_SWITCH_S', 0)


def reset_undecided(patches):
    patches.set_attr(withdrawal, 'UNDECIDED_S', 0)


def stay_undecided(patches):
    patches.set_attr(zone_standing, 'UNDECIDED_S', 60)
    patches.set_attr(withdrawal, 'UNDECIDED_S', 60)


def let_verdict_lapse(patches):
    patches.set_attr(zone_standing, 'VERDICT_LIFETIME_S', 0.3)


def keep_verdict_to_hub(patches):
    patches.set_attr(
        zone_standing.ZoneStanding,
        '_merge_verdict',
        lambda self, told, by, now, spare_s: None,
    )


def believe_anybody(patches):
    patches.replace_function(
        withdrawal.has_majority, lambda totals, report_count, instances: True
    )


def leave_to_nobody(patches):
    patches.replace_function(
        withdrawal.list_usable_zones, lambda beyond, other_zones: frozenset('a')
    )
    patches.set_attr(
        openings.OpeningTracker,
        'find_zones_beyond_cut',
        lambda self, view, route: {'a'},
    )


def forget_returns(patches):
    patches.replace_function(
        withdrawal.compute_backoff,
        lambda first_s, failures, longest_s: first_s,
    )


def overlook_home(patches):
    find_return = withdrawal.Withdrawal._find_return_cause

    def find_other(self, situation, now):
        return find_return(
            self, replace(situation, local_targets=frozenset()), now
        )

    patches.set_attr(withdrawal.Withdrawal, '_find_return_cause', find_other)


def begin_ready(patches):
    patches.set_attr(zone_standing, 'FIRST_BEAT_WAIT_S', 0)


def give_up_served(patches):
    patches.replace_function(
        withdrawal.is_withdrawal_worthwhile, lambda totals: totals.unserved > 0
    )


def hide_in_snapshots(patches):
    patches.set_attr(
        zone_standing.ZoneStanding,
        'take_snapshot',
        lambda self, snapshot, host, now: None,
    )


def keep_evidence(patches):
    patches.set_attr(
        withdrawal.Withdrawal, 'forget_evidence', lambda self: None
    )


def ask_nobody(patches):
    patches.set_attr(
        zone_standing.ZoneStanding, 'list_cut_probe_hosts', lambda self, now: []
    )


def take_heard_for_cut(patches):
    patches.set_attr(withdrawal, 'MIN_SILENCE_S', 0)


LIST = (
    (
        'zone-withdrawal',
        15,
        'a zone that cannot serve leaves the rotation',
        stay_in_rotation,
    ),
    (
        'withdrawn-drop',
        15,
        'openings are dropped while routers let go',
        reset_all_openings,
    ),
    (
        'undecided-drop',
        15,
        'openings are dropped while the verdict is made',
        reset_undecided,
    ),
    (
        'undecided-ends',
        15,
        'callers are told at once when no verdict comes',
        stay_undecided,
    ),
    (
        'verdict-lasts',
        15,
        'a verdict outlasts the hub that made it',
        let_verdict_lapse,
    ),
    (
        'verdict-told',
        15,
        'all instances of a zone follow one verdict',
        keep_verdict_to_hub,
    ),
    (
        'withdrawal-witnesses',
        15,
        'a few instances do not take their zone out',
        believe_anybody,
    ),
    (
        'serving-zone',
        15,
        'no zone leaves unless another could serve',
        leave_to_nobody,
    ),
    (
        'withdrawal-backoff',
        15,
        'a cut that comes and goes does not make routers swap',
        forget_returns,
    ),
    (
        'withdrawal-turns',
        7,
        'evidence of before a standstill makes no zone leave',
        keep_old_evidence,
    ),
    (
        'home-targets',
        15,
        'a zone whose order is taken back returns at once',
        overlook_home,
    ),
    (
        'start-waits',
        15,
        'an instance that starts does not bring its zone back',
        begin_ready,
    ),
    (
        'served-weigh',
        15,
        'open flows that are served keep their zone in',
        give_up_served,
    ),
    (
        'verdict-in-snapshot',
        15,
        'an instance without the key learns the verdict',
        hide_in_snapshots,
    ),
    (
        'hub-evidence',
        15,
        'only the hub that decides keeps callers waiting',
        keep_evidence,
    ),
    (
        'lost-hubs',
        15,
        'hubs beyond a cut are asked until they answer',
        ask_nobody,
    ),
    (
        'zone-quiet',
        15,
        'a zone does not leave to one that is in touch',
        take_heard_for_cut,
    ),
)
