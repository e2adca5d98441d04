Feature: Single decisions

  Scenario: A target that fails at once does not look idle
    A broken target answers at once with errors, so nothing is in flight
    there and its load report shows an idle machine.  Callers placed on it
    receive nothing but errors.

    Given a decision on placement over 4 targets
    When the decided target "target-0" fails 4 times and reports no load
    Then 100 decided flows avoid "target-0"
    And decided moves take its flows to other targets

  Scenario: An ejected target returns by a few flows
    A target that was broken for a moment must not stay out for ever, nor
    receive everything at once when it is back.

    Given a decision on placement over 4 targets
    And 300 decided flows
    When the decided target "target-0" fails 4 times and reports no load
    And 3 decided seconds pass
    Then the decided target "target-0" takes between 1 and 30 of 100 flows
    When the decided target "target-0" fails once more
    Then 100 decided flows avoid "target-0"

  Scenario: When most targets look bad flows are spread over all
    A fault on our own side, or a moment of overload, makes most targets
    look bad.  Sent to the last good one alone, all callers would wait for
    two slots.

    Given a decision on placement over 4 targets
    When 3 of the decided targets fail 4 times
    Then 400 decided flows give each target at most 150

  Scenario: A zone that is cut off serves from its own targets
    The links between zones are cut and all targets elsewhere look bad at
    once.  Spread over all of them, two of three flows would go nowhere.

    Given a decision on placement over 6 targets in 3 zones
    When all decided targets outside "zone-0" fail 4 times
    Then 100 decided flows use only "zone-0"

  Scenario: A lying load report attracts nobody
    One target reports no load whatever it does.  All six entries read the
    same report and would send all new flows there.

    Given a decision on placement over 4 targets
    When the decided target "target-0" reports no load and the others report 6
    Then 400 decided flows give each target at most 150

  Scenario: A draining target is never chosen, even when it is the last
    A flow placed on a leaving target is cut when it has left.  No place at
    all is the true answer.

    Given a decision on placement over 2 targets
    When all decided targets report that they drain
    Then no decided target takes a flow

  Scenario: A target's connections are not exceeded
    Given a decision on placement over 2 targets with 10 connections each
    When 20 decided flows are placed
    Then no decided target takes a flow

  Scenario Outline: Imbalance is mended as far as the service minds it
    A target joins when all flows have their places.  Without moves it stays
    idle for hours; with moves of every flow, feeds are handed over for
    little gain.

    Given a decision on placement over 4 targets
    And an imbalance weight of <weight> in the decision
    And 300 decided flows
    When a decided target joins and 60 seconds of moves pass
    Then the joined target has between <least> and <most> flows

    Examples:
      | weight | least | most |
      | 0      | 0     | 0    |
      | 0.2    | 25    | 50   |
      | 0.8    | 50    | 60   |

  Scenario: A caller with much waiting gives way to one with little
    One caller fills the queue.  Another one's first request would be
    refused because of it.

    Given a decision on admission with a queue of 4
    When the decided caller "hot" offers 12 jobs and "calm" offers 1
    Then the decided job of "calm" waits and one of "hot" is refused
    And the decided job of "calm" starts second

  Scenario: A wait that cannot end in time is refused at once
    With jobs of a second and a deadline of two, the tenth in the queue can
    only be answered too late.

    Given a decision on admission with a queue of 64
    And decided jobs that take 1 second
    When the decided caller "one" offers 10 jobs
    Then over 5 decided jobs are refused at once with a time to come back

  Scenario: After a slow phase the forecast recovers
    A target was slow and every request timed out.  If the forecast alone
    decided, no request would ever run again to show that it is fast.

    Given a decision on admission with a queue of 64
    And decided jobs that take 30 seconds
    Then a decided job offered to the idle target starts

  Scenario: Long jobs leave a slot to short ones
    Downloads hold every slot of a target for seconds, and refinements of a
    tenth of a second wait behind them.

    Given a decision on admission with a queue of 64
    When 3 long decided jobs and 1 short one are offered
    Then 1 long and 1 short decided job start

  Scenario: A doubled offer starts once
    The fabric doubles a datagram, and a hold would book an aircraft twice.

    Given a decision on admission with a queue of 64
    When the same decided job is offered twice
    Then it starts once

  Scenario: Whatever happens, each offered job has one fate
    Given any order of offers, ends, cancels and sweeps
    Then each decided job starts, is refused or is cancelled exactly once

  Scenario: Retries stay within their budget
    A target sheds everything.  Unbounded retries would triple the load.

    Given a decided retry budget
    When 1000 decided requests fail within 1 second
    Then at most 110 of them may be tried again

  Scenario Outline: What may not be tried again
    Given a decided retry budget
    Then a request that "<ran>" with <left> s left is <allowed>

    Examples:
      | ran                       | left | allowed |
      | NOT_RUN                   | 1    | tried   |
      | NOT_RUN                   | 0    | given up |
      | MAY_HAVE_RUN              | 1    | given up |
      | MAY_HAVE_RUN, idempotent  | 1    | tried   |
      | DONE, idempotent          | 1    | given up |

  Scenario: Times to come back are spread out
    Callers refused in one instant would all come back in one instant.

    Then 100 decided times to come back from 200 ms spread over 200 to 300 ms

  Scenario: Feeds are re-homed before idle flows
    A dead entry's flows all want a new home.  Idle ones asked first would
    keep feeds silent.

    Given a decided pace of 10 a second with a burst of 10
    When 100 idle flows and then 5 feeds ask for it at once
    Then all 5 feeds and at most 5 idle flows are let through

  Scenario: An overloaded entry gives up new flows first and feeds never
    Datagrams come faster than they are handled, and the kernel would drop
    keep-alives of feeds as likely as anything else.

    Then a decided backlog of 0 ms gives up nothing
    And a decided backlog of 30 ms gives up "OPEN"
    And a decided backlog of 60 ms gives up "OPEN, LONG"
    And a decided backlog of 5000 ms gives up "OPEN, LONG, SHORT"
    And decided shedding ends step by step after the backlog
