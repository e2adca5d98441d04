Feature: Forwarded flows through real processes

  Three instances, targets, callers, routers and the store, each meeting the
  others over loopback only.

  Background:
    Given a store with two services of two targets each
    And three forwarding instances behind routers

  Scenario: A calm day is served
    When 40 flows are opened and each makes 2 requests
    Then every request is answered by a target of its own service
    And no target got a packet that was changed or meant for another

  Scenario: A planned stop resets no flow
    Instances are replaced many times a day.  Routers need a second to let
    go of one; if it ended at once, its packets would be lost, and
    so would be the feed that waits for them.
    When 40 flows are opened and each makes 1 request
    And an instance is asked to stop while the flows make requests
    Then it ends by itself within its grace period
    And no flow was reset and every request was answered

  Scenario: Instances that are paused are asked to stop meanwhile
    Guards against a signal that wakes a thread which runs no handlers.
    When all instances are paused, asked to stop and continued
    Then all end by themselves within their grace period

  Scenario: New settings are told to an instance that has just started
    Guards against the signal's default, which ends the process.
    When an instance starts and is told of new settings while it loads
    Then it becomes ready

  Scenario: Two targets answer a SYN and its copy, and routers change
    Guards against data that is sent to a target which does not hold its flow.
    When 16 flows are opened whose copies reach another instance
    And the targets repeat their SYN+ACKs and routers choose "n1"
    And the targets repeat their SYN+ACKs and routers choose "n3"
    And instance "n2" ends and starts again
    And the targets repeat their SYN+ACKs and routers choose "n2"
    Then no flow was reset and every request was answered

  Scenario: A killed instance takes no flow with it
    A machine loses power.  Its flows are on targets, and any other instance
    can carry their packets.
    When 40 flows are opened and each makes 1 request
    And an instance is killed while the flows make requests
    Then no flow was reset and every request was answered

  Scenario: A draining target gets no new flow, a dropped route none either
    The operator's change goes to one instance that follows the store, and
    the others must hear of it within seconds.
    When 40 flows are opened and each makes 1 request
    And a target begins to drain and a route is dropped
    Then within 3 s no new flow reaches the target or the route
    And the flows that the target holds go on
    And explaining a refused flow tells "has no route to this address"

  Scenario: Another writer leaves an entry that no JSON parser reads
    Guards against one entry that hides all changes, or ends all processes.
    When 40 flows are opened and each makes 1 request
    And another writer leaves entries with nested values
    And a target begins to drain and a route is dropped
    Then within 3 s no new flow reaches the target or the route
    And the flows that the target holds go on
    And no instance has ended

  Scenario: Instances start and take over beside entries that no parser reads
    Guards against an error at the first list, which ends each new process.
    Given another writer leaves entries with nested values
    When instance "n1" ends and starts again
    And instance "n2" ends and starts again
    And instance "n3" ends and starts again
    And 40 flows are opened and each makes 1 request
    And a target begins to drain and a route is dropped
    Then within 3 s no new flow reaches the target or the route
    And no instance has ended

  Scenario: A route names a list as its service
    Guards against a field of another type that ends all instances.
    When 40 flows are opened and each makes 1 request
    And a target drains and a route gives way to one whose service is a list
    Then within 3 s no new flow reaches the target or the route
    And flows of the route to a list are refused
    And the flows that the target holds go on
    And no instance has ended

  Scenario: An operator drains a zone and takes it back
    Its machines are about to go.  The order goes to one instance that
    follows the store; a feed that another one opens there is cut off.
    When 40 flows are opened and each makes 1 request
    And an operator drains the zone of all targets
    Then within 3 s every new flow is refused
    And the flows go on through all instances
    When an operator takes the zone of all targets back
    Then within 3 s every new flow is opened

  Scenario: A zone without targets of its own is cut off
    Guards against parts that withdraw a zone alone and not together.
    Given all targets are in another zone
    When 40 flows are opened and each makes 1 request
    And the other zone is cut off while callers go on
    Then all instances leave the rotation together
    And explaining instance "n1" tells "zone withdrawn"
    When the other zone is in reach again
    Then all instances are in rotation and new flows are opened

  Scenario: The store is away, and instances restart without it
    An outage must not end open flows.  An instance that restarts then knows
    nothing; what it learns comes from the others, never from a guess.
    When 40 flows are opened and each makes 1 request
    And the store falls silent and an instance is killed and started again
    Then the flows go on through all instances
    And the restarted instance serves again without the store
    And within 10 s of the store's return a new route is in force everywhere

  Scenario: The store is restored from a backup that lacks the key of the instances
    Guards against changes that are refused for a reissued revision.
    When 40 flows are opened and each makes 1 request
    And the store is restored from a backup of before the instances' start
    And a target begins to drain and a route is dropped
    Then within 3 s no new flow reaches the target or the route
    And the flows that the target holds go on
    And the store has the key that it had
    And an instance that starts again hears the two others

  Scenario: A crashed target's callers are told at once
    It sends nothing any more, and its registration stays for seconds.
    When 40 flows are opened and each makes 1 request
    And a target crashes while the flows make requests
    Then its flows are reset before their callers give up
    And the next 20 flows all open on other targets
    And explaining a flow that was reset names the target and "had answered nobody"

  Scenario: An instance tells its metrics and answers nothing else
    When 40 flows are opened and each makes 1 request
    Then the metrics of all instances together count 40 placed flows
    And a page that does not exist gives 404, another method 405

  Scenario: An instance that cannot open one of its ports ends
    Guards against half an instance that is ready and hears no SIGTERM.
    When an instance starts whose metrics port is taken
    Then its process ends with exit code 3

  Scenario: An instance that loses one of its actors ends
    The actor of the directory meets an error that nobody thought of.  The
    process would look ready to routers and place flows on targets that are
    long gone.
    When the directory of an instance crashes
    Then its process ends with exit code 3
