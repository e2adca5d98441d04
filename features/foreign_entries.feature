Feature: What another writer leaves in the store harms no instance

  Any program may write to the store, and each instance reads the same
  answer: an error that ends one process ends all of them, at each start.

  Scenario Outline: A route with a bad <field> is left out, alone
    Guards against values that end the packet actor of every instance as soon
    as the route is used.
    Given a store with 3 targets that lists 10 objects a page
    And the configuration has a second route whose <field> is <value>
    When a source lists it
    Then it has 3 targets and the configuration
    And the error names "routes.1" and "<field>"

    Examples: Values of other types, and weights that cannot be added up
      | field   | value        |
      | service | ["search"]   |
      | service | {"a": 1}     |
      | service | 7            |
      | name    | ["r"]        |
      | host    | [198]        |
      | weight  | 1e999        |
      | weight  | "1"          |
      | weight  | true         |

  Scenario: A nested value is told without being quoted
    Guards against an error message whose making fails for a value that the
    parser could read.
    Then a registration with any field nested 100000 deep names no target
