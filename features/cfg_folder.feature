Feature: A configuration folder is merged by name and checked to the end

  Scenario: The file that sorts last wins and the overridden one is told
    Given a cfg folder with these files
      | file         | text                                                   |
      | 10-base.ini  | [service search]~address = 10.0.0.1:9000~token_s = 600 |
      | 20-local.ini | [service search]~token_s = 300                         |
    When the cfg folder is loaded
    Then the cfg folder has no findings
    And cfg option "token_s" of "service search" is "300" from "20-local.ini" line 2
    And cfg option "token_s" of "service search" overrode "600" from "10-base.ini" line 3

  Scenario Outline: Each fault is reported at its place with what was expected
    An operator mistypes one line among many. Without place and expectation
    they would search the folder, and with a check that stops at the first
    fault they would do so once for each.

    Given a cfg folder that is right but for "<line>" in section "<section>"
    When the cfg folder is loaded
    Then the cfg folder's only finding is "<code>" at "<section>" "<option>"
    And the cfg finding expects "<expected>" and suggests "<nearest>"

    Examples:
      | section          | line                | code    | option      | expected         | nearest  |
      | target t1        | slot = 3            | CFG-003 | slot        | one of service   | slots    |
      | target t1        | slots = many        | CFG-004 | slots       | a valid integer  |          |
      | target t1        | mode = drainin      | CFG-004 | mode        | 'draining'       |          |
      | service search   | token_s = 1         | CFG-004 | token_s     | greater than     |          |
      | servce extra     | token_s = 60        | CFG-002 |             | [service NAME]   | service  |
      | target t2        | service = serch     | CFG-007 | service     | [service NAME]   | search   |
      | target t2        | address = 10.1.0.1:7000 | CFG-010 | address | of its own       |          |
      | key 2            | stage = signing     | CFG-004 | stage       | one key          |          |
      | key 3            | stage = published   | CFG-005 | secret      | a value          |          |
      | key 4            | secret = 00         | CFG-004 | secret      | 64 hex digits    |          |

  Scenario Outline: A line outside the dialect is reported and the rest is read
    Given a cfg folder with the text "<text>"
    When the cfg folder is loaded
    Then the cfg folder has a finding "<code>" at line <line>

    Examples:
      | text                                             | code    | line |
      | token_s = 1                                      | CFG-001 | 1    |
      | [service a]~ address = 10.0.0.1:1                | CFG-001 | 2    |
      | [service a~address = 10.0.0.1:1                  | CFG-001 | 1    |
      | [service a]~address = 10.0.0.1:1~loose           | CFG-001 | 3    |
      | [service a]~address = 10.0.0.1:1~token_s=60~Token_S=70 | CFG-006 | 4 |
      | [service a]~address = 10.0.0.1:1~[service  a]    | CFG-006 | 3    |

  Scenario: A folder without files and a file that is no text are refused
    When an empty cfg folder is loaded
    Then the cfg folder's only finding code is "CFG-009"
    When a cfg folder with a file of random bytes is loaded
    Then the cfg folder's only finding code is "CFG-008"

  Scenario: Merging agrees with a naive merge that reads line by line
    Then cfg merging equals a naive line-by-line merge for generated folders

  Scenario: A cfg secret is in no finding and no change
    A key's secret ends in a build log when a tool prints the values it
    complains about. Whoever reads the log can then forge flow tokens.

    Given a cfg folder whose key is one hex digit too long
    When the cfg folder is loaded
    Then no cfg finding holds the secret
    And no cfg change between two keys holds a secret
