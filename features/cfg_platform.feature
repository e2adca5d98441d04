Feature: The platform is reached with deadlines, and its stand-in has its faults

  Scenario: Objects are versioned and written on a condition
    Given a cfg stand-in platform over gRPC
    Then a cfg object is written once at version 0 and once at version 1
    And the cfg objects below a prefix are listed in the order of their names

  Scenario: A restored platform takes no write that was meant for what it lost
    Guards against a version that is given out again and mistaken for itself.

    Given a cfg stand-in platform over gRPC
    When the cfg platform has an object and is restored from a backup
    Then the cfg object is written, listed and deleted in the new era only

  Scenario: A slow platform ends a read in time and leaves a write in doubt
    The platform answers after the caller has given up. An actor that waited
    on would do none of its own work; a write that was called failed would be
    made again.

    Given a cfg stand-in platform over gRPC
    And the cfg platform answers after 400 ms
    Then a cfg read that waits 50 ms ends with "PLT-001"
    And a cfg write that waits 50 ms ends with "PLT-002"

  Scenario: A watch gives what exists and what changes, until it is killed
    Given a cfg stand-in platform over gRPC
    When a cfg watch is open over an object and a second one is written
    Then the cfg watch gave both
    And it ends when the cfg watches are killed

  Scenario: A watch that has silently died ends by its own deadline
    The watch's connection looks open and nothing comes. Without a deadline
    of its own its reader would wait for a change for ever.

    Given a cfg stand-in platform over gRPC
    And the cfg platform's watches are mute
    When a cfg watch of 200 ms is open over an object
    Then the cfg watch ends with nothing

  Scenario: The instance list lags behind and forgets the silent
    Given a cfg platform state whose instances expire after 5 s
    When the cfg instance "e1" registers at 0 s and "e2" at 3 s
    Then the cfg instance list at 3 s is "e1 e2"
    And the cfg instance list at 6 s is "e2"
    And the cfg instance list at 4 s with a lag of 2 s is "e1"
    When the cfg instance "e2" leaves at 7 s
    Then the cfg instance list at 7 s is ""
    And the cfg instance list at 7 s with a lag of 1 s is "e2"

  Scenario: The stand-in runs as a process and its faults are switched from outside
    Given the cfg stand-in platform as a process
    Then its cfg faults can be switched and its calls are counted
    And it ends with 0 when it is told to stop
