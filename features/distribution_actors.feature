Feature: The configuration actor carries the distribution out

  Scenario: A change reaches the packet actor through the watch
    Given a platform for the configuration actors
    And a configuration actor "e1"
    When revision 1 is published for the configuration actors
    Then the packet actor of "e1" adopts revision 1
    When revision 2 is published for the configuration actors
    Then the packet actor of "e1" adopts revision 2

  Scenario: A cold start with the platform down takes a peer's configuration
    The platform is down for hours and an instance is replaced. Without its
    peers it could serve nobody until the platform is back.

    Given a platform for the configuration actors
    And a configuration actor "e1"
    When revision 1 is published for the configuration actors
    Then the packet actor of "e1" adopts revision 1
    When the platform of the configuration actors goes down
    And a configuration actor "e2" starts that knows "e1"
    Then the packet actor of "e2" adopts revision 1

  Scenario: A peer's news brings a change while the platform is down
    The platform goes down right after a change. Those that have not heard
    of it yet get it from those that have, and only the parts that changed.

    Given a platform for the configuration actors
    And a configuration actor "e1"
    And a configuration actor "e2" that is not told by the platform
    When revision 1 is published for the configuration actors
    Then the packet actor of "e1" adopts revision 1
    When the packet actor of "e2" hears that "e1" has revision 1
    Then the packet actor of "e2" adopts revision 1

  Scenario: A damaged bundle of a peer is not adopted
    Given a peer server that gives a damaged bundle
    When a configuration actor "e2" starts that knows the damaged peer
    Then the configuration actor "e2" hears that the fetch gave nothing
    And the packet actor of "e2" has adopted nothing

  Scenario: A handover is answered by the packet actor
    Given a peer server whose packet actor takes handovers
    When 3 flow records are handed over to the peer server
    Then the peer server's answer is that 3 were taken

  Scenario: A handover to a packet actor that does not answer ends in time
    The successor's packet actor hangs. A leaving instance that waited for
    it without end would be stopped with its flows still in its hands.

    Given a peer server whose packet actor hangs
    When a patient peer hands 3 flow records over to the peer server
    Then the peer server says to the patient peer that it is busy

  Scenario: A reissued revision comes from the platform, and from a peer
    Guards against an entry that ignores it since it knows the number.

    Given a platform for the configuration actors
    And a configuration actor "e1"
    And a configuration actor "e2" that is not told by the platform
    When revision 1 is published for the configuration actors
    Then the packet actor of "e1" adopts revision 1
    When the packet actor of "e2" hears that "e1" has revision 1
    Then the packet actor of "e2" adopts revision 1
    When the platform of the configuration actors loses and reissues it
    Then a watch shows revision 1 of era 2
    And the packet actor of "e1" adopts revision 1 of era 2
    When the packet actor of "e2" hears that "e1" has revision 1 of era 2
    Then the packet actor of "e2" adopts revision 1 of era 2
    When the packet actor of "e2" hears that "e1" has revision 9
    Then the packet actor of "e2" goes on with revision 1 of era 2
    And the configuration actor "e1" gives nothing to a peer that has revision 1 of era 2
