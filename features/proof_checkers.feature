Feature: The checkers of the proofs catch what they are there for

  A checker that passes everything would make every proof worthless, and
  nobody would notice.  So each one is given a good tape, which it must
  pass, and the same tape with one violation planted, which it must catch.

  Scenario: A good tape passes every checker
    Given a proof tape of one hold, one refused hold and one feed
    Then every proof checker passes it

  Scenario Outline: A planted violation is caught
    Given a proof tape of one hold, one refused hold and one feed
    When the proof violation "<violation>" is planted
    Then the proof checker "<checker>" catches it

    Examples:
      | violation                         | checker        |
      | the id runs twice                 | at most once   |
      | the hold runs under a second id   | at most once   |
      | the refused hold runs later       | true refusal   |
      | done without a run                | true done      |
      | an answer without a run           | true done      |
      | refused and then answered         | stable verdict |
      | the answer is cut                 | whole answer   |
      | the answer is another one         | whole answer   |
      | the request runs at the archive   | own service    |
      | the feed has a gap                | feed           |
      | the feed doubles an event         | feed           |
      | the feed carries a foreign event  | feed           |
      | the revision falls                | revision       |
      | a leaving target gets a hold late | drain          |
      | a leaving target gets a feed late | drain          |
