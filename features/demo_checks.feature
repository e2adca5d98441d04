Feature: The demo's checks catch what they are there for

  A check that passes everything would let the demo report "nothing wrong"
  over a doubled hold.  Each gets a good run, and the same with one fault.

  Scenario: A good run passes
    Given the records and dumps of a good demo run
    Then the demo's checks find nothing

  Scenario Outline: A planted fault is counted
    Given the records and dumps of a good demo run
    When the demo fault "<fault>" is planted
    Then the demo's checks count 1 as "<kind>"

    Examples:
      | fault                               | kind           |
      | a hold ran twice under one id       | doubled        |
      | a hold ran under two ids            | doubled        |
      | an answer is another one            | answers_wrong  |
      | a refused hold ran                  | false_refusals |
      | a hold told as done never ran       | lost           |
      | a target ran for a foreign flow     | misrouted      |
      | a target was asked for another name | misrouted      |
      | a feed ended                        | feeds_broken   |
      | a feed stalled                      | feeds_broken   |
      | a feed has another event            | feeds_broken   |
      | a feed never began                  | feeds_broken   |
