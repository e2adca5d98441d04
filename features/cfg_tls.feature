Feature: Platform and administration API are reached by mutual TLS

  Scenario: A member reads and writes, and a name may stand for addresses
    Given a cfg platform that requires mutual TLS
    Then a cfg store with the certificate of a "member" reads and writes
    And a cfg store that expects the server name "cornelgap.test" reads and writes
    And a cfg store that expects the server name "elsewhere.test" is refused

  Scenario Outline: Whoever has no certificate of ours is kept out
    The platform's port can be reached from a network that others share. A
    stranger who can read it has the keys of all flow tokens.

    Given a cfg platform that requires mutual TLS
    Then a cfg store with the certificate of a "<who>" is refused

    Examples:
      | who      |
      | stranger |
      | nobody   |

  Scenario: A server that is not ours gets nothing from us
    Somebody answers at the platform's address. A command that trusted the
    answer would show and apply a stranger's configuration.

    Given a cfg platform with a stranger's certificate
    Then a cfg store with the certificate of a "member" is refused

  Scenario: The command uses the section of its settings
    Given a cfg platform that requires mutual TLS
    When the cfg command "history" runs with the TLS settings of a "member"
    Then the cfg command exits with 0
    When the cfg command "history" runs with the TLS settings of a "stranger"
    Then the cfg command exits with 6

  Scenario Outline: Settings that leave the choice open are refused
    Given TLS settings with "<options>"
    Then they are refused with "<code>" at "<place>"

    Examples:
      | options                           | code    | place      |
      | ca=a,cert=b,key=c                 | CFG-005 | [tls] mode |
      | mode=maybe                        | CFG-004 | [tls] mode |
      | mode=mutual,ca=a,cert=b           | CFG-005 | [tls] key  |
      | mode=off,verify=no                | CFG-003 | [tls] verify |
      | mode=mutual,ca=/no,cert=b,key=c   | CFG-008 | [tls] ca   |

  Scenario: Switching TLS off is warned about
    Then TLS that is off gives no credentials and warns once
