Feature: A flow stays on its target though two targets got its SYN

  Routers may send a copy of a SYN to another instance, which chooses a
  target of its own.  The target that the caller did not accept repeats its
  SYN+ACK for seconds, and the caller's packets then carry its cookie.

  Scenario: Routers change after a copy was placed by another instance
    Guards against data that is sent to the target that was not accepted.
    When the proof story "late syn ack" is played
    Then the proof checkers have no objection
    But they object once the guard "handshake-cookies" is taken out

  Scenario: Routers change after an instance has moved a copy
    Guards against the same with one instance, which moves the second copy.
    When the proof story "late syn ack of moved copy" is played
    Then the proof checkers have no objection
    But they object once the guard "handshake-cookies" is taken out

  Scenario: The instance that saw the flow open is gone
    Guards against a flow whose target is known to no instance that is left.
    When the proof story "owner reported" is played
    Then the proof checkers have no objection
    But they object once the guard "owner-reports" is taken out

  Scenario: Routers change while the first request is unanswered
    Guards against a handshake cookie that counts more than a report.
    When the proof story "owner reported before first answer" is played
    Then the proof checkers have no objection
    But they object once the guard "owner-reports" is taken out

  Scenario: An instance starts after the report on a flow
    Guards against a flow that is silent until its request fails.
    When the proof story "owner asked" is played
    Then the proof checkers have no objection
    But they object once the guard "owner-queries" is taken out

  Scenario: The caller accepts the first target after all
    Guards against a report that names the target of the copy.
    When the proof story "first target accepted" is played
    Then the proof checkers have no objection
    But they object once the guard "owner-reports" is taken out

  Scenario: A copy is placed after the flow was opened elsewhere
    Guards against an instance that notices the wrong cookie and keeps quiet.
    When the proof story "misled packet reported" is played
    Then the proof checkers have no objection
    But they object once the guard "misled-reports" is taken out

  Scenario: The caller has been idle for long
    Guards against a flow that is forgotten before its caller comes back.
    When the proof story "misled after pause" is played
    Then the proof checkers have no objection
    But they object once the guard "idle-owner" is taken out

  Scenario: A caller uses the port of an earlier flow again
    Guards against an old report that takes a new flow to another target.
    When the proof story "key used again" is played
    Then the proof checkers have no objection
    But they object once the guard "owner-of-flow" is taken out

  Scenario: Instances restart or stand still while SYN+ACKs are lost
    Guards against a reset or a silence that only some interleavings cause.
    When the proof story "zones of split flows" is played
    Then the proof checkers have no objection
    But they object once the guard "handshake-cookies" is taken out

  Scenario: A copy is handled after its flow was opened
    Guards against an open flow that its instance moves to a second target.
    When the proof story "copy after acknowledgement" is played
    Then the proof checkers have no objection
    But they object once the guard "late-copies" is taken out

  Scenario: A SYN is handled after another instance has reported its flow
    Guards against a second target for a flow that is known to be open.
    When the proof story "syn after report" is played
    Then the proof checkers have no objection
    But they object once the guard "late-copies" is taken out

  Scenario: A caller opens a flow from the port of an open one
    Guards against a new flow that is taken for an open one, and against
    copies of its SYN that are spread over targets.
    When the proof story "port used again" is played
    Then the proof checkers have no objection
    But they object once the guard "new-flows" is taken out

  Scenario: Reports go beyond a small zone, and to the hubs of a large one
    Guards against a zone whose only instance is stopped, and against reports
    that take the most of a large zone's traffic.
    When the proof story "report hosts" is played
    Then the proof checkers have no objection

  Scenario: An instance of an earlier version is in the zone
    Guards against cookies that it takes for those of unknown targets.
    When the proof story "earlier version" is played
    Then the proof checkers have no objection

  Scenario: A first request has two packets
    Guards against a message to other instances for each flow.
    When the proof story "request of two packets" is played
    Then the proof checkers have no objection

  Scenario: Packets of a request overtake each other
    Guards against a first request that waits for its caller's repeat.
    Given a packet task that knows a route and a target
    When the second packet of a request overtakes the first one
    Then the target gets both packets at once

  Scenario: A packet waits until another instance names its target
    Guards against a request that waits for its caller's repeat.
    Given a packet task that knows a route and a target
    When a packet of a flow arrives whose target is not known
    And another instance reports the target of the flow
    Then the target gets the packet

  Scenario: No instance names the target of a packet
    Guards against packets that are held for ever.
    Given a packet task that knows a route and a target
    When a packet of a flow arrives whose target is not known
    Then the packet is counted as dropped after a moment
