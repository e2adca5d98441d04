Feature: A datagram that cannot be served is refused by its code

  An answer to a datagram that was not verified is never larger than the
  datagram itself: with a forged sender address it would otherwise turn the
  entry instance against somebody else.  Nothing runs for any of them.

  Scenario Outline: <bad> is refused with <code>
    Given an entry instance with an open flow
    When a caller sends it <bad>
    Then the only answer is a refusal with "<code>"
    And the answer is no larger than what was sent
    And no request has run

    Examples:
      | bad                                | code    |
      | a request with a forged token      | PKT-003 |
      | a request after the token's expiry | PKT-004 |
      | a request for another service      | PKT-005 |
      | a request under an unknown key     | PKT-008 |
      | an open of an unknown service      | REQ-001 |
      | an open while all targets leave    | REQ-002 |
      | a request during a planned stop    | REQ-019 |
      | an open under heavy backlog        | REQ-020 |

  Scenario: An open without padding gets no answer
    Given an entry instance with an open flow
    When a caller sends it an open that is too small
    Then there is no answer and "dropped_PKT-009" is counted

  Scenario: A peer's datagram with a wrong seal gets no answer
    Somebody who reaches the peers' socket could otherwise have answers
    sent to any address.

    Given an entry instance with an open flow
    When a forged datagram reaches its socket for peers
    Then there is no answer and "peer_refused_NET-002" is counted

  Scenario Outline: A question about <what> is answered with <code>
    Given an entry instance with an open flow
    When a caller asks it about <what>
    Then the only answer is a report with "<code>"

    Examples:
      | what                    | code    |
      | a number it never sent  | REQ-016 |
      | a number long forgotten | REQ-009 |

  Scenario: The answer to an open is no larger than the open, whatever the names
    Operators may give names of 63 letters. If the token then outgrew the
    open, forged opens would send more traffic to somebody than they cost.

    Given an entry instance whose names are as long as they may be
    When a caller opens a flow with the smallest open
    Then the answer is no larger than what was sent

  Scenario Outline: A token of a later era finds the entry behind, whatever its number
    Guards against callers who are told by an older era where to go.

    Given an entry instance with an open flow
    When a caller sends it <what>
    Then the only answer is a refusal with "REQ-014"
    And no request has run

    Examples:
      | what                                                    |
      | a request for a service of a later era                  |
      | a request of a lost home for a target of a later era    |

  Scenario: A flow of a later era is not taken before its configuration
    Guards against a successor that knows the number but not the target.

    Given an entry instance with an open flow
    When a peer hands a flow over to it, on a target of a later era
    Then it takes no flow

  Scenario: Tokens and handed over flows name the era that they were made by
    Guards against peers that take them for those of an earlier era.

    Given two entry instances of era 3 with an open flow
    When the flow's home leaves
    Then its first token, its next one and its handover name era 3
