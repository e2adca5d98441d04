"""Guards of forwarded flows, and how each is taken out."""

from cornelgap.decisions import (
    cold_starts,
    error_shares,
    fair_shares,
    flow_health,
    following,
    overload,
    path_loss,
    shed_answers,
    target_choice,
    target_outliers,
    zone_reach,
)
from cornelgap.forwarding import (
    admission_control,
    directory,
    engine,
    failure_detector,
    flow_owners,
    flows,
    handshake_cookies,
    lifetimes,
    neighbours,
    news,
    packet_checks,
    peer_messages,
    request_watch,
)
from cornelgap.forwarding.packets import Drop, Reason, Reset
from cornelgap.platform import layout, objects, sources


def follow_carried_cookie(patches):
    patches.replace_function(
        packet_checks.choose_cookie, lambda packet, known: packet.cookie
    )


def put_plain_cookie(patches):
    patches.replace_function(
        handshake_cookies.make_handshake_cookie, lambda packet, cookie: cookie
    )


def report_no_owner(patches):
    patches.set_attr(
        flow_owners.FlowOwners,
        'report',
        lambda self, flow, cookie, syn_seq, now: None,
    )


def ask_for_no_owner(patches):
    patches.set_attr(
        flow_owners.FlowOwners, 'ask', lambda self, flow, now: None
    )


def overlook_misled_packets(patches):
    patches.replace_function(
        packet_checks.is_misleading, lambda packet, known: False
    )


def forget_idle_owner(patches):
    patches.set_attr(flows.FlowTable, 'find_idle', lambda self, key: None)


def trust_old_report(patches):
    patches.replace_function(
        packet_checks.is_same_flow, lambda packet, owner: True
    )


def open_late_copies(patches):
    patches.replace_function(
        packet_checks.is_late_copy, lambda packet, opened: False
    )


def drop_new_flows(patches):
    patches.replace_function(
        packet_checks.is_late_copy, lambda packet, opened: opened is not None
    )


def address_anybody(patches):
    patches.replace_function(layout.encode_identity, lambda target: bytes(8))


def take_last_twin(patches):
    def index_by_cookie(by_cookie, target):
        by_cookie[target.cookie] = target

    patches.replace_function(directory.index_by_cookie, index_by_cookie)


def reset_unknown(patches):
    patches.replace_function(lifetimes.is_gone, lambda view, cookie: True)


def believe_lapse(patches):
    patches.replace_function(
        directory.compute_gone_at, lambda target, now, reregistration_until: now
    )


def take_any_revision(patches):
    patches.replace_function(directory.is_newer, lambda revision, known: True)


def explain_all(patches):
    patches.replace_function(
        sources.is_explained, lambda known, revision, told: True
    )


def trust_after_standstill(patches):
    patches.set_attr(
        engine.Engine, 'distrust_directory', lambda self, now: None
    )


def open_on_draining(patches):
    patches.replace_function(directory.accepts_new_flows, lambda target: True)


def forward_forged(patches):
    patches.replace_function(packet_checks.is_from_target, lambda packet: False)


def skip_length(patches):
    patches.replace_function(layout.check_length, lambda stated, found: None)


def wait_for_silent(patches):
    patches.set_attr(
        flow_health.FlowHealth, 'is_silent', lambda self, key, now: False
    )


def ignore_answers(patches):
    patches.set_attr(
        flow_health.FlowHealth,
        'note_answer',
        lambda self, key, answered_at, reported=False: None,
    )


def pass_on_told_answers(patches):
    def find_answer(self, key, now):
        record = self._records.get(key)
        if (
            record is None
            or now - record.answered_at >= flow_health.MIN_SILENT_S
        ):
            return None
        return 0

    patches.set_attr(flow_health.FlowHealth, 'find_answer', find_answer)


def count_first_repeats(patches):
    patches.set_attr(
        flow_health, 'FIRST_REPEAT_WEIGHT', flow_health.SECOND_REPEAT_WEIGHT
    )


