Feature: Real processes die, stand still and are replaced under work

  Scenario: Feeds and holds survive dead, paused and replaced processes
    Three entries, two targets, a platform and a fabric run as processes of
    their own, and a caller holds twelve flows, each with a feed and one hold
    after another.  One entry is killed hard; another stands still until its
    peers have taken over its flows, and wakes; the platform dies; the third
    entry is stopped as planned.
    Given the proof processes with 12 flows at work
    When each proof feed has 10 events more
    And proof entry 1 is killed hard
    And each proof feed has 10 events more
    And proof entry 2 stands still while each proof feed gets 10 events more
    And each proof feed has 10 events more
    And the proof platform is killed hard
    And each proof feed has 10 events more
    And proof entry 3 is stopped as planned
    And each proof feed has 10 events more
    And the proof holds come to their end
    Then no proof feed has a gap or a doubled event
    And no proof hold ran twice or against its verdict
    And the planned stop ended with exit code 0
