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

  Scenario: Callers ask for twice what the targets serve
    Without the gate most tries are shed, urgent ones like all others.
    When the proof story "overload doubled" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-gate" is taken out

  Scenario: Urgent requests alone do not fit
    When the proof story "overload sixfold" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-gate" is taken out

  Scenario: An instance starts while the targets are overloaded
    Others must not give way to it for good.
    When the proof story "overload new instance" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-gate" is taken out

  Scenario: One caller floods a service
    The flood must be refused, not those who ask for little.
    When the proof story "overload flood" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-fair" is taken out

  Scenario: Callers of equal demand get about the same
    Nobody may starve by the draw.
    When the proof story "overload equal callers" is played
    Then the proof checkers have no objection

  Scenario: A rush is over before a caller's first copy
    Refusals would go on when there is room again.
    When the proof story "overload short" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-signs" is taken out

  Scenario: An overload ends
    Callers must not be refused for a load that is over.
    When the proof story "overload ends" is played
    Then the proof checkers have no objection

  Scenario: A configuration drops the route whose openings are refused
    Operators must not wait for the end of an overload that is over.
    When the proof story "overload route dropped" is played
    Then the proof checkers have no objection

  Scenario: Operators see what is admitted
    Then the page of metrics shows the admitted share of each priority

  Scenario: One command explains a refused opening
    Given the log of "e1"
      """
      {"time": "2026-12-03 10:00:00,000", "level": "WARNING", "part": "cornelgap.forwarding", "message": "forwarding: overload of a service", "instance": "e1", "service": "search", "state": "begins", "shed_share": 0.4, "admitted": {"0": 1, "2": 0.3}, "callers_limited": 3}
      {"time": "2026-12-03 10:00:00,100", "level": "INFO", "part": "cornelgap.forwarding", "message": "forwarding: flow reset", "instance": "e1", "flow": "100.64.0.7:40001>198.18.0.1:443", "why": "overloaded", "copy": 0, "age_s": 0.4}
      """
    When "100.64.0.7:40001" is explained
    Then the explanation has the lines
      | time            | instance | text                                   |
      | 10:00:00.000000 | e1       | service search, state begins           |
      | 10:00:00.100000 | e1       | flow reset because the targets of the  |
    And it ends with "the targets of the service shed"

  Scenario: A minority of the targets answers errors
    An error is as short as a refusal; the other targets have room.
    When the proof story "overload failing minority" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-spread" is taken out

  Scenario: An overload ends while targets answer errors
    A few errors among all answers must not hold what is admitted down.
    When the proof story "overload ends in errors" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-busy" is taken out

  Scenario: Callers ask for nearly all that the targets serve
    When the proof story "overload room" is played
    Then the proof checkers have no objection

  Scenario: All instances lose power and callers return at once
    The rush after an outage is shed for half a second, and fits then.
    When the proof story "overload after power" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-young" is taken out

  Scenario: Worse requests make better ones shed
    Urgent openings that fit by themselves must not be cut for them.
    When the proof story "overload open flows" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-priority" is taken out

  Scenario: An opening that was passed on is never refused
    A refusal says that nothing has run; a target may hold the flow.
    When the proof story "overload copies" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-copies" is taken out
    And they object once the guard "overload-passed" is taken out

  Scenario: Nineteen of twenty answers are sheds
    The gate must not open when the overload is worst.
    When the proof story "overload mostly sheds" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-usual" is taken out

  Scenario: Whole answers differ in length
    Short ones among them must not look like an overload.
    When the proof story "overload answers vary" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-quick" is taken out

  Scenario: The answers of a route become short for good
    A new version of a service must not look overloaded for ever.
    When the proof story "overload shorter answers" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-habit" is taken out

  Scenario: A service with one priority
    When the proof story "overload one priority" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-gate" is taken out

  Scenario: Routes that name no priority
    When the proof story "overload unnamed" is played
    Then the proof checkers have no objection

  Scenario: The part is taken out for a trial
    When the proof story "overload switched off" is played
    Then the proof checkers have no objection

  Scenario: The fair level admits what the budget holds
    Then hypothesis finds no callers whose fair level breaks the budget

  Scenario: A change of shares keeps its bounds
    A share of zero would starve a priority and hide that there is room.
    Then hypothesis finds no answers that break the bounds of shares

  Scenario: Instances with different views share targets
    Then hypothesis finds no views in which slots idle or callers starve

  Scenario: All targets answer errors, and none is full
    Guards against refusals that make no error fewer.
    When the proof story "overload errors of all" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-errors" is taken out

  Scenario: Targets with room fail a small or a large part of all requests
    Guards against refusals for errors, which no refusal makes fewer.
    When the proof story "overload errors by share" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-errors" is taken out

  Scenario: Only the requests of one route fail
    Guards against refusals that follow the errors of another route.
    When the proof story "overload errors of route" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-errors" is taken out

  Scenario: Requests fail when all instances start
    Guards against errors that stay unknown where no usual wait is known.
    When the proof story "overload errors at start" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-errors" is taken out

  Scenario: Requests fail during an overload
    Guards against cuts for errors beside sheds, and against errors that are
    over and still taken off.
    When the proof story "overload errors under load" is played
    Then the proof checkers have no objection
    But they object once the guard "overload-errors" is taken out

  Scenario: One instance has most of the callers
    Guards against refusals that depend on which instance a caller reaches.
    When the proof story "overload uneven callers" is played
    Then the proof checkers have no objection

  Scenario: Nine in ten requests of one route fail
    Guards against errors that stay unknown since few answers are left.
    When the proof story "overload errors of nearly all" is played
    Then the proof checkers have no objection