def trust_only_good(patches):
    patches.replace_function(
        flow_health.select_pool,
        lambda pools, everybody: next((pool for pool in pools if pool), []),
    )


def take_the_idlest(patches):
    def choose_target(candidates, expected_flows, rng):
        return min(candidates, key=target_choice.compute_load).target

    patches.replace_function(target_choice.choose_target, choose_target)


def choose_among_all(patches):
    def get_factor(item):
        same_zone = item.same_zone
        return (
            (1, 0) if same_zone else (target_choice.OTHER_ZONE_LOAD_FACTOR, 2)
        )

    def choose_target(candidates, expected_flows, rng):
        destinations = []
        for item in candidates:
            factor, more = get_factor(item)
            load = target_choice.compute_load(item) * factor + more
            destinations.append(
                target_choice.Destination(load, item.target.slots, item)
            )
        return target_choice.draw_destination(
            destinations, expected_flows, rng
        ).item.target

    patches.replace_function(target_choice.choose_target, choose_target)


def trust_failing(patches):
    patches.set_attr(
        target_outliers.TargetOutliers,
        'is_avoided',
        lambda self, key, now: False,
    )


def skip_overdue(patches):
    patches.set_attr(engine.Engine, 'note_overdue', lambda self, now: None)


def take_short_answers(patches):
    patches.set_attr(
        request_watch.RequestWatch, 'note_size', lambda self, key, size: False
    )


def compare_with_nobody(patches):
    patches.replace_function(
        target_outliers.is_outlier,
        lambda outcomes, usual: (
            outcomes.failed > target_outliers.MAX_DEVIATIONS
        ),
    )


def judge_full_targets(patches):
    patches.replace_function(target_outliers.is_full, lambda outcomes: False)


def avoid_any_share(patches):
    patches.set_attr(target_outliers, 'MAX_AVOIDED_SHARE', 1)


def avoid_for_good(patches):
    patches.set_attr(target_outliers, 'AVOID_S', 1000)
    patches.set_attr(target_outliers, 'LONGEST_AVOID_S', 1000)


def trust_the_follower(patches):
    def decide(self, now, rank, age_s, other_follows):
        return self.active

    patches.set_attr(following.FollowerRole, 'decide', decide)


def follow_without_facts(patches):
    patches.set_attr(
        following.FollowerRole,
        '_compute_news_wait',
        lambda self, now, age_s: age_s,
    )


def believe_strangers(patches):
    patches.replace_function(
        peer_messages.verify_tag, lambda found, right: None
    )


def draw_service(patches):
    def order_services(route, packet):
        # Each instance draws for itself.
        draw_service.turn = (getattr(draw_service, 'turn', 0) + 1) % 2
        return [route.weighted_services[draw_service.turn][0]]

    patches.replace_function(packet_checks.order_services, order_services)


def judge_targets_alone(patches):
    patches.set_attr(zone_reach.ZoneReach, 'list_away', lambda self: [])


def judge_far_targets_alone(patches):
    def is_enough(self, record, recent, away):
        weight = sum(recent)
        second = flow_health.SECOND_REPEAT_WEIGHT in recent
        return second and weight >= flow_health.MIN_SILENT_WEIGHT

    patches.set_attr(flow_health.FlowHealth, '_has_enough_evidence', is_enough)


def trust_young_verdict(patches):
    patches.set_attr(
        failure_detector.FailureDetector,
        '_is_away_after_startup',
        lambda self, zone, now: self._reach.is_away(zone),
    )


def believe_one_target(patches):
    patches.set_attr(zone_reach, 'SILENT_TARGETS', 1)


def probe_alone(patches):
    def take_probe(self, zone, now):
        record = self._zones[zone]
        if now < record.probe_at:
            return False
        record.probe_at = now + zone_reach.PROBE_S
        return True

    patches.set_attr(zone_reach.ZoneReach, 'take_probe', take_probe)


