Feature: The caller's client and load tool over real sockets

  Scenario: Many flows on one socket through a faulty fabric
    Loss, duplication and reordering hit every datagram of a download and of
    a feed.  A caller must not notice more than a short pause.
    Given a small home on a socket behind a fabric with 3 % of each fault
    When the load tool runs 20 flows with 5 requests and a feed each
    Then its summary says 100 requests done and no feed broken
    And its record has the digest of each answer
    And each request took one id at the home

  Scenario: Nobody answers
    The address is wrong, or no entry is up.  The command must end by itself
    without a claim that the request may have run, since it was never sent.
    Given a socket that never answers
    When a request with a deadline of 0.3 s is sent to it by the command
    Then the command ends with the exit code for not run
