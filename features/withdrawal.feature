Feature: A zone that cannot serve leaves the rotation as a whole

  Operators drain an availability zone, and then it is cut off while callers
  still reach its instances.  They may open nothing at home and reach nothing
  elsewhere.  Instances of other zones could serve all of these callers.

  Scenario: A drained zone is cut off, and its callers go on calling
    Guards against requests that are lost for as long as the cut lasts.
    When the proof story "withdrawn zone" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-withdrawal" is taken out

  Scenario: The cut has lasted until both sides have forgotten each other
    Guards against a zone that stays out of rotation after its cut.
    When the proof story "withdrawn zone" is played
    Then the proof checkers have no objection
    But they object once the guard "lost-hubs" is taken out

  Scenario: Callers call while routers let go
    Guards against resets that use up all tries of a caller within milliseconds.
    When the proof story "withdrawn openings" is played
    Then the proof checkers have no objection
    But they object once the guard "withdrawn-drop" is taken out

  Scenario: Callers call before the zone has left
    Guards against requests that are lost while the verdict is made.
    When the proof story "withdrawn undecided" is played
    Then the proof checkers have no objection
    But they object once the guard "undecided-drop" is taken out

  Scenario: The verdict reaches all instances
    Guards against one ready instance that keeps the whole zone in rotation.
    When the proof story "withdrawn by hub only" is played
    Then the proof checkers have no objection
    But they object once the guard "verdict-told" is taken out

  Scenario: The zone's targets have crashed, and their registrations stay
    Guards against openings that are sent to silent targets for as long as the cut lasts.
    When the proof story "withdrawn crashed" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-withdrawal" is taken out

  Scenario: The hub that decides dies, before its verdict and after it
    Guards against a verdict that ends with one process.
    When the proof story "withdrawn hub dies" is played
    Then the proof checkers have no objection
    But they object once the guard "verdict-lasts" is taken out

  Scenario: An instance that is cut off from everybody stays in rotation
    Guards against instances that leave one by one until routers use all of them again.
    When the proof story "withdrawn alone" is played
    Then the proof checkers have no objection
    But they object once the guard "withdrawal-witnesses" is taken out

  Scenario: Few instances of a zone see that they cannot serve
    Guards against a zone that leaves for the links of a few instances.
    Given a zone of 5 instances that all report
    When 2 of them can serve nobody and the others open flows
    Then the zone stays in rotation
    When 2 of them can serve nobody and no other instance reports
    Then the zone stays in rotation
    When 3 of them can serve nobody and the others open flows
    Then the zone leaves the rotation

  Scenario: No other zone could serve
    Guards against callers that nobody tells that they cannot be served.
    When the proof story "withdrawn last" is played
    Then the proof checkers have no objection
    But they object once the guard "serving-zone" is taken out

  Scenario: All targets of the other zone are lost, and its instances are heard
    Guards against a zone that leaves its callers to one that cannot serve either.
    When the proof story "withdrawn silent targets" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-quiet" is taken out
    And they object once the guard "undecided-ends" is taken out

  Scenario: Most callers hold flows that go on being served
    Guards against giving up more than is gained.
    When the proof story "withdrawn served flows" is played
    Then the proof checkers have no objection
    But they object once the guard "served-weigh" is taken out

  Scenario: Another service is served by this zone alone
    Guards against giving up one service for another that is less in demand.
    When the proof story "withdrawn only here" is played
    Then the proof checkers have no objection
    But they object once the guard "served-weigh" is taken out

  Scenario: Another service has targets in other zones too
    Guards against a zone that stays for openings which others could place.
    When the proof story "withdrawn other service" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-withdrawal" is taken out

  Scenario: A few open flows stay in the zone that leaves
    Guards against callers that wait for targets which nobody reaches any more.
    When the proof story "withdrawn left flows" is played
    Then the proof checkers have no objection
    But they object once the guard "silent-target" is taken out

  Scenario: A cut comes and goes
    Guards against routers that swap zones every few seconds.
    When the proof story "withdrawn flapping" is played
    Then the proof checkers have no objection
    But they object once the guard "withdrawal-backoff" is taken out

  Scenario: The order is taken back while the cut lasts
    Guards against a zone that stays out though it can serve at home.
    When the proof story "withdrawn order back" is played
    Then the proof checkers have no objection
    But they object once the guard "home-targets" is taken out

  Scenario: The cut is over
    Guards against a zone that is not back at once, or not for good.
    When the proof story "withdrawn return" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-withdrawal" is taken out

  Scenario: Instances start again while the zone is out of rotation
    Guards against one instance that is ready too soon and brings all of them back.
    When the proof story "withdrawn start" is played
    Then the proof checkers have no objection
    But they object once the guard "start-waits" is taken out

  Scenario: An instance starts without the key while the zone is out of rotation
    Guards against an instance that hears nobody and brings its zone back.
    When the proof story "withdrawn start without key" is played
    Then the proof checkers have no objection
    But they object once the guard "verdict-in-snapshot" is taken out

  Scenario: Another hub takes over before the verdict
    Guards against callers that are kept waiting for a verdict that nobody makes.
    When the proof story "withdrawn other hub" is played
    Then the proof checkers have no objection
    But they object once the guard "hub-evidence" is taken out

  Scenario: Any sequence of what a zone sees
    Guards against a zone that leaves to nobody, or leaves and returns at will.
    Then hypothesis finds no sequence after which a zone is out and none serves
    And hypothesis finds no minute with more than 14 changes

  Scenario: An instance stands still while it looks whether its zone serves
    Guards against a verdict on evidence that no tick in between has confirmed.
    When the proof story "withdrawn standstill" is played
    Then the proof checkers have no objection
    But they object once the guard "withdrawal-turns" is taken out

  Scenario: A beat with a bent verdict is refused
    Guards against an error that ends the directory task of every instance.
    Then a beat with the withdrawal "[1, 2]" is refused with "PKT-007"
    And a beat with the withdrawal "[1, 2, null]" is refused with "PKT-007"
    And a beat with the withdrawal "{}" is refused with "PKT-007"
    And a beat with the withdrawal "[1, 2, -3000]" is refused with "PKT-007"
    And a beat with the withdrawal "[1, 2, 1e400]" is refused with "PKT-007"
    And a beat with a withdrawal 1e400 ms ago is refused with "PKT-007"
    And a snapshot with the withdrawal "[1, 2, -3000]" is refused with "PKT-007"
    And a snapshot with the withdrawal "[1, 2, 1e400]" is refused with "PKT-007"
    And a beat with the openings "[0, 20, -30]" is refused with "PKT-007"

  Scenario: Routers are told
    Guards against a verdict that readiness does not follow.
    Given an instance that is ready
    When its zone is withdrawn
    Then its readiness answers 503
    When its zone is back
    Then its readiness answers 200