def keep_returns(patches):
    def take_evidence(self):
        found = self._evidence
        self._evidence = failure_detector.Evidence()
        return failure_detector.Evidence(found.repeats)

    patches.set_attr(
        failure_detector.FailureDetector, 'take_evidence', take_evidence
    )


def believe_any_answer(patches):
    def note_answer(self, cookie, target, answered_at, opened_at):
        if self._record_answer(cookie, target, answered_at) is not None:
            self._evidence.add_answer(cookie)

    patches.set_attr(
        failure_detector.FailureDetector, 'note_answer', note_answer
    )


def forget_far_loads(patches):
    patches.set_attr(
        neighbours, 'OTHER_ZONE_LOAD_MAX_AGE_S', neighbours.LOAD_MAX_AGE_S
    )


def hold_probes(patches):
    patches.set_attr(zone_reach.ZoneReach, 'is_away', lambda self, zone: False)


def count_backlog(patches):
    patches.set_attr(packet_checks, 'MIN_REPEAT_DELAY_S', 0)


def judge_at_once(patches):
    patches.set_attr(failure_detector, 'STARTUP_S', 0)


def move_first_copy(patches):
    patches.set_attr(engine, 'FIRST_MOVED_COPY', 1)


def know_one_lifetime(patches):
    patches.replace_function(
        lifetimes.has_restarted, lambda before, target: False
    )


def leave_out_unreadable(patches):
    patches.set_attr(sources.StoreSource, 'read', read_only_whole)


def read_only_whole(source, item):
    found, _ = objects.load_registration(item, 0)
    if found.target is None:
        return None
    return found.name, found.target, found.revision


def keep_to_service(patches):
    def order_services(route, packet):
        names = [service for service, _ in route.weighted_services]
        return names[:1]

    patches.replace_function(packet_checks.order_services, order_services)


def open_in_drained_zones(patches):
    patches.replace_function(
        directory.is_zone_open, lambda zone, drained_zones: True
    )


def wait_in_drained_zones(patches):
    def refuse_opening(self, route, packet, now):
        if now > self.fresh_until:
            return Drop(Reason.NOT_FRESH)
        return Reset(packet.ack, Reason.NO_TARGET)

    patches.set_attr(engine.Engine, '_refuse_opening', refuse_opening)


def wait_beyond_cuts(patches):
    patches.set_attr(
        engine.Engine,
        '_list_last_resort',
        lambda self, service, targets, avoided: targets,
    )


def skip_told_drains(patches):
    patches.replace_function(
        news.update_drained_zones,
        lambda directory, beat, now: news.BeatEffect.NONE,
    )


def own_all_cold(patches):
    def choose_owners(key, names, budget):
        return frozenset(names), budget

    patches.replace_function(cold_starts.choose_owners, choose_owners)


def give_whole_budget(patches):
    patches.set_attr(cold_starts, 'BUDGET_DIVISOR', 1)


def own_when_young(patches):
    patches.set_attr(neighbours, 'SETTLE_S', 0)


def forget_soon(patches):
    patches.set_attr(neighbours, 'RECENT_S', neighbours.MEMBER_TIMEOUT_S)


def trust_returned_zones(patches):
    patches.set_attr(
        directory.View,
        'is_cold',
        lambda self, target, now: now < target.cold_until,
    )


def let_idle_flows_wait(patches):
    patches.set_attr(flows, 'FORGET_IDLE_AFTER_S', 0)


def reset_waiting_only(patches):
    def list_open_flows(self, cookies):
        return [
            (key, flow.cookie, flow.last_ack)
            for key, flow in self._flows.items()
            if flow.waiting_since and flow.cookie in cookies
        ]

    patches.set_attr(flows.FlowTable, 'list_open_flows', list_open_flows)


def trust_own_way(patches):
    patches.set_attr(path_loss.PathLoss, 'is_lossy', lambda self, now: False)


def keep_cut_repeats(patches):
    patches.set_attr(path_loss.PathLoss, 'forget_repeats', lambda self: None)


