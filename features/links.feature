Feature: Links to targets say truly whether a request has run

  Scenario: An answer in pieces arrives whole
    Given links to a scripted target that answers "alpha,beta,gamma"
    When the links start a run with 8 granted pieces
    Then the links end the call as ok, DONE, code ""
    And the links passed on the pieces "alpha,beta,gamma"
    And the scripted target saw the request's id once

  Scenario: A target that cannot be reached has not run the request
    A target's instance is gone and nothing listens at its address. The
    caller may safely be told so, and its request goes elsewhere.

    Given links to an address where nothing listens
    When the links start a run with 8 granted pieces
    Then the links end the call as failed, NOT_RUN, code "REQ-005"

  Scenario: A request whose deadline passed while this process stood still is not sent
    An entry instance is paused between accepting a slot hold and sending
    it. It wakes after the student was told that the hold timed out. Sent
    now, it would book an aircraft for nobody.

    Given links to a scripted target that answers "alpha"
    And the links' clock jumps past the deadline while they connect
    When the links start a run with 8 granted pieces
    Then the links end the call as timeout, NOT_RUN, code "REQ-004"
    And the scripted target saw no request

  Scenario: A pause between two readings of the clocks never moves the deadline later
    An entry instance stands still for a moment right before it sends. A
    deadline that moved later with it would let the target run a hold after
    the student was told that it timed out.

    Given links to a scripted target that answers "alpha"
    And each reading of the links' clocks takes one second
    When the links start a run with 8 granted pieces
    Then the links end the call as ok, DONE, code ""
    And the deadline that the scripted target saw is not later than the caller's

  Scenario: A target that breaks off after it got the request may have run it
    A target crashes with a refinement in its hands. Told "not run", the
    inventor would send it again and get two conflicting result lists.

    Given links to a scripted target that fails with UNAVAILABLE
    When the links start a run with 8 granted pieces
    Then the links end the call as failed, MAY_HAVE_RUN, code "REQ-005"
    And the scripted target saw the request's id once

  Scenario: The library never sends a request a second time by itself
    A target's server refuses the stream of a slot hold at the transport.
    The library would quietly send it again; if the refusal was wrong, the
    aircraft is booked twice and nobody can tell why.

    Given links to a bare server that refuses each stream
    When the links start a run with 8 granted pieces
    Then the links end the call as failed, MAY_HAVE_RUN, code "REQ-005"
    And the bare server saw 1 stream

  Scenario: A target that sheds under its contract has not run the request
    Given links to a scripted target that sheds with 250 ms to wait
    When the links start a run with 8 granted pieces
    Then the links end the call as shed, NOT_RUN, code "REQ-006"
    And the caller's wait from the links is 250 ms

  Scenario: The same status without the contract's proof may have run
    A target's framework answers "exhausted" after the request was taken,
    because its answer grew too large. Read as a refusal, the refinement
    would be run again.

    Given links to a scripted target that fails with RESOURCE_EXHAUSTED
    When the links start a run with 8 granted pieces
    Then the links end the call as failed, MAY_HAVE_RUN, code "REQ-017"

  Scenario: A target that has answered cannot take it back
    A target sends half an answer and then claims that nothing ran. The
    claim is false on its face, and believing it doubles the request.

    Given links to a scripted target that answers "alpha" and then sheds
    When the links start a run with 8 granted pieces
    Then the links end the call as failed, MAY_HAVE_RUN, code "REQ-017"

  Scenario: Another service's target at a reused address gives nothing away
    A search target leaves and the platform gives its address to an archive
    target. The inventor would see documents of somebody else's search.

    Given links to a scripted target of another service
    When the links start a run with 8 granted pieces
    Then the links end the call as failed, MAY_HAVE_RUN, code "REQ-007"
    And the links passed on no piece

  Scenario: A target that refuses the identity has not run the request
    Given links to a scripted target that refuses the identity
    When the links start a run with 8 granted pieces
    Then the links end the call as failed, NOT_RUN, code "REQ-007"

  Scenario: An answer that stops without its last piece is not whole
    A target ends an answer early and reports success. The student would
    take half a briefing pack for the whole.

    Given links to a scripted target that leaves out the last piece
    When the links start a run with 8 granted pieces
    Then the links end the call as failed, MAY_HAVE_RUN, code "REQ-017"

  Scenario: A slow caller's answer waits at the target
    A caller on a slow line downloads a large document. Read ahead of the
    caller, a few hundred such answers fill an entry instance's memory and
    every other flow on it stalls.

    Given links to a scripted target that answers with 400 pieces of 32768 bytes
    When the links start a run with 2 granted pieces
    And 40 other runs through the same links end
    Then the links passed on 2 pieces of the first call
    And the scripted target has not sent all pieces
    When the links grant 398 more pieces
    Then the links end the call as ok, DONE, code ""
    And the links passed on 400 pieces of the first call

  Scenario: A target that breaks while its answer waits is noticed without a grant
    A target dies while a slow caller holds its answer back. Unnoticed, the
    slot would count as taken until the caller gives up.

    Given links to a scripted target that answers "alpha,beta" and then fails
    When the links start a run with 1 granted pieces
    Then the links end the call as failed, MAY_HAVE_RUN, code "REQ-005"

  Scenario: A call that is stopped reaches the target as a cancellation
    Given links to a scripted target that answers "alpha" and then waits
    When the links start a run with 8 granted pieces
    And the links stop the call after its first piece
    Then the links end the call as cancelled, MAY_HAVE_RUN, code "REQ-010"
    And the scripted target saw the cancellation

  Scenario: A call that is stopped before it was sent has not run
    A caller cancels at once. Its end must still be reported, or its place
    in the queue is never given back.

    Given links to a scripted target that answers "alpha"
    When the links start and stop a run in one batch
    Then the links end the call as cancelled, NOT_RUN, code "REQ-010"

  Scenario: The connection to a removed target is closed once it is idle
    Given links to a bare server that never answers
    When the links start a run with 8 granted pieces
    And the links stop the call once the bare server has seen it
    Then the links end the call as cancelled, MAY_HAVE_RUN, code "REQ-010"
    When the links are told to keep no address
    Then the bare server saw its connection close

  Scenario: A feed is followed from its position
    Given links to a scripted target that answers "alpha,beta"
    When the links follow a feed from position 7
    Then the links end the call as ok, DONE, code ""
    And the scripted target saw the position 7

  Scenario: A feed whose target was cut off without a word ends
    A zone is cut off. The target's side of a feed is gone and sends not
    even a reset; the inventor would wait for events for ever.

    Given links with a fast heartbeat to a bare server that falls silent
    When the links follow a feed from position 0
    Then the links end the call as failed, MAY_HAVE_RUN, code "REQ-005"
