Feature: Operators check, apply, drain, rotate and look back by one command

  Background:
    Given the cfg stand-in platform with 3 entries that follow it
    And a cfg operator folder for services "search" and "archive"
    And operator "amal" has run "key add -m first"
    And operator "amal" has run "apply DIR -m install --base 1"

  Scenario: Check, show and diff tell of the folder without changing anything
    When operator "amal" runs "check DIR"
    Then the command exits with 0 and prints "2 services, 4 targets"
    When the cfg operator folder gets "20-local.ini" with "[service search]~token_s = 300"
    And operator "amal" runs "show DIR --origin"
    Then the command exits with 0 and prints "token_s = 300  # 20-local.ini:2"
    And it prints "#   overrides token_s = 600  # 10-base.ini:3"
    When operator "amal" runs "diff DIR"
    Then the command exits with 0 and prints "service.search.token_s: 600 -> 300"
    And the cfg platform has revision 2

  Scenario: Apply waits until the change is in force and says so for each entry
    When the cfg operator folder gets "20-local.ini" with "[service search]~token_s = 300"
    And operator "omar" runs "apply DIR -m shorter --dry-run"
    Then the command exits with 0 and prints "dry run"
    And the cfg platform has revision 2
    When operator "omar" runs "apply DIR -m shorter"
    Then the command exits with 0 and prints "revision 3 is in force on 3 instances"
    And it prints "e2: in force after"
    When operator "omar" runs "history --limit 1"
    Then the command exits with 0 and prints "omar"
    And it prints "service.search.token_s: 600 -> 300"
    When operator "omar" runs "apply DIR -m again"
    Then the command exits with 0 and prints "nothing to change"

  Scenario: Entries that lack the change are named with the reason
    One entry has stopped hearing of changes and another is dead while the
    platform still lists it. Callers who reach the first are served by old
    figures; an operator who is told "done" would look for the cause elsewhere.

    Given cfg entry "e2" stays at revision 2
    And cfg entry "e3" is dead
    When the cfg operator folder gets "20-local.ini" with "[service search]~token_s = 300"
    And operator "omar" runs "apply DIR -m shorter --wait-s 0.3"
    Then the command exits with 4 and prints "e2: not in force, has revision 2"
    And it prints "e3: not in force, no answer"
    And it prints "OPS-003"

  Scenario: An outage while waiting does not make a change look in force
    The first entry has the change when the platform's list fails. Without
    the list the command would have nobody left to wait for.

    Then waiting for a cfg revision goes on with the last list through an outage

  Scenario: An entry that is leaving is not waited for
    Given cfg entry "e3" is dead
    And cfg entry "e3" is listed as leaving
    When the cfg operator folder gets "20-local.ini" with "[service search]~token_s = 300"
    And operator "omar" runs "apply DIR -m shorter"
    Then the command exits with 0 and prints "in force on 2 instances"

  Scenario: A lost race shows what changed meanwhile and has its own exit code
    Given operator "huda" has run "drain target s1 -m disk"
    When the cfg operator folder gets "20-local.ini" with "[service search]~token_s = 300"
    And operator "omar" runs "apply DIR -m shorter"
    Then the command exits with 3 and prints "OPS-001"
    And it prints "target.s1.mode: active -> draining"
    And it prints "huda"
    And the cfg platform has revision 3

  Scenario: A change is not written on a base that it was not planned on
    The operator states a revision that comes in force a moment later. What
    was checked is then something else than what would be written.

    When operator "omar" runs "apply DIR -m early --base 3"
    Then the command exits with 6 and prints "PLT-003"
    When cfg revision 3 comes in force between planning on 2 and writing on 3
    Then the cfg publication is refused with "OPS-001"
    And the cfg platform has revision 3

  Scenario: A copy of the folder that was never applied must name its base
    Given the cfg operator folder forgets its base
    When the cfg operator folder gets "20-local.ini" with "[service search]~token_s = 300"
    And operator "omar" runs "apply DIR -m shorter"
    Then the command exits with 1 and prints "OPS-008"
    And it prints "--base 2"
    When operator "omar" runs "apply DIR -m shorter --base 2"
    Then the command exits with 0 and prints "accepted as revision 3"

  Scenario Outline: A change that would break a promise is refused
    Made in one step, the change ends feeds, sends packets to a stranger or
    makes valid tokens look forged, and callers see it before operators do.

    When the cfg operator folder has "<old>" replaced by "<new>"
    And operator "omar" runs "apply DIR -m unsafe"
    Then the command exits with 5 and prints "OPS-002"
    And it prints "<hint>"
    And the cfg platform has revision 2

    Examples:
      | old               | new                | hint                   |
      | [target s1]       | [target s9]        | without draining       |
      | 10.1.0.1:7000     | 10.1.0.3:7001      | target s1              |
      | 10.1.0.1:7000     | 10.1.0.9:7000      | changes without draining |
      | [service archive] | [service documents]| targets removed first  |

  Scenario Outline: A folder adds keys and makes no later step of theirs
    A folder knows neither which entries have a key nor how long its tokens
    live. A step made by it would make valid tokens look forged.

    Given the cfg operator folder has key 2 "published" and is applied
    When the cfg operator folder has key <key> "<stage>"
    And operator "omar" runs "apply DIR -m unsafe"
    Then the command exits with 5 and prints "OPS-002"
    And it prints "<hint>"
    And the cfg platform has revision 3

    Examples:
      | key | stage     | hint                                  |
      | 2   | retiring  | cornelgap key sign                    |
      | 3   | signing   | signs before every entry instance     |
      | 1   | signing   | the secret of a known key changes     |

  Scenario: A target is drained first and goes when nothing uses it any more
    Given operator "amal" has run "drain target s1 -m disk"
    And cfg entry "e2" has 5 flows on target "s1"
    When the cfg operator folder loses target "s1"
    And operator "amal" runs "apply DIR -m disk --base 3"
    Then the command exits with 5 and prints "5 flows"
    Given cfg entry "e2" has 0 flows on target "s1"
    When operator "amal" runs "apply DIR -m disk --base 3"
    Then the command exits with 0 and prints "accepted as revision 4"

  Scenario: A target gets another address when nothing uses the old one
    Given operator "amal" has run "drain target s1 -m move"
    And cfg entry "e2" has 5 flows on target "s1"
    When the cfg operator folder has "10.1.0.1:7000" replaced by "10.1.0.9:7000"
    And operator "amal" runs "apply DIR -m move --base 3"
    Then the command exits with 5 and prints "5 flows"
    Given cfg entry "e2" has 0 flows on target "s1"
    When operator "amal" runs "apply DIR -m move --base 3"
    Then the command exits with 0 and prints "target.s1.address: 10.1.0.1:7000 -> 10.1.0.9:7000"

  Scenario: Targets and instances are drained and taken back
    When operator "amal" runs "drain instance e1 -m kernel"
    Then the command exits with 0 and prints "instance.e1.draining: (absent) -> yes"
    And it prints "e1: has started its planned stop"
    When operator "amal" runs "undrain instance e1 -m kernel"
    Then the command exits with 0 and prints "instance.e1.draining: yes -> (absent)"
    When operator "amal" runs "drain target s1 -m disk"
    Then the command exits with 0 and prints "active -> draining"
    When operator "amal" runs "undrain target s1 -m disk"
    Then the command exits with 0 and prints "draining -> active"
    When operator "amal" runs "drain target s11 -m disk"
    Then the command exits with 1 and prints "OPS-006"
    And it prints "did you mean "s1"?"
    When operator "amal" runs "drain instance e9 -m disk"
    Then the command exits with 1 and prints "OPS-006"

  Scenario: An instance that does not stop is not called drained
    The change is accepted, yet the entry takes no order from this operator.
    Whoever reads "drained" replaces the instance with flows on it.

    Given cfg entry "e1" obeys other operators
    When operator "amal" runs "drain instance e1 -m kernel"
    Then the command exits with 1 and prints "OPS-007"
    Given cfg entry "e2" is dead
    When operator "amal" runs "drain instance e2 -m kernel --wait-s 0"
    Then the command exits with 4 and prints "no planned stop"

  Scenario: A key is published, signs when known everywhere, and retires late
    An entry that does not know a key yet takes every token signed with it
    for a forgery; a key that goes early makes valid tokens look forged.

    Given operator "amal" has run "key add -m rotate"
    And cfg entry "e2" stays at revision 2
    When operator "amal" runs "key sign 2 -m rotate --wait-s 0"
    Then the command exits with 4 and prints "e2: not in force, has revision 2"
    And the cfg platform has revision 3
    Given cfg entry "e2" follows the platform again
    When operator "amal" runs "key sign 2 -m rotate"
    Then the command exits with 0 and prints "key.1.stage: signing -> retiring"
    When operator "amal" runs "key retire 1 -m rotate"
    Then the command exits with 5 and prints "OPS-010"
    And it prints "may be valid for"
    And key 1 may retire 660 s after it stopped signing and not 659 s after

  Scenario: Status shows what entries say, also as JSON
    Given cfg entry "e2" has 5 flows on target "s1"
    And cfg entry "e3" is dead
    When operator "amal" runs "status"
    Then the command exits with 1 and prints "no answer"
    And it prints "s1      search   e2       active  0        5"
    When operator "amal" runs "status --json"
    Then the printed JSON has revision 2 for entry "e1"

  Scenario: An audit trail that was edited has its own exit code
    When operator "amal" runs "audit --verify"
    Then the command exits with 0 and prints "the audit trail is whole"
    When the cfg audit's last entry but one in the root is edited
    And operator "amal" runs "audit --verify"
    Then the command exits with 8 and prints "OPS-005"

  Scenario Outline: Trouble with the platform has its code
    Given the cfg stand-in platform is <fault>
    When operator "amal" runs "<command>"
    Then the command exits with <exit> and prints "<code>"

    Examples:
      | fault     | command                | exit | code    |
      | down      | diff DIR               | 6    | PLT-001 |
      | forbidden | drain target s1 -m why | 1    | OPS-007 |

  Scenario: A command without message, settings or sense is refused
    When operator "amal" runs "apply DIR"
    Then the command exits with 1 and prints "OPS-004"
    When operator "amal" runs "history --tls settings"
    Then the command exits with 2 and prints "OPS-009"
    When operator "amal" runs "history --tls of"
    Then the command exits with 2 and prints "settings"
    When operator "amal" runs "histroy"
    Then the command exits with 2 and prints "history"

  Scenario: No command prints a secret
    Build logs and terminals are read by many. Whoever finds a key in one can
    forge flow tokens for every service.

    Given the cfg operator folder holds a key of its own
    When operator "amal" runs every cfg command
    Then no secret was printed

  Scenario: A noted base without an era is one of the era in force
    Guards against a warning of a restore that there was none of.
    Given the cfg operator folder notes its base without an era
    When operator "amal" runs "diff DIR"
    Then the command exits with 0 and prints "0 changes on revision 2"
    And it does not print "last applied"

  Scenario: A folder applied before a restore does not undo a reissued revision
    Guards against a noted base that is taken for another change of its number.

    Given the cfg stand-in platform is backed up
    And operator "omar" has run "drain target s2 -m disk"
    And operator "omar" has run "undrain target s2 -m disk"
    And operator "amal" has run "apply DIR -m same --base 4"
    And the cfg stand-in platform is restored from that backup
    And operator "huda" has run "drain target s1 -m disk"
    And operator "huda" has run "drain target a1 -m disk"
    When the cfg operator folder gets "20-local.ini" with "[service search]~token_s = 300"
    And operator "amal" runs "apply DIR -m shorter"
    Then the command exits with 3 and prints "OPS-001"
    And it prints "restored from a backup"
    And the cfg platform has revision 4

  Scenario: An entry with the lost revision does not count as up to date
    Guards against a key that signs before every entry has it.

    Given the cfg stand-in platform is backed up
    And operator "omar" has run "drain target s2 -m disk"
    And cfg entry "e2" stays at revision 3
    And the cfg stand-in platform is restored from that backup
    When operator "huda" runs "drain target s1 -m disk --wait-s 0.3"
    Then the command exits with 4 and prints "e2: not in force, has revision 3 of era 1"
