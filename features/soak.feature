Feature: A soak of forwarded flows

  Real processes on loopback meet faults and changes that overlap.  A seed
  fixes what is struck and when, not how processes interleave.

  @soak
  Scenario Outline: Seed <seed> breaks no promise: <cause>
    Guards against faults that only meet in combination.
    When seed <seed> is soaked
    Then no promise was broken and requests are served again

    Examples: Seeds that have failed, with their causes
      | seed | cause                                                     |
      | 1    | a paused process that was asked to stop never left        |
      | 4    | new settings ended a process that was still loading       |

    Examples: Overload beyond a cut, a restored store, a reused address
      | seed | cause      |
      | 6    | none known |

  Scenario: A probe is held up until its route is dropped
    Guards against a violation that the soak's own delay of a packet causes.
    Then a probe that was sent before a refusal is no violation
    But one that was sent after it is

  Scenario: A checker objects to what a soak must never show
    Guards against a soak that is green because it sees nothing.
    Then each planted violation is reported once
