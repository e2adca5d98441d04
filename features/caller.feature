Feature: A caller's flow survives the path and never mixes answers

  Scenario: An answer comes whole over a path that loses, doubles and reorders
    Datagrams of a download are lost, doubled and overtake each other.
    Without reassembly by position an inventor would get a document with a
    hole or a doubled page.
    Given a caller on a path with seeded faults
    Then every answer of any size is byte-exact and ran once

  Scenario: A feed comes in order, each piece once, over the same path
    Events of a feed are lost, doubled and reordered on the way.  A student
    would otherwise see an aircraft free that has been booked since.
    Given a caller on a path with seeded faults
    Then every feed comes in order with each piece once

  Scenario: A doubled open gives two tokens and the first one is used
    The fabric doubles an OPEN and two entries each mint a flow.
    Given a caller whose flow is open
    When a second OPENED comes with another flow
    Then the caller keeps its first flow and token

  Scenario: A dead home ends its id space
    The home dies with requests in progress.  The caller is told which of
    them may have run; only idempotent ones are sent again, under new ids.
    Given a caller whose flow is open
    And a hold, a search and a feed at position 3 in progress
    When the flow moves to a new epoch
    Then the hold may have run with code "REQ-008"
    And the search is sent again under a new number in the new epoch
    And the feed subscribes at position 3 under a new number
    And a chunk of the old epoch changes nothing

  Scenario: A stale move is ignored
    Two entries move one flow at once, and the slower one's notice comes
    after the caller has gone on with the first.
    Given a caller whose flow is open
    And a hold, a search and a feed at position 3 in progress
    When the flow moves to a new epoch
    And a second move from the old epoch comes
    Then the caller stays in the epoch of the first move

  Scenario: A new token in the same epoch keeps all ids
    The flow is moved off a leaving target while a hold is in progress.
    Given a caller whose flow is open
    And a hold, a search and a feed at position 3 in progress
    When the flow moves to a new token in the same epoch
    Then no request has ended
    And the caller uses the new token with the same numbers

  Scenario: An answer to an older request completes no newer one
    The answer to a search comes late, after its refinement was sent.
    Given a caller whose flow is open
    And a search that was given up and a refinement in progress
    When the whole answer to the search comes
    Then the refinement has no answer

  Scenario: A refusal that changes nothing is followed by the same id
    An entry that is not the home cannot say whether a hold ran, so it asks
    for the same id again.  A new id could book the aircraft twice.
    Given a caller whose flow is open
    And a hold, a search and a feed at position 3 in progress
    When the hold is refused with the same id after 300 ms
    Then the caller sends the hold's number again, not before 300 ms

  Scenario: A passed deadline is a doubt and not a refusal
    No verdict comes before the deadline.  The student must look before
    holding the slot again.
    Given a caller whose flow is open
    And a hold, a search and a feed at position 3 in progress
    When the deadline passes
    Then the hold may have run with code "REQ-004"
    And the caller has cancelled the hold

  Scenario: A lost last ACK is repeated
    The ACK that frees a finished answer is lost; without a repeat the home
    would send chunks until its memory of the answer expires.
    Given a caller whose flow is open
    And a hold, a search and a feed at position 3 in progress
    When the whole answer to the search comes twice
    Then two last ACKs for it have been sent

  Scenario: A refused open is tried again when the refusal says so
    An entry that has no configuration yet says when to come back.
    Given a caller whose flow is not open
    When the open is refused with 200 ms to wait
    Then the caller opens again with the same nonce, not before 150 ms

  Scenario: A live feed does not hold back the requests after it
    An inventor's feed stays open for hours while refinements go down the
    same flow. The feed's number falls far below the window of numbers; if
    that held new ones back, the flow would stall after the first 128.

    Given a caller flow whose feed is live
    When the caller flow sends 300 requests and each is answered
    Then all 300 requests of the caller flow are done
