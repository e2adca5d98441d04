Feature: Each trap is avoided, and its guard is what avoids it

  Each scenario plays one short story on engines that are driven by hand,
  first as they are, then with the named guard taken out.  The second run
  must show the harm, or the story proves nothing.

  @trap-01 @must-true-refusal
  Scenario: A late copy of a refused hold does not run
    A target sheds a hold and the student is told that it was not placed.
    Half a minute later a delayed copy of the datagram arrives.  If it ran,
    an aircraft would be booked that the student believes to be free.
    When the proof story "refused copy" is played
    Then the proof checkers have no objection
    But they object once the guard "window" is taken out

  @trap-01 @must-true-refusal
  Scenario: A cancel that overtakes its hold keeps the hold from running
    Datagrams overtake each other.  The student cancels, is told that the
    hold was not placed, and then the hold itself comes in.
    When the proof story "cancelled copy" is played
    Then the proof checkers have no objection
    But they object once the guard "cancel-tombstone" is taken out

  @trap-02 @must-true-refusal
  Scenario: An entry that is not the home never says not run
    One copy of a hold ran at the home; another reached an entry that can
    not even read the token.  If that one said "not run", the student would
    book the aircraft a second time.
    When the proof story "foreign refusal" is played
    Then the proof checkers have no objection
    But they object once the guard "refuse-same-id" is taken out

  @must-true-refusal
  Scenario: A refused second try does not hide that the first may have run
    A connection breaks while a question runs; the entry tries it again at
    a second target, which sheds it.  The inventor must not be told that it
    was not run.  This keeps what seed 524 of the small world once showed.
    When the proof story "second try refused" is played
    Then the proof checkers have no objection
    But they object once the guard "doubt-kept" is taken out

  @trap-03 @must-at-most-once
  Scenario: An idle flow's window outlives the memory pressure
    A flow is quiet for almost a minute while its token is still valid.  An
    old copy of its hold turns up after that.  With the window gone the hold
    would be placed twice.
    When the proof story "idle copy" is played
    Then the proof checkers have no objection
    But they object once the guard "window-kept" is taken out

  @trap-03 @must-at-most-once
  Scenario: An expired token makes no new window
    Flow and token have expired and the home has forgotten both.  An old
    copy that made a fresh window would run again.
    When the proof story "expired copy" is played
    Then the proof checkers have no objection
    But they object once the guard "token-expiry" is taken out

  @trap-04 @must-at-most-once
  Scenario: A home that restarted at its address owns no old ids
    An entry is replaced at the same address within a second and has
    forgotten what it ran.  A copy of a hold that it ran before comes in.
    When the proof story "restarted home" is played
    Then the proof checkers have no objection
    But they object once the guard "boot-nonce" is taken out

  @trap-05 @must-at-most-once
  Scenario: A hold on a broken connection is not sent again
    The target runs the hold and the connection breaks before its answer.
    A second sending would book the aircraft twice.
    When the proof story "broken connection" is played
    Then the proof checkers have no objection
    But they object once the guard "no-blind-retry" is taken out

  @trap-04 @must-at-most-once
  Scenario: A successor that restarted takes no repeated handover
    A successor takes a flow, runs a hold, and is replaced at its address
    before its answer to the handover is in.  The leaving entry repeats it;
    the old window would let a copy of that hold run again.
    When the proof story "repeated handover" is played
    Then the proof checkers have no objection
    But they object once the guard "handover-boot" is taken out

  @trap-08 @must-own-service
  Scenario: An entry that lags does not guess a target
    A new configuration has not reached an entry yet.  It gets a packet of
    a dead home's flow whose target it has never heard of.  Any other target
    of its old list may have left long ago.
    When the proof story "old revision" is played
    Then the proof checkers have no objection
    But they object once the guard "behind" is taken out

  @trap-11 @must-config-in-force
  Scenario: An older revision is never put in force
    The platform's store answers from a replica that lags.  Going back
    would bring back a target that has left, and operators would see the
    revision fall.
    When the proof story "older read" is played
    Then the proof checkers have no objection
    But they object once the guard "rising-revisions" is taken out

  @trap-12 @must-feed-survives
  Scenario: A live home that the instance list lacks keeps its flows
    The list lags and lacks an entry that serves.  If its flows were taken
    away, each hold in progress would be left in doubt.
    When the proof story "lagging list" is played
    Then the proof checkers have no objection
    But they object once the guard "list-is-hint" is taken out

  @trap-15
  Scenario: Retries are a small share of the requests
    All targets of a service fail at once.  Without a budget each question
    is sent again until its deadline, and the load keeps the targets down.
    When the proof story "retry storm" is played
    Then the proof checkers have no objection
    But they object once the guard "retry-budget" is taken out

  @trap-17
  Scenario: A dead home's flows are re-homed at a pace
    Two thousand flows lose their home in one moment and all speak at once.
    Re-homing all of them in one turn would stall the flows that are well.
    When the proof story "mass rehoming" is played
    Then the proof checkers have no objection
    But they object once the guard "pace" is taken out

  @trap-18
  Scenario: A key that is only published does not sign
    Keys reach the entries unevenly.  A token signed at once with the new
    key would be refused by every entry that lacks it.
    When the proof story "key rotation" is played
    Then the proof checkers have no objection
    But they object once the guard "publish-then-sign" is taken out

  @trap-18
  Scenario: A retiring key still verifies
    Tokens live for a quarter of an hour.  A key that stops verifying when
    the next one begins to sign would cut every flow.
    When the proof story "old key retired" is played
    Then the proof checkers have no objection
    But they object once the guard "retire-late" is taken out

  @must-true-refusal
  Scenario: A key ring that signs nothing does not end the packet task
    An operator retires the last signing key and a home dies.  Its flows'
    packets reach an entry that can mint no token; an error there would end
    the task that serves all other flows.
    When the proof story "no signing key" is played
    Then the proof checkers have no objection
    But they object once the guard "rehome-problem" is taken out

  @must-at-most-once @must-graceful-stop
  Scenario: A handover that arrives twice brings back no old window
    The answer to a handover is lost and the leaving entry sends it again.
    Meanwhile the successor has run a hold, which the old window lacks.
    When the proof story "doubled handover" is played
    Then the proof checkers have no objection
    But they object once the guard "handover-once" is taken out

  @must-whole-answer
  Scenario: A caller that acknowledges early meets no crash
    The last piece is acknowledged before the call has formally ended, and
    the caller asks again.  An error here would stop all flows of the entry.
    When the proof story "early ack" is played
    Then the proof checkers have no objection

  Scenario: A packet does not circle between two entries
    Two entries each take the other for the home of a flow.  Without a
    limit one packet would keep both busy for ever.
    When the proof story "hopping" is played
    Then the proof checkers have no objection
    But they object once the guard "hop-limit" is taken out

  @trap-06 @must-at-most-once
  Scenario: A process that wakes late sends nothing old
    The process stands still between its decision and the sending.  The
    student has long been told that it timed out; the hold must not be
    placed now.
    When the proof story "woken late" is played
    Then the proof checkers have no objection
    But they object once the guard "deadline-at-send" is taken out

  @trap-07 @must-own-service
  Scenario: A reused address passes no foreign answer on
    The address of a booking target now belongs to a briefing target, which
    answers politely with its own data.
    When the proof story "reused address" is played
    Then the proof checkers have no objection
    But they object once the guard "answer-identity" is taken out

  @trap-09 @must-config-in-force
  Scenario: A cold start with the platform down takes the newest of its peers
    The platform is away and an entry is replaced.  The first peer to answer
    has been cut off and is behind; its configuration brings back targets
    that have left.
    When the proof story "cold start" is played
    Then the proof checkers have no objection
    But they object once the guard "cold-wait" is taken out

  @trap-09 @must-true-refusal
  Scenario: An entry without any configuration refuses openly
    Neither platform nor peer has given a configuration.  Callers are told
    after how long to come back, in place of waiting in vain.
    When the proof story "no cfg" is played
    Then the proof checkers have no objection
    But they object once the guard "no-cfg-refusal" is taken out

  @trap-10 @must-config-in-force
  Scenario: A write whose answer was lost is told as won
    The change is in force, but its author heard nothing.  Told that it was
    lost, the author would make it again over what others did since.
    When the proof story "lost write answer" is played
    Then the proof checkers have no objection
    But they object once the guard "write-id" is taken out

  @trap-13
  Scenario: A target that fails fast draws no traffic
    A broken target ends each request in a millisecond and always looks
    idle.  Inventors would see most of their searches fail.
    When the proof story "fast failure" is played
    Then the proof checkers have no objection
    But they object once the guard "outcomes-first" is taken out

  @trap-14
  Scenario: Six entries do not herd to the one idle target
    A load report reaches all entries in the same moment.  If each followed
    it alone, the idle target would be the overloaded one a second later.
    When the proof story "herd" is played
    Then the proof checkers have no objection
    But they object once the guard "own-counts" is taken out

  @trap-16 @must-whole-answer
  Scenario: A late chunk of the old id space completes no newer answer
    A flow is re-homed and its numbers begin again.  A chunk of the old
    number one arrives after the new number one was asked; the new chunks
    overtake each other as well.
    When the proof story "late chunk" is played
    Then the proof checkers have no objection
    But they object once the guard "epoch-check" is taken out

  @trap-19
  Scenario: A zone that is cut off is given no flows from this side
    All targets behind the cut look bad at once, more than half of all.  The
    rule for bad times would spread new flows over them again.
    When the proof story "dark zone" is played
    Then the proof checkers have no objection
    But they object once the guard "dark-zones" is taken out

  @trap-20
  Scenario: Two hundred requests for six slots leave a short queue
    All want the same entry in one moment.  Whoever can not be served in
    time is refused at once, truly not run, and told when to come back.
    When the proof story "full queue" is played
    Then the proof checkers have no objection
    But they object once the guard "queue-bound" is taken out

  @trap-20 @must-true-refusal
  Scenario: A status without the contract's proof is a doubt
    The library makes the same status by itself, long after the request
    has run.
    When the proof story "unproven shed" is played
    Then the proof checkers have no objection
    But they object once the guard "refusal-proof" is taken out

  Scenario: A hold that lay in the socket of a sleeping home does not run late
    An entry instance is frozen for a minute, with a hold in its socket.  The
    student has long given up.  Were the deadline counted from the waking,
    the aircraft would be booked for somebody who no longer wants it.
    When the proof story "slept through" is played
    Then the proof checkers have no objection
    But they object once the guard "socket-time" is taken out

  @must-graceful-stop
  Scenario: A caller that misses its new token is told again
    An entry is replaced and the one datagram that tells an idle student's
    browser of the new token is lost.  Its next hold would meet an entry
    that is gone, and end in doubt though it never ran.
    When the proof story "missed move" is played
    Then the proof checkers have no objection
    But they object once the guard "tell-again" is taken out

  @must-graceful-stop @must-at-most-once
  Scenario: A closed flow stays closed at its successor
    A student leaves, the flow is handed over, and a hold that was on its
    way since before arrives.  Nobody waits for it any more.
    When the proof story "closed flow" is played
    Then the proof checkers have no objection
    But they object once the guard "closed-kept" is taken out

  @must-graceful-stop @must-feed-survives
  Scenario: All entries are replaced under work, and nobody is cut
    Each entry leaves in turn while holds, downloads and feeds go on.  No
    caller is left in doubt, no flow loses its id space, no feed has a gap.
    When the proof story "rolling replacement" is played
    Then the proof checkers have no objection
    But they object once the guard "finish-first" is taken out

  @must-drain-target
  Scenario: A leaving target gets no new work after four seconds
    One target is drained by operators, another is listed as leaving.
    When the proof story "drained targets" is played
    Then the proof checkers have no objection
    But they object once the guard "no-new-work" is taken out

  @must-feed-survives
  Scenario: Feeds survive entries and targets that change together
    Two targets are drained while all entries are replaced.  Each feed goes
    on without a gap or a doubled event.
    When the proof story "planned changes" is played
    Then the proof checkers have no objection
    But they object once the guard "feed-position" is taken out

  @must-config-in-force
  Scenario: Changes are in force everywhere within seconds and stay
    Four changes follow each other while reads lag; a fifth comes while all
    watches are dead.  No entry goes back, all have the newest soon.
    When the proof story "many changes" is played
    Then the proof checkers have no objection
    But they object once the guard "rising-revisions" is taken out
