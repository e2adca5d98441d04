Feature: What another writer leaves in the store harms no instance

  Any program may write to the store, and each instance reads the same
  answer: an error that ends one process ends all of them, at each start.

  Scenario: Any entry of another writer leaves the others in force
    Guards against a value of any type, depth or size that ends an actor,
    hides a target or a route, or breaks what an instance tells its peers.
    Then hypothesis finds no foreign entries that harm an instance

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

  Scenario Outline: Routes that are <routes> leave the last ones in force
    Guards against a configuration that nobody can read taking all routes away.
    Given a store with 3 targets that lists 10 objects a page
    When a source lists it
    And the configuration is replaced by one whose routes are <routes>
    Then the next watch leaves the routes as they are, and is the last call

    Examples: No list
      | routes         |
      | "none"         |
      | {"443": "r"}   |
      | 7              |

  Scenario: Services that are no list leave the routes in force
    Guards against a field beside the routes that hides them.
    Given a store with 3 targets that lists 10 objects a page
    And the configuration has services that are no list
    When a source lists it
    Then it has 3 targets and the configuration

  Scenario Outline: A shared key that is <value> is not used
    Guards against a key with which no message can be signed, which ended
    every instance, and one with which anyone can sign.
    Given a store with 3 targets that lists 10 objects a page
    And the entry of the key holds <value>
    When an instance learns the key after 3 tries
    Then it has the key that was written then

    Examples: Lengths and types
      | value          |
      | ""             |
      | "6b6579"       |
      | 65 bytes       |
      | "no digits"    |
      | ["00"]         |
      | null           |

  Scenario Outline: An answer whose <field> is <value> ends nothing
    Guards against an answer of a proxy that lets every target seem to be gone,
    or that ends the task that keeps the directory.
    Given a store with 3 targets that lists 10 objects a page
    When a source lists it
    And the store answers with <field> set to <value>
    Then a list and a watch fail with a code

    Examples: Fields of another type
      | field          | value   |
      | store_revision | "9"     |
      | store_revision | null    |
      | store_revision | true    |
      | store_revision | [9]     |
      | items          | {}      |
      | items          | ""      |
      | items          | 0       |

  Scenario: A snapshot with any value in it is refused or adopted
    Guards against a peer of an earlier version that passes on what it did not
    check, such as a route to a service that is a list.
    Then hypothesis finds no value in a snapshot that harms an instance

  Scenario: A text that is cut off is passed over at once
    Guards against minutes without a packet: the search began anew at each
    quote in a text without an end, at a cost that grows with its square.
    Then a cut text with 1000 escaped quotes is one token
    And a cut text that ends with a backslash is one token

  Scenario: A nested value is told without being quoted
    Guards against an error message whose making fails for a value that the
    parser could read.
    Then a registration with any field nested 100000 deep names no target

  Scenario: A drained zone with an odd name leaves the metrics readable
    Guards against one order of another writer that hides all metrics.
    Given the name of a drained zone with quotes, line breaks and a surrogate
    When the metrics page is made
    Then each of its lines has the form that collectors read
