Feature: One command explains a failed flow from the logs of all instances

  An engineer on call has a caller's address and port, and the logs of some
  instances as a collector kept them.  Logs of real processes are explained
  in forwarding_processes.feature.

  Background:
    Given the log of "e1"
      """
      {"time": "2026-12-03 10:00:00,100", "level": "INFO", "part": "cornelgap.forwarding", "message": "forwarding: flow placed", "instance": "e1", "flow": "100.64.0.7:40001>198.18.0.1:443", "why": "placed", "copy": 0, "target": "i-1", "age_s": 0.4}
      {"time": "2026-12-03 10:00:09,000", "level": "INFO", "part": "cornelgap.directory", "message": "directory: target changed", "instance": "e1", "target": "i-1", "state": "gone", "revision": 9}
      {"time": "2026-12-03 10:00:00,0
      """
    And the log of "e2"
      """
      listening on 198.18.0.1
      10.3 e2 {"time": "2026-12-03 10:00:00,302", "level": "INFO", "part": "cornelgap.forwarding", "message": "forwarding: flow placed", "instance": "e2", "flow": "100.64.0.7:40001>198.18.0.1:443", "why": "moved_on", "copy": 1, "target": "i-2", "age_s": 0.6}
      {"time": "2026-12-03 10:00:01,000", "level": "INFO", "part": "cornelgap.directory", "message": "directory: target changed", "instance": "e2", "target": "i-1", "state": "gone", "revision": 9}
      {"time": "2026-12-03 10:00:01,000", "level": "INFO", "part": "cornelgap.directory", "message": "directory: target changed", "instance": "e2", "target": "i-7", "state": "gone", "revision": 8}
      {"time": "2026-12-03 10:00:02,000", "level": "WARNING", "part": "cornelgap.follower", "message": "follower: store lost", "instance": "e2", "code": "PLT-001"}
      """

  Scenario: A late answer is traced over two instances
    The first target did not answer, and 0.2 s went by before the caller's
    copy went to another one.
    When "100.64.0.7:40001" is explained
    Then the explanation has the lines
      | time            | instance | text                                      |
      | 10:00:00.100000 | e1       | the flow was opened on a target           |
      | 10:00:00.302000 | e2       | this copy of the opening went to another  |
      | 10:00:01.000000 | e2       | target i-1, state gone                    |
      | 10:00:02.000000 | e2       | store lost                                |
    And it ends with "the target before had not answered"
    And half a line is reported with code "CFG-001" and its place "e1.log:3"

  Scenario: An opening was dropped while its zone left the rotation
    Guards against a drop that looks like a lost packet.
    Given the log of "e3"
      """
      {"time": "2026-12-03 11:00:00,100", "level": "WARNING", "part": "cornelgap.directory", "message": "forwarding: zone withdrawn", "instance": "e3", "by": "e4", "cause": "told", "beyond": ["a"]}
      {"time": "2026-12-03 11:00:00,200", "level": "INFO", "part": "cornelgap.forwarding", "message": "forwarding: packet dropped", "instance": "e3", "flow": "100.64.0.8:40009>198.18.0.1:443", "why": "withdrawn", "copy": 0, "age_s": 0.4}
      {"time": "2026-12-03 11:00:04,200", "level": "WARNING", "part": "cornelgap.directory", "message": "forwarding: zone returned", "instance": "e3", "by": "e4", "cause": "told", "beyond": ["a"]}
      """
    When "100.64.0.8:40009" is explained
    Then the explanation has the lines
      | time            | instance | text                                |
      | 11:00:00.100000 | e3       | zone withdrawn                      |
      | 11:00:00.200000 | e3       | because no target was in reach      |
      | 11:00:04.200000 | e3       | zone returned                       |
    And it ends with "no target was in reach and the zone was leaving"

  Scenario Outline: A line of another program has <field> of another type
    Guards against one line for which the whole explanation fails.
    Given the log of "e4"
      """
      {"time": "2026-12-03 10:00:00,300", "message": "m", "instance": "e2", "why": "w", <field>: <value>}
      """
    When "100.64.0.7:40001" is explained
    Then the explanation has 4 lines, and "CFG-001" names "e4.log:1"

    Examples: Fields by which lines are selected
      | field      | value |
      | "message"  | [1]   |
      | "instance" | {}    |
      | "flow"     | 7     |
      | "target"   | [[]]  |
      | "why"      | [1]   |
      | "silent"   | 7     |
      | "time"     | 7     |

  Scenario: A line of another program nests without end
    Guards against a value that no parser reads, or that cannot be printed.
    Given the log of "e4" with a value nested 990 deep
    And the log of "e5" with a value nested 100000 deep
    When "100.64.0.7:40001" is explained
    Then the explanation has 6 lines, and "CFG-008" names no log

  Scenario: A caller that no line names
    A wrong port must not look like a flow without any trouble.
    When "100.64.0.7:4000" is explained
    Then the command fails with code "OPS-006"

  Scenario: A file that is not there
    The other logs are read all the same, and the missing one is named.
    When "100.64.0.7:40001" is explained with the log of "e9" as well
    Then the explanation has 4 lines, and "CFG-008" names "e9.log"
