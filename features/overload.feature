Feature: Under overload, openings are refused by priority and fairly

  Targets whose slots and queues are full answer "not run", and callers
  retry at once.  What is placed beyond the room of the targets costs links
  and processors, and the requests that callers need most drown in it.

  Scenario: A route says what its requests need
    Given routes with priorities, goals, timeouts and types
    Then each route tells what the configuration says of its requests
    And instances pass that on in snapshots

  Scenario: A field of a route cannot be read
    A route that is lost for a word about its requests serves nobody.
    Given a route whose priority, goal, timeout and type are malformed
    Then the route is in force with defaults and each error names its field

  Scenario: A snapshot of an earlier version tells no policies
    Without them an instance that starts during an upgrade learns no route.
    Given routes with priorities, goals, timeouts and types
    Then a snapshot without policies still loads
