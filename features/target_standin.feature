Feature: A target keeps the promises that verdicts rest on

  Scenario: Answers follow from their payloads and come in pieces
    Given a target stand-in "s1" of "search"
    When it is asked to "make 40000 7"
    Then the pieces join to the bytes of seed 7
    And the first piece states identity, incarnation and load

  Scenario Outline: Another identity is refused and nothing runs
    An address was given to another target, or the target has restarted.  A
    packet for search would run at the archive.
    Given a target stand-in "s1" of "search"
    When it is asked as <what>
    Then it refuses with FAILED_PRECONDITION and the word that it did not run
    And nothing has run at it

    Examples:
      | what                |
      | another service     |
      | another target      |
      | another incarnation |

  Scenario: Over its slots and its queue it sheds
    A burst fills both slots and the queue.  What comes then is refused with
    the word that it did not run and a time to come back.
    Given a target stand-in "s1" of "search" with 1 slot and 1 place to wait
    And both are taken
    When it is asked to "echo late"
    Then it refuses with RESOURCE_EXHAUSTED and the word that it did not run
    And it says when to come back

  Scenario: A request whose deadline has passed does not run
    An entry was paused and sends an old request; its caller has given up.
    Given a target stand-in "s1" of "search"
    When it is asked to "hold a1" with a deadline in the past
    Then it refuses with DEADLINE_EXCEEDED and the word that it did not run
    And nothing has run at it

  Scenario: What is cancelled while it waits does not run
    Given a target stand-in "s1" of "search" with 1 slot and 1 place to wait
    And both are taken
    When the one that waits is cancelled and the other ends
    Then only the other has run
    And the slot is free again

  Scenario: A failure after the run carries no word that it did not run
    Given a target stand-in "s1" of "search"
    And its switch "fail" is "after"
    When it is asked to "hold a1"
    Then it fails with INTERNAL and without that word
    And one request has run at it

  Scenario: While it drains it refuses new work and lets the rest end
    Given a target stand-in "s1" of "search" with 1 slot and 1 place to wait
    And both are taken
    And its switch "draining" is "yes"
    When it is asked to "echo late"
    Then it refuses with UNAVAILABLE and the word that it did not run
    And both that were taken end well

  Scenario: Its health and load can lie
    Given a target stand-in "s1" of "search"
    And its switch "health" is "serving"
    And its switch "fail" is "before"
    And its switch "load" is "busy"
    Then the health service says SERVING
    And the load that it states is full

  Scenario: A feed is the same at every target and resumes at a position
    Given a target stand-in "s1" of "search"
    And another target stand-in "s2" of "search"
    When the feed "feed t1 10000 8" is followed at both, at the second from 3
    Then the second gives the same events from position 3 on

  Scenario: A file outside the folder is not read
    Given a target stand-in "s1" of "search" with the folder of the features
    When it is asked to "file target_standin.feature"
    Then the answer is that file
    When it is asked to "file ../pyproject.toml"
    Then it fails with NOT_FOUND and without that word
