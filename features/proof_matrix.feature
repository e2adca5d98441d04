@fault-matrix
Feature: Every fault at every step of every protocol

  A cell brings its step about, strikes at that moment, lets the world calm
  down and asks all checkers.  A cell whose step was never seen fails.

  Scenario: Each fault strikes once at each step
    Any fault may come at any moment of an open, a relayed hold, a feed, a
    re-home, a handover, a change of configuration.
    When the fault matrix is swept with single faults from seed 0
    Then 371 cells ran and 25 do not apply, each with a reason
    And each fault of the matrix struck
    And no checker objects to any cell of the matrix

  Scenario: The same fault strikes twice, and any two together
    The second fault comes while the repair of the first is under way.
    When the fault matrix is swept with pairs of faults from seed 5000
    Then 253 cells ran and 0 do not apply, each with a reason
    And each fault of the matrix struck
    And no checker objects to any cell of the matrix
