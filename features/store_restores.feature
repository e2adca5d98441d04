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

  Scenario: A configuration confirmed after the return is in force
    Guards against a configuration that is refused for its lower revision.
    Given a store, and an instance that has read it
    When the store loses 5 changes of others and configuration 2 with ports 443
    And the operator writes configuration 3 with ports 443 and 8443
    And the instance follows on
    Then it has routes to ports 443 and 8443

  Scenario: A target that drains after the return gets no new flow
    Guards against a target's last word being refused for its lower revision.
    Given a store, and an instance that has read it
    When the store loses the last 5 changes of others
    And target 1 says that it drains
    And the instance follows on
    Then new flows go to target 2 only

  Scenario: A zone that is drained after the return gets no new flow
    Guards against an order being refused for its lower revision.
    Given a store, and an instance that has read it
    When the store loses the last 5 changes of others
    And the operator drains zone "a"
    And the instance follows on
    Then it knows that zone "a" is drained
