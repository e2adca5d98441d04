Feature: The fabric stand-in sprays, loses, doubles and reorders by seed

  Scenario: Every entry gets a share and sees one address for a caller
    Given a fabric stand-in before three echoing entries
    When a caller sends 300 datagrams through it
    Then each entry gets between 60 and 140 of them
    And all entries see the same caller address
    And the caller has all 300 answers from the fabric's address

  Scenario: Rates of loss, duplication and reordering are kept
    Given a path with 10 % loss, 10 % duplication and 20 % reordering
    Then of 20000 datagrams each fate has its share within 1 %
    And the same seed gives the same fates

  Scenario: A zone can be cut and healed, and entries changed, while it runs
    Given a fabric stand-in before three echoing entries
    When the zone of the first entry is cut
    And a caller sends 100 datagrams through it
    Then the first entry gets none of them
    When nothing is cut and only the first entry is left
    And a caller sends 100 datagrams through it
    Then the first entry gets all of them
