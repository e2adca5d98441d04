Feature: Flows of targets that serve are not reset because packets are lost

  Scenario: The link of an instance fills, and all its callers repeat
    Guards against giving up targets whose answers are late or lost.
    When the proof story "full link" is played
    Then the proof checkers have no objection
    But they object once the guard "path-loss" is taken out

  Scenario: Instances with full links are no witnesses for the others
    Guards against giving up targets on what choked instances tell.
    When the proof story "witnesses with full links" is played
    Then the proof checkers have no objection
    But they object once the guard "path-loss" is taken out

  Scenario: A zone is back whose targets answer what was repeated meanwhile
    Guards against an instance that mistrusts itself while the next cut begins.
    When the proof story "repeats answered after cut" is played
    Then the proof checkers have no objection
    But they object once the guard "cut-repeats" is taken out

  Scenario: Requests take longer than callers wait before they repeat
    Guards against trust in crashed targets and lost zones while all others are slow.
    When the proof story "slow targets" is played
    Then the proof checkers have no objection
    But they object once the guard "long-work" is taken out

  Scenario: Requests are lost while targets are known to shed
    Guards against giving up a target on what too much load explains as well.
    When the proof story "silence under overload" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-doubt" is taken out

  Scenario: Two callers of an instance of few flows lose all their answers
    Guards against flows that are reset before another instance has answered.
    When the proof story "few flows on lossy path" is played
    Then the proof checkers have no objection

  Scenario: A full target answers no opening
    Guards against taking a full target for a crashed one.
    When the proof story "full target" is played
    Then the proof checkers have no objection
    But they object once the guard "opening-silence" is taken out

  Scenario: No target answers while callers go on
    Guards against memory that grows for as long as nobody answers.
    Given an instance to which 1000 requests a second come
    When no target answers for 10 s
    Then it keeps no more than 1 s of them

  Scenario: A part of many requests is lost
    Guards against a lossy instance that spends its processor on counting.
    Given an instance to which 2000 requests a second come
    When one of 3 is lost for 3 s
    Then it looks at no more than 10 targets for each

  Scenario: Targets answer what was repeated long before
    Guards against an instance that mistrusts itself for what is long past.
    Then hypothesis finds no answer after which older repeats count
