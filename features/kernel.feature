Feature: The kernel finds actors, notices crashes, logs and counts

  Scenario: Actors of two instances in one process never find each other
    Given a kernel actor "part" in the scope "e1"
    Then the kernel finds "part" in the scope "e1"
    And the kernel finds no "part" in the scope "e2"
    When the kernel actor is stopped
    Then the kernel finds no "part" in the scope "e1"
    And telling the kernel actor "part" in "e1" says that it is gone

  Scenario: A crashed actor is noticed, logged with its code and counted
    An actor meets an input that its author did not think of and dies. The
    process goes on answering without it, and nobody would know.

    Given a kernel supervisor in the scope "e1"
    And a kernel actor "part" in the scope "e1"
    When the kernel actor breaks in a turn
    Then the kernel supervisor hears of a crash of "part"
    And the kernel logged the code "NET-004" for "part"
    And the kernel supervisor counts 1 crash of "part"
    And the kernel actor closed what it owned

  Scenario: An actor that fails while it starts is noticed too
    The port of the metrics is in use. The library that runs the actors
    calls no hook for this, and the process would run on unwatched.

    Given a kernel supervisor in the scope "e1"
    When a kernel actor "part" in the scope "e1" breaks at its start
    Then the kernel supervisor hears of a crash of "part"

  Scenario: An actor that hangs is noticed after a while
    An actor waits for something that never comes. It is alive by name, and
    its configuration would stay as it is for ever.

    Given a kernel supervisor in the scope "e1"
    And a kernel actor "part" in the scope "e1"
    And the kernel supervisor watches "part"
    When the kernel actor hangs
    And the kernel supervisor probes at 0 s and at 11 s
    Then the kernel supervisor hears of a crash of "part"

  Scenario: An actor that answers its probes is left alone
    Given a kernel supervisor in the scope "e1"
    And a kernel actor "part" in the scope "e1"
    And the kernel supervisor watches "part"
    When the kernel actor has answered the probe at 0 s
    And the kernel supervisor probes at 11 s
    Then the kernel supervisor counts 0 crashes of "part"

  Scenario: A log line is one JSON object with its part and instance
    Given kernel logs of the instance "e1" with the levels "level=info"
    When the kernel logs "cfg: in force" from "cfg" with the revision 7
    Then the kernel's log has 1 line
    And the kernel's last line has "part" = "cornelgap.cfg"
    And the kernel's last line has "instance" = "e1"
    And the kernel's last line has "message" = "cfg: in force"
    And the kernel's last line has "revision" = "7"

  Scenario: Repeats are limited and counted
    The platform is down and each part says so again and again. The one
    line that matters would be lost among thousands.

    Given kernel logs of the instance "e1" with the levels "level=info"
    When the kernel logs "cfg: platform not read" from "cfg" 1000 times
    Then the kernel's log has 5 lines
    When 11 s pass for the kernel's log
    And the kernel logs "cfg: platform not read" from "cfg" 1 times
    Then the kernel's log has 6 lines
    And the kernel's last line has "suppressed" = "995"

  Scenario: A part can have a level of its own
    Given kernel logs of the instance "e1" with the levels "level=warning,links=info"
    When the kernel logs "cfg: hello" from "cfg" 1 times
    And the kernel logs "links: hello" from "links" 1 times
    Then the kernel's log has 1 line

  Scenario: Unknown parts and levels are named
    Then checking the kernel's log levels "lunks=info,cfg=loud" gives "CFG-003,CFG-004"

  Scenario: Metrics are served with their values
    Given kernel metrics with 3 flows for "search"
    When the kernel's page "/metrics" is asked for
    Then the kernel's page has the status 200
    And the kernel's page has the line "test_flows{service=\"search\"} 3"

  Scenario: Label sets are bounded
    An operator's folder has thousands of services. A label for each would
    fill the memory of whoever collects the metrics.

    Given kernel metrics with 1 flow for each of 2300 services
    When the kernel's page "/metrics" is asked for
    Then the kernel's page has at most 80 lines of "test_flows{"
    And the kernel's page has the line "test_flows{service=\"other\"} 2221"

  Scenario: The health endpoint says when an instance is not ready
    Given kernel metrics of an instance that is not ready
    When the kernel's page "/ready" is asked for
    Then the kernel's page has the status 503
    And the kernel's page has the line "{\"ready\": false, \"revision\": 0}"

  Scenario: An instance whose packet actor does not answer is not ready
    The packet actor hangs. A health page that broke off, or still said
    ready, would keep callers coming.

    Given kernel metrics of an instance whose state cannot be read
    When the kernel's page "/ready" is asked for
    Then the kernel's page has the status 503

  Scenario Outline: Bad requests get an answer or none, and harm nobody
    Given kernel metrics with 3 flows for "search"
    When the kernel's metrics are sent "<request>"
    And the kernel's page "/metrics" is asked for
    Then the kernel's page has the status 200

    Examples:
      | request                      |
      | POST /metrics HTTP/1.1\r\n\r\n |
      | GET /nowhere HTTP/1.1\r\n\r\n  |
      | \r\n\r\n                       |
      | rubbish                      |

  Scenario: The list of metrics in the docs is the one in the code
    Then docs/METRICS.md lists the metrics of the code
    And every metric of the code has a name and unit by convention

  Scenario: What the engine counts is shown under a listed metric
    Given an engine state that counted "opens=4,refused_REQ-014=2,refused_rubbish=1,dropped_kind=3,verdict_done=9,news=1"
    Then the engine's metrics show "cornelgap_flows_opened_total" 4
    And the engine's metrics show "cornelgap_refusals_total" 2 for "REQ-014"
    And the engine's metrics show "cornelgap_refusals_total" 1 for "other"
    And the engine's metrics show "cornelgap_datagrams_dropped_total" 3 for "kind"
    And the engine's metrics show "cornelgap_verdicts_total" 9 for "done"
    And the engine's metrics show "cornelgap_events_total" 1 for "news"

  Scenario: A storm of different lines is bounded, and says what it left out
    A zone is cut off and thousands of flows are reset in a second, each
    with a line of its own.  Unbounded, the log would take the processor
    that the packets need.
    Given a log that takes 10 lines a second
    When 1000 lines of information and 30 warnings come in one second
    Then 20 lines pass in that second, 10 of them warnings
    And with the first line of the next second they tell of 1010 missing ones

  Scenario: A log collector that has stopped reading holds nobody up
    The pipe to it is full.  A write that waits for it would stop the task
    that forwards packets, and every flow with it.
    Given a log to a pipe that nobody reads
    When 20000 lines are logged, and one more after the pipe was read
    Then nobody has waited, each line is whole, and all 20001 are accounted
