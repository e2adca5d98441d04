Feature: The audit trail is whole, bounded and shows what was tampered with

  Background:
    Given a cfg store in memory
    And a cfg of 6 services is published by "amal"
    And 200 cfg changes follow

  Scenario: A long trail keeps the root small and verifies
    Then the cfg root is smaller than 6000 bytes
    And the cfg audit verifies 201 entries

  Scenario Outline: A trail that was tampered with does not verify
    Somebody with access to the platform edits history after the fact. The
    operators who look for the cause of a broken feed would blame the wrong
    change.

    When the cfg audit's <what>
    Then the cfg audit finds "OPS-005" saying "<text>"

    Examples:
      | what                                         | text       |
      | newest segment is removed                    | is missing |
      | newest segment is edited                     | altered    |
      | last entry but one in the root is edited     | altered    |
      | last entry but one in the root is removed    | should     |
      | trail is cut below the root                  | is missing |
      | list of a large change is edited             | altered    |
      | list of a large change is removed            | is missing |

  Scenario: A trail that was rewritten to its end is shown by a noted digest
    A chain that is recomputed from the edited entry on is whole in itself.
    Only a digest that somebody noted elsewhere tells it from the true one.

    Given the cfg audit digest of revision 150 was noted
    When the cfg audit trail is rewritten from revision 100 on
    Then the cfg audit verifies 201 entries
    And the cfg audit with the noted digest finds "OPS-005" saying "not the one noted"

  Scenario: A large first change is kept whole outside the root
    Given a cfg of 500 services with 1000 targets is published by "amal"
    Then the cfg root is smaller than 6000 bytes
    And the newest cfg audit entry has more than 5000 changes

  Scenario: No secret is in the trail
    The trail is shown on screens and kept for years. A key in it would stay
    readable long after it was meant to be known to the platform alone.

    When a cfg key is added and published
    Then the cfg audit objects hold no secret
