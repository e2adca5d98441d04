Feature: The platform's instance list is read as often as it is worth

  Scenario: A small list is read every two seconds or so
    Given a polling schedule of a list
    When the polled list has 400 bytes each time for 60 s
    Then the polling made between 24 and 38 calls

  Scenario: A large list is read more rarely
    The list of a large fleet has hundreds of kilobytes. Read every two
    seconds by each instance, it would take fifty times what control may use;
    feeds would stall behind it.

    Given a polling schedule of a list
    When the polled list has 50000 bytes each time for 1000 s
    Then the polling made between 4 and 8 calls

  Scenario: A missing address causes an early reading, but not a flood
    A new instance owns flows and this one knows only its name. Its callers
    would wait until the next reading; asked for by each packet, the platform
    would be read thousands of times a second.

    Given a polling schedule of a list
    When the polled list has 50000 bytes each time for 100 s and is wanted every 0.1 s
    Then the polling made between 8 and 14 calls

  Scenario: Calls to a platform that is down become rarer
    The platform comes back from an outage and all instances call it at the
    same moment, which ends in the next outage.

    Given a polling schedule of a list
    When the polled list fails for 80 s
    Then the polling made between 9 and 24 calls

  Scenario: One call is under way at a time
    Given a polling schedule of a list
    When the polled list does not answer for 60 s
    Then the polling made between 1 and 1 calls
