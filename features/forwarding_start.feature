Feature: Packets that come while an instance starts

  All instances lose power, and routers send packets to each of them from
  the moment at which it runs again.  A packet that meets no socket, or an
  instance without routes and targets, waits for its caller's next repeat.

  Scenario: Packets wait for the first directory
    A student's opening arrives before the store has answered.  Dropped, it
    would be repeated by the caller, and the hold be late.
    Given a packet task without routes and targets
    When an opening arrives and the directory becomes known
    Then the target gets the opening

  Scenario: Open flows need no configuration
    On a slow link a large configuration takes half a second.  Feeds that
    are open need the targets only; new flows wait for the routes.
    Given a packet task without routes and targets
    When an opening and a request arrive and only the targets become known
    Then the target gets the request alone
    When the routes become known too
    Then the target gets the opening

  Scenario: Packets that have waited too long are dropped
    The store was away for seconds.  Callers have given up by then; their
    openings would only occupy targets.
    Given a packet task without routes and targets
    And its packets may wait for 0 s
    When an opening arrives and the directory becomes known
    Then the opening is counted as dropped, and the next one arrives

  Scenario: The first steps load little
    The program takes a third of a second to load on a small machine.  The
    socket is opened by the first steps, so they must not wait for the rest.
    When the first steps of the program are loaded
    Then neither actors, logs nor the store's client are loaded with them

  Scenario: The program loads nothing that forwarding does not need
    Callers wait until it is loaded.  One import of the standard library's
    HTTP client brings the modules for mail and TLS, a fifth of the start.
    Then the whole program loads without mail, TLS or the standard HTTP client
