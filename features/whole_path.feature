Feature: The whole path from a caller to a target and back

  Scenario: A request crosses two entry instances as separate processes
    Given a platform, a target and two entry instances as processes
    When a caller sends "echo hello" to the search service
    Then the caller reads "hello" and the verdict done

  Scenario: Both entry instances stop at once while a feed is live
    An operator replaces both instances at the same time. Each looks for a
    successor and finds only the other one. They must end all the same, and
    a feed that nobody can take over ends with them, not before.

    Given a platform, a target and two entry instances as processes
    When a caller follows a feed and has its first events
    And both entry instances are told to stop
    Then both end with exit code 0