def blame_way_for_work(patches):
    patches.set_attr(path_loss, 'MIN_CONFIRMED_SHARE', 0)
    patches.set_attr(path_loss, 'MIN_CONFIRMED', 0)


def weigh_all_repeats(patches):
    patches.replace_function(
        failure_detector.concerns_openings_only,
        lambda opening, overloaded, away: opening,
    )


def weigh_openings(patches):
    patches.set_attr(
        flow_health, 'OPENING_WEIGHT', flow_health.SECOND_REPEAT_WEIGHT
    )


def admit_everything(patches):
    patches.set_attr(admission_control, 'ENABLED', False)


def count_sheds_of_few(patches):
    patches.replace_function(
        overload.is_spread, lambda sheds, shedding, targets: True
    )


def wait_for_no_errors(patches):
    patches.set_attr(overload, 'BUSY_SHARE', 0)


def take_errors_for_sheds(patches):
    patches.set_attr(
        error_shares.ErrorShares, 'are_detected', lambda self, now: False
    )


def count_sheds_at_once(patches):
    patches.set_attr(admission_control, 'STARTUP_S', 0)


def believe_first_sign(patches):
    patches.set_attr(overload, 'MIN_OVERLOADED_STEPS', 1)


def cut_all_alike(patches):
    def cut_shares(shares, tally):
        kept = 1 - tally.sheds / tally.answers
        return {
            name: max(overload.MIN_SHARE, share * kept)
            for name, share in shares.items()
        }

    patches.replace_function(overload.cut_shares, cut_shares)


def draw_among_all(patches):
    patches.set_attr(
        fair_shares.FairShares,
        'compute_probability',
        lambda self, caller: self._share,
    )


def keep_all_sheds(patches):
    patches.set_attr(shed_answers, 'SHORT_KEEP_INTERVAL', 1)


def count_late_sheds(patches):
    patches.set_attr(
        shed_answers.ShedAnswerDetector,
        'note_answer',
        lambda self, size, waited_s: self._note_size(size, waited_s),
    )


def keep_no_shorts(patches):
    patches.set_attr(shed_answers, 'SHORT_KEEP_INTERVAL', 1 << 30)


def refuse_copies(patches):
    patches.replace_function(
        admission_control.is_first_copy, lambda packet: True
    )


def refuse_passed_on(patches):
    patches.replace_function(packet_checks.was_forwarded, lambda known: False)


