Feature: Each trap of forwarded flows is avoided by its guard

  Targets answer callers directly, so an instance sees one direction only,
  and any packet may come to any instance.  Each story is played as it is,
  and again without the named guard; then the harm must show.

  Scenario: Two targets answer two copies of one SYN
    A SYN+ACK is late, the caller repeats, and a second target answers too.
    The caller acknowledges the first but carries the second one's cookie;
    followed, it would send the inventor's refinement to a target that
    resets it.
    When the proof story "two answers" is played
    Then the proof checkers have no objection
    But they object once the guard "copies-pinned" is taken out

  Scenario: A target's answer is later than the caller's first copy
    A link is full for a moment.  Were the copy sent to another target, both
    would answer, and routers that change their choice just then would lead
    the data to the wrong one, which resets an open feed; seen once on a
    day of a grown deployment.
    When the proof story "late answer" is played
    Then the proof checkers have no objection
    But they object once the guard "late-answer" is taken out

  Scenario: Copies of one SYN on two instances get one service
    Routers move a flow between its first SYN and the copy.  Two instances
    that draw a service each would open one flow at two services.
    When the proof story "split copies" is played
    Then the proof checkers have no objection
    But they object once the guard "copies-agree" is taken out

  Scenario: An address is reused by another service
    A search target ends and its address goes to the archive two seconds
    later.  An instance that is behind still sends search packets there;
    the archive must see that it is not meant.
    When the proof story "reused number" is played
    Then the proof checkers have no objection
    But they object once the guard "target-number" is taken out

  Scenario: Two targets share a cookie
    Long numbers fold into 32 bits and may meet.  Whichever target were
    taken, some callers would reach a target that does not hold their flow.
    When the proof story "shared cookie" is played
    Then the proof checkers have no objection
    But they object once the guard "shared-cookie" is taken out

  Scenario: An instance does not know a target yet
    A new target got a flow from an instance that heard of it first; the
    next packet goes through one that has not.  A reset would end a feed
    that is perfectly well.
    When the proof story "instance behind" is played
    Then the proof checkers have no objection
    But they object once the guard "unknown-silent" is taken out

  Scenario: Registrations lapse while the store is away
    Targets cannot renew their registrations during an outage, and the
    first list after it lacks them.  They live and are back within two
    seconds; resets would break every feed at once.
    When the proof story "registration lapsed" is played
    Then the proof checkers have no objection
    But they object once the guard "lapse-return" is taken out

  Scenario: A lagging replica serves an old configuration
    A route was dropped; a read that is seconds old still has it.  Adopted,
    it would open flows on a route that the operator has closed.
    When the proof story "store goes back" is played
    Then the proof checkers have no objection
    But they object once the guard "rising-facts" is taken out

  Scenario: An old entry in a list does not undo a change
    A watch told that a target drains, then a list brings the entry from
    before.  The target would get new flows and end under them.
    When the proof story "target goes back" is played
    Then the proof checkers have no objection
    But they object once the guard "rising-facts" is taken out

  Scenario: The follower of the store has gone deaf
    Its connection went silent without an error, so it sees no reason to
    worry, and the whole zone would miss a change of the configuration.
    When the proof story "deaf follower" is played
    Then the proof checkers have no objection
    But they object once the guard "age-decides" is taken out

  Scenario: A system starts for the first time
    No configuration has been written yet, so that all instances know too
    little.  If each of them follows the store, they use up its rates while
    targets register.
    When the proof story "first start" is played
    Then the proof checkers have no objection
    But they object once the guard "first-start" is taken out

  Scenario: The first instance to follow goes deaf at the first start
    When the proof story "deaf at first start" is played
    Then the proof checkers have no objection

  Scenario: A suspended instance wakes with old beliefs
    For four seconds the process stood still; a target began to drain.  A
    flow that is placed at once would end with it.
    When the proof story "standstill" is played
    Then the proof checkers have no objection
    But they object once the guard "standstill" is taken out

  Scenario: A draining target gets no new flow and keeps its old ones
    It is the least loaded one, since its callers leave.  A student who
    opens a feed there is cut off when it ends.
    When the proof story "draining" is played
    Then the proof checkers have no objection
    But they object once the guard "draining-closed" is taken out

  Scenario: A forged SYN+ACK is dropped
    Targets treat a SYN+ACK as forged; carried on, it would look as if this
    instance had made it.
    When the proof story "forged opening" is played
    Then the proof checkers have no objection
    But they object once the guard "forged-syn" is taken out

  Scenario: A cut packet is dropped
    A datagram lost its end on the way; carried on, a target would get a
    packet that its sender did not write so.
    When the proof story "cut packet" is played
    Then the proof checkers have no objection
    But they object once the guard "stated-length" is taken out

  Scenario: A crashed target's callers are told at once
    Its registration stays for three heartbeats.  Without a reset each
    request waits for its whole deadline and the worst seconds of the day
    are lost.
    When the proof story "crashed target" is played
    Then the proof checkers have no objection
    But they object once the guard "silent-target" is taken out

  Scenario: A slow target that answers somebody keeps its flows
    Work takes longer than callers wait before they repeat.  Taken for
    dead, the target would lose all its flows while it works.
    When the proof story "slow target" is played
    Then the proof checkers have no objection
    But they object once the guard "answer-counts" is taken out

  Scenario: Late answers of a live target give it up nowhere
    Work takes longer than callers wait before their first repeat.  In a
    zone of many instances each hears of all repeats and of few answers;
    on a quiet day of the grown site open feeds were reset that way.
    When the proof story "late answers" is played
    Then the proof checkers have no objection
    But they object once the guard "second-repeat" is taken out

  Scenario: No target answers, and yet the next flow is placed
    The callers' own network is cut.  If all targets were taken away,
    every caller would be refused when it comes back.
    When the proof story "all targets look bad" is played
    Then the proof checkers have no objection
    But they object once the guard "last-targets" is taken out

  Scenario: Forty instances do not rush to the target that looks idle
    All of them hear at the same moment that one target is empty.  If each
    sends its next flow there, its two slots get forty.
    When the proof story "rush" is played
    Then the proof checkers have no objection
    But they object once the guard "pour-flows" is taken out

  Scenario: A new target is not rushed by instances of all zones
    A release adds an empty target.  Instances of other zones hear seconds
    late of the flows that it has got since, and all feeds that were opened
    meanwhile would share its two slots.
    When the proof story "new target" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-first" is taken out

  Scenario: A stranger on the port is not believed
    Somebody on the network sends beats that name targets of his own.
    When the proof story "stranger" is played
    Then the proof checkers have no objection
    But they object once the guard "peer-key" is taken out

  Scenario: A zone is cut off, and its targets fall silent together
    Each of them holds a few flows of ours.  Judged one by one they take
    seconds to be known as silent, and feeds go on being opened behind the
    cut, where nobody answers.
    When the proof story "zone away" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-reach" is taken out

  Scenario: Few flows lead to each target of a zone that is cut off
    Judged alone, each target would need the requests of several flows, so
    that inventors lose a refinement for each of them.
    When the proof story "flows to zone away" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-flows" is taken out

  Scenario: An instance has just started, and few flows lead to a zone
    It has seen no answer from there, only repeats of what was lost while it
    was down.
    When the proof story "young before far zone" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-young" is taken out

  Scenario: Many instances look whether a zone is back
    It stays cut off for seconds, and each look is a caller's opening that
    nobody answers.  If each instance looked for itself, every third caller
    of a large zone would wait.
    When the proof story "zone probes" is played
    Then the proof checkers have no objection
    But they object once the guard "probe-turns" is taken out

  Scenario: One instance sees that a zone is back
    The others have no flow there any more.  They would stay out of it until
    their own turn to look, and the zones left would queue.
    When the proof story "zone back" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-returns" is taken out

  Scenario: An answer was on its way when a zone was cut off
    One instance sees it late.  If the others took it for the zone's return,
    they would go on opening flows behind the cut until they have found out
    anew, and the callers of these would wait.
    When the proof story "late answer of zone" is played
    Then the proof checkers have no objection
    But they object once the guard "return-proved" is taken out

  Scenario: A zone is back and as loaded as before
    Nobody heard of its load while it was cut off.  If it looked empty, all
    instances of the other zones would open their flows there at once, so
    that the next cut would break all of these.
    When the proof story "loaded zone back" is played
    Then the proof checkers have no objection
    But they object once the guard "far-loads" is taken out

  Scenario: A look at a zone that is still away
    The caller whose opening it was repeats it after 0.2 s.  On the same
    target it would wait until its second copy, 0.6 s in all.
    When the proof story "probe copy" is played
    Then the proof checkers have no objection
    But they object once the guard "probe-moves" is taken out

  Scenario: One crashed target does not speak for its zone
    The zone's other targets had nothing to do for a moment.  If the whole
    zone were left out, the callers' own zone would queue beside idle targets.
    When the proof story "zone with one dead target" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-targets" is taken out

  Scenario: One service of a split is out of reach
    The operator sends a tenth of the feeds to the archive, and the zone
    that has the archive's targets is cut off.  Callers would wait for it
    while the search has room.
    When the proof story "split in reach" is played
    Then the proof checkers have no objection
    But they object once the guard "split-reach" is taken out

  Scenario: An instance reads a backlog after its start
    While it was loaded, openings and their copies, requests and their
    repeats have gathered in its socket.  Read within a millisecond, they
    look as if no target answered anybody, and every feed would be reset.
    When the proof story "backlog" is played
    Then the proof checkers have no objection
    But they object once the guard "backlog" is taken out

  Scenario: An instance that has just started gives nobody up
    It was killed and is back after a second.  It has seen no answer yet, and
    callers repeat what was lost while it was down; on a day of the grown
    site it reset an open feed of a live target that way.
    When the proof story "young instance" is played
    Then the proof checkers have no objection
    But they object once the guard "young" is taken out

  Scenario: A target starts again under its name
    It crashed with feeds on it and is back a second later, idle.  By the
    feeds and the silence of its last lifetime it looks full and dead, and
    the other targets queue for seconds beside it.
    When the proof story "reborn target" is played
    Then the proof checkers have no objection
    But they object once the guard "reborn" is taken out

  Scenario: A living target's entry is written over by another writer
    The entry names no target until the target's next heartbeat.  Taken as
    gone, each of its open feeds would be reset.
    When the proof story "entry written over" is played
    Then the proof checkers have no objection
    But they object once the guard "unreadable" is taken out
