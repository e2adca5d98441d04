Feature: The store comes back from a copy some seconds old

  What was written since the copy is lost, and its revisions are given out
  again.  The store counts such returns in a header field, its era.

  Scenario: A fact that is refused as older is logged as refused
    Guards against logs that tell of a change which was not taken in.
    Given a store, and an instance that has read it
    When an older change of a target arrives
    Then it is logged as refused, with both revisions, and not as taken

  Scenario: A new era of the store is logged
    Guards against a return from a copy that logs do not show.
    Given a store, and an instance that has read it
    When the store comes back from a copy
    Then the instance's next list logs the era, and the one before