LIST = (
    (
        'overload-gate',
        0,
        'openings beyond the room of the targets are refused',
        admit_everything,
    ),
    (
        'overload-spread',
        0,
        'sheds of few targets refuse nothing',
        count_sheds_of_few,
    ),
    (
        'overload-busy',
        0,
        'errors of targets that are not full keep nothing closed',
        wait_for_no_errors,
    ),
    (
        'overload-errors',
        0,
        'errors of all targets with room refuse nothing',
        take_errors_for_sheds,
    ),
    (
        'overload-young',
        0,
        'the rush after an outage is no overload',
        count_sheds_at_once,
    ),
    (
        'overload-signs',
        0,
        'a rush within one step is no overload',
        believe_first_sign,
    ),
    (
        'overload-priority',
        0,
        'the least urgent priority gives way first',
        cut_all_alike,
    ),
    (
        'overload-fair',
        0,
        'a flood takes no room from other callers',
        draw_among_all,
    ),
    (
        'overload-usual',
        0,
        'sheds do not become the usual answers of a route',
        keep_all_sheds,
    ),
    (
        'overload-quick',
        0,
        'a short answer that is no quicker than usual is no shed',
        count_late_sheds,
    ),
    (
        'overload-habit',
        0,
        'answers that are short for good become the usual ones',
        keep_no_shorts,
    ),
    (
        'overload-copies',
        0,
        'a copy whose first SYN is not known is never refused',
        refuse_copies,
    ),
    (
        'overload-passed',
        0,
        'an opening that was passed on is never refused',
        refuse_passed_on,
    ),
    (
        'zone-drained',
        8,
        'a zone that operators drain gets no new flow',
        open_in_drained_zones,
    ),
    (
        'drained-refused',
        8,
        'an opening that only drained zones could take is refused at once',
        wait_in_drained_zones,
    ),
    (
        'drained-beyond-cut',
        8,
        'where zones in reach are drained nobody waits beyond a cut',
        wait_beyond_cuts,
    ),
    (
        'drains-told',
        5,
        'instances tell each other which zones are drained',
        skip_told_drains,
    ),
    (
        'cold-owners',
        11,
        'few instances open flows on one cold target',
        own_all_cold,
    ),
    (
        'cold-part',
        11,
        'owners of a cold target may change within a second',
        give_whole_budget,
    ),
    (
        'cold-young',
        11,
        'an instance that has just started owns no cold target',
        own_when_young,
    ),
    (
        'cold-recent',
        11,
        'an instance that is cut off goes on counting the others',
        forget_soon,
    ),
    (
        'cold-return',
        11,
        'targets of a zone that is taken back count as cold for a while',
        trust_returned_zones,
    ),
    (
        'idle-kept',
        10,
        'idle flows of a lost target are kept in mind',
        let_idle_flows_wait,
    ),
    (
        'idle-reset',
        10,
        'idle flows of a lost target are reset before they send',
        reset_waiting_only,
    ),
    (
        'copies-pinned',
        1,
        'a flow stays where its first acknowledgement went',
        follow_carried_cookie,
    ),
    (
        'copies-agree',
        1,
        'copies of a SYN get the same service on any instance',
        draw_service,
    ),
    (
        'target-number',
        2,
        'a datagram names the lifetime that is meant',
        address_anybody,
    ),
    (
        'shared-cookie',
        2,
        'a cookie of two targets is never guessed',
        take_last_twin,
    ),
    (
        'unknown-silent',
        3,
        'an unknown target is no reason for a reset',
        reset_unknown,
    ),
    (
        'lapse-return',
        4,
        'a registration that lapsed in an outage may come back',
        believe_lapse,
    ),
    (
        'rising-facts',
        5,
        'facts of the store are adopted by rising revision',
        take_any_revision,
    ),
    (
        'age-decides',
        5,
        'who knows nothing fresh follows the store itself',
        trust_the_follower,
    ),
    (
        'first-start',
        5,
        'what nobody can know yet makes nobody follow the store',
        follow_without_facts,
    ),
    (
        'revision-explained',
        5,
        'a revision that no told change explains is looked into',
        explain_all,
    ),
    (
        'standstill',
        7,
        'after a standstill nothing is placed before a confirmation',
        trust_after_standstill,
    ),
    (
        'draining-closed',
        8,
        'a draining target gets no new flow',
        open_on_draining,
    ),
    ('forged-syn', 9, 'a SYN+ACK is dropped', forward_forged),
    ('stated-length', 9, 'a cut packet is dropped', skip_length),
    (
        'silent-target',
        10,
        'flows of a target that answers nobody are reset',
        wait_for_silent,
    ),
    (
        'answer-counts',
        10,
        'an answer to anybody shows that a target lives',
        ignore_answers,
    ),
    (
        'answer-echo',
        10,
        'an instance tells only of answers that its own flows have shown',
        pass_on_told_answers,
    ),
    (
        'second-repeat',
        10,
        'first repeats alone never give a target up',
        count_first_repeats,
    ),
    (
        'last-targets',
        10,
        'the last targets are never taken away',
        trust_only_good,
    ),
    (
        'pour-flows',
        11,
        'instances that choose at once spread their flows',
        take_the_idlest,
    ),
    (
        'outliers',
        10,
        'a target that fails more than its peers gets no new flow',
        trust_failing,
    ),
    (
        'overdue',
        10,
        'a request without an answer counts against its target',
        skip_overdue,
    ),
    (
        'short-answers',
        10,
        'unusually short answers count against their target',
        take_short_answers,
    ),
    (
        'outlier-peers',
        10,
        'what all targets suffer speaks against none',
        compare_with_nobody,
    ),
    (
        'outlier-full',
        10,
        'a full target is not taken for one that fails',
        judge_full_targets,
    ),
    (
        'outlier-share',
        10,
        'most targets are never avoided for failures',
        avoid_any_share,
    ),
    (
        'outlier-return',
        10,
        'a target that failed gets flows again',
        avoid_for_good,
    ),
    (
        'zone-first',
        11,
        'instances of other zones do not rush to a new target',
        choose_among_all,
    ),
    (
        'peer-key',
        0,
        'a stranger on the port is not believed',
        believe_strangers,
    ),
    (
        'young',
        7,
        'an instance that has just started gives nobody up',
        judge_at_once,
    ),
    (
        'zone-reach',
        1,
        'a zone that is away gets no new flow',
        judge_targets_alone,
    ),
    (
        'zone-flows',
        1,
        'flows to a zone that is away are given up with few repeats',
        judge_far_targets_alone,
    ),
    (
        'zone-young',
        1,
        'an instance that has just started gives no zone flows up',
        trust_young_verdict,
    ),
    (
        'zone-targets',
        1,
        'one silent target says nothing of its zone',
        believe_one_target,
    ),
    (
        'probe-turns',
        1,
        'instances of a zone take turns at probing one that is away',
        probe_alone,
    ),
    (
        'zone-returns',
        1,
        'all instances hear that a zone is back',
        keep_returns,
    ),
    (
        'return-proved',
        1,
        'only a flow opened since then shows that a zone is back',
        believe_any_answer,
    ),
    (
        'far-loads',
        11,
        'a zone of which nothing is heard does not look empty',
        forget_far_loads,
    ),
    (
        'probe-moves',
        1,
        'a probe moves on with its first copy',
        hold_probes,
    ),
    (
        'backlog',
        10,
        'a repeat that was read with its first packet says nothing',
        count_backlog,
    ),
    (
        'split-reach',
        1,
        'a flow opens on the service of a split that is in reach',
        keep_to_service,
    ),
    (
        'reborn',
        4,
        'a target that has started again is judged anew',
        know_one_lifetime,
    ),
    (
        'unreadable',
        4,
        'an entry that names no target ends no flow',
        leave_out_unreadable,
    ),
    (
        'path-loss',
        14,
        'an instance that loses packets itself gives no target up',
        trust_own_way,
    ),
    (
        'cut-repeats',
        14,
        'repeats to a zone that is cut off say nothing of the way here',
        keep_cut_repeats,
    ),
    (
        'long-work',
        14,
        'first repeats alone may be due to work that takes long',
        blame_way_for_work,
    ),
    (
        'overload-doubt',
        14,
        'silence under a known overload gives no target up',
        weigh_all_repeats,
    ),
    (
        'opening-silence',
        14,
        'a target that takes no flow may serve those that it holds',
        weigh_openings,
    ),
    (
        'late-answer',
        1,
        'a late answer does not lead a flow to another target',
        move_first_copy,
    ),
    (
        'handshake-cookies',
        1,
        'the cookie of a SYN+ACK names no target in later packets',
        put_plain_cookie,
    ),
    (
        'owner-reports',
        1,
        'the target of a flow that two targets answered is reported',
        report_no_owner,
    ),
    (
        'owner-queries',
        1,
        'an instance asks for the target of a flow that it cannot tell',
        ask_for_no_owner,
    ),
    (
        'misled-reports',
        1,
        'a packet whose cookie names another target is noticed',
        overlook_misled_packets,
    ),
    (
        'idle-owner',
        1,
        'the target of an idle flow is known',
        forget_idle_owner,
    ),
    (
        'owner-of-flow',
        1,
        'a report counts for one flow, not for a later one of the same key',
        trust_old_report,
    ),
    (
        'late-copies',
        1,
        'a SYN that is handled after its flow was opened changes nothing',
        open_late_copies,
    ),
    (
        'new-flows',
        1,
        'a new flow from the port of an open one is opened',
        drop_new_flows,
    ),
)
