Feature: No datagram gets past the decoder with a bad field

  Scenario: Any message of the protocol survives encoding and decoding
    Then hypothesis finds no message that changes on the way

  Scenario: Any bytes decode or give a coded error
    Datagrams come from anywhere: truncated, of another protocol, made to
    harm.  An exception of another kind would crash the packet actor, and
    all flows of the instance with it.
    Then hypothesis finds no bytes that raise anything but a PKT code
    And no truncated or altered datagram of the protocol does so either

  Scenario Outline: A bad field is named by its code
    Given a datagram of the protocol that is <bad>
    Then decoding it fails with "<code>"

    Examples:
      | bad                     | code    |
      | oversized               | PKT-006 |
      | cut in a field          | PKT-001 |
      | of another version      | PKT-002 |
      | of an unknown kind      | PKT-007 |
      | without a service       | PKT-007 |
      | without a token         | PKT-007 |
      | with number 0           | PKT-007 |
      | without a deadline      | PKT-007 |
      | an open without a nonce | PKT-007 |
      | naming 65 missing ones  | PKT-007 |
      | a verdict out of range  | PKT-007 |

  Scenario: A caller's flow takes any message without failing
    Then hypothesis finds no sequence of messages that breaks a flow
