Feature: Verdicts tell a caller what it may conclude

  Scenario: A refusal of a request that did not run forbids the same id
    Given a refusal with code "REQ-003" and 250 ms to wait
    Then it says not run
    And the same id may not be sent again
    And the caller is told to come back after 250 ms
