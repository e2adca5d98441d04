Feature: Callers of a target that has gone learn it before they send

  A flow whose target has crashed is lost.  A caller that reads what it has
  got would find out by its next request, and one that must not run twice
  is lost with it: an inventor's refinement, a student's slot.

  Scenario: Most callers of a crashed target are idle
    When the proof story "idle flows" is played
    Then the proof checkers have no objection
    But they object once the guard "idle-reset" is taken out

  Scenario: They have been idle for long
    An inventor reads for ten seconds.  The flow is open, though it does not
    count as load any more.
    When the proof story "long idle flows" is played
    Then the proof checkers have no objection
    But they object once the guard "idle-kept" is taken out

  Scenario: Nobody asks the crashed target for anything
    No repeat speaks against it; its registration lapses after seconds.
    When the proof story "flows of lapsed target" is played
    Then the proof checkers have no objection
    But they object once the guard "idle-reset" is taken out

  Scenario: Ten instances see one target crash
    Each of them may have seen an answer just before, which it tells to those
    that see repeats.  Told on and on, the target would look alive long after
    it has crashed.
    When the proof story "crash seen by many" is played
    Then the proof checkers have no objection
    But they object once the guard "answer-echo" is taken out

  Scenario: Flows of other targets stay
    A reset of a feed on a target that lives breaks it.
    When the proof story "flows of live targets" is played
    Then the proof checkers have no objection

  Scenario: A target has lost the store, and serves
    Its registration lapses, but its callers get answers.
    When the proof story "flows of target cut off" is played
    Then the proof checkers have no objection

  Scenario: A lossy network beside a target that answers
    Callers of other instances repeat, and here answers show.
    When the proof story "flows beside lost packets" is played
    Then the proof checkers have no objection
    But they object once the guard "answer-counts" is taken out
