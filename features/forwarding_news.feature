Feature: Instances tell each other what the store has told one of them

  Scenario: All instances of a zone fetch in the same moment
    A change of the configuration is too large for a beat, so everybody
    fetches it from the hub at once.  A server that lets five wait drops the
    others' opening packets, and they are sent again after a second.
    Given a hub that is busy for a while
    When 60 instances fetch from it at once
    Then all of them have the snapshot within its own time-out

  Scenario: Hubs are the instances with the widest links
    Telling a zone its news takes bytes; on a narrow link callers' packets
    would queue behind them.
    Given a zone of 20 instances of which 2 have wide links
    When they have told each other of themselves
    Then the two are the hubs, and everybody agrees on the first

  Scenario: A hub that falls silent is replaced
    It dies, and nobody hears news any more until the next one takes over.
    Given a zone of 20 instances of which 2 have wide links
    When they have told each other of themselves
    And the first hub falls silent
    Then within 2 s everybody has another first hub that is alive

  Scenario: Loads are summed without counting anybody twice
    Given a zone of 20 instances of which 2 have wide links
    When they have told each other of themselves
    And each has 3 flows on one target and reports them
    Then everybody knows of 57 flows of the others
