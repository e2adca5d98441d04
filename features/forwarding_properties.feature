Feature: Forwarding takes any bytes and any order of facts

  Scenario: Any datagram decodes or is refused with a code
    Datagrams come from anywhere.  Another exception would end the packet
    actor, and with it every flow of the instance.
    Then hypothesis finds no datagram that raises anything but a PKT code

  Scenario: A packet changes on its way only where it may
    Targets check a sum over the packet; one changed byte and they drop it.
    Then hypothesis finds no packet of which more than the cookie changes

  Scenario: A reset is what callers take for one
    Then hypothesis finds no flow whose reset is not from its route

  Scenario: Any datagram of a peer decodes or is refused with a code
    Then hypothesis finds no peer datagram that raises anything but a code
    And a beat survives encoding, with fields that are not known yet

  Scenario: A snapshot survives the way to another instance
    Then hypothesis finds no directory that changes in a snapshot

  Scenario: The directory agrees with a naive one in any order of facts
    Lists and changes come late, twice and out of order.  The naive model
    keeps for each target what the highest revision said.
    Then hypothesis finds no order of facts in which the directories differ

  Scenario: A view does not change when the directory does
    A packet must never be handled by half of a change.
    Then a view taken before a change shows the state before it

  Scenario: A bad settings file is refused, each field by its name
    Given a settings file with a bad address and without a zone
    Then both errors are told with the file and the field

  Scenario: A bad entry of the store hides no other
    Given a configuration whose second route has no port
    Then the other routes are in force and the error names the second

  Scenario: No sequence of packets breaks the engine
    One packet that raises an error would end the packet actor, and sent to
    every instance it would end them all.
    Then hypothesis finds no sequence of packets that the engine fails on

  Scenario: A beat holds the loads of all targets of the design size
    4,600 targets are planned.  A beat that is too long for a datagram is
    never sent, and every instance would place flows as if it were alone.
    Given a beat with the loads of 4600 targets
    Then it fits into a datagram and survives encoding
    And bent copies of it are refused with a code or read as they were

  Scenario: A target is compared with all others of its service
    Then a median without one of the values is that of the others

  Scenario: A registered target answers nobody for hours
    It is cut off, and its registration stays.  Each probe that it does not
    answer doubles the time without new flows up to a bound; a count that
    overflows would end the packet task of every instance.
    When 1500 probes of a target stay without an answer
    Then it gets no new flow for 4 s after the last one

  Scenario: Any entry of another writer names no target or a whole one
    Other programs write to the store as well.  A truth value taken for a
    number, or a state that nobody knows, would draw flows to an address that
    serves nobody; an exception would hide all targets from all instances.
    Then hypothesis finds no entry that is neither left out nor whole
    And a target told in a beat is the same one, reborn or unreadable
