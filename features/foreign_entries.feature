Feature: What another writer leaves in the store harms no instance

  Any program may write to the store, and each instance reads the same
  answer: an error that ends one process ends all of them, at each start.

  Scenario: A nested value is told without being quoted
    Guards against an error message whose making fails for a value that the
    parser could read.
    Then a registration with any field nested 100000 deep names no target
