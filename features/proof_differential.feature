Feature: Differential tests against naive versions

  Scenario: The window forgets nothing that may still arrive
    A datagram's copy turns up minutes after its original.  If the window
    took it for a new one, a hold would be placed twice.
    When the proof machine "window" runs for 300 examples
    Then the proof machine found no difference

  Scenario: Only a minted token verifies, through every key rotation
    A token is bent in transit, cut, spliced from two or held across a
    rotation.  If it still passed, a flow would reach a foreign target.
    When the proof machine "token" runs for 300 examples
    Then the proof machine found no difference

  Scenario: Every message survives its encoding
    When each of 600 proof messages is encoded and decoded
    Then it is equal to itself

  Scenario: A spoilt datagram ends in a coded error or in a message
    A datagram arrives bent or cut.  Any other error than a coded one would
    end the task that serves the callers.
    When each of 600 proof messages is spoilt and decoded
    Then no error without a code came out

  Scenario Outline: A part gives no outcome that its naive version forbids
    A decision that looks right in each example may still break a bound in
    some order of events that nobody thought of.
    When the proof machine "<machine>" runs for <count> examples
    Then the proof machine found no difference

    Examples:
      | machine   | count |
      | answer    | 200   |
      | feed      | 200   |
      | admission | 200   |
      | placement | 200   |
      | fan-out   | 15    |
