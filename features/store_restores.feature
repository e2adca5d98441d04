Feature: The store is restored from a backup some seconds old

  What was written since the backup is lost, and its revisions are reissued.
  The store counts its restores in a header field, its era.

  Scenario: A fact that is refused as older is logged as refused
    Guards against logs that tell of a change which was not taken in.
    Given a store, and an instance that has read it
    When an older change of a target arrives
    Then it is logged as refused, with both revisions, and not as taken

  Scenario: A new era of the store is logged
    Guards against a restore that logs do not show.
    Given a store, and an instance that has read it
    When the store is restored from a backup
    Then the instance's next list logs the era, and the one before

  Scenario: A configuration confirmed after the restore is in force
    Guards against a configuration that is refused for its lower revision.
    Given a store, and an instance that has read it
    When the store loses 5 changes of others and configuration 2 with ports 443
    And the operator writes configuration 3 with ports 443 and 8443
    And the instance follows on
    Then it has routes to ports 443 and 8443

  Scenario: A target that drains after the restore gets no new flow
    Guards against a target's last word being refused for its lower revision.
    Given a store, and an instance that has read it
    When the store loses the last 5 changes of others
    And target 1 says that it drains
    And the instance follows on
    Then new flows go to target 2 only

  Scenario: A zone that is drained after the restore gets no new flow
    Guards against an order being refused for its lower revision.
    Given a store, and an instance that has read it
    When the store loses the last 5 changes of others
    And the operator drains zone "a"
    And the instance follows on
    Then it knows that zone "a" is drained

  Scenario: An older configuration in the backup does not come back
    Guards against a confirmed configuration being reverted by the backup.
    Given a store, and an instance that has read it
    When the store loses 5 changes of others and configuration 2 with ports 443 and 8443
    And the instance follows on
    Then it has routes to ports 443 and 8443
    When the operator writes configuration 3 with ports 80
    And the instance follows on
    Then it has routes to ports 80

  Scenario: An instance that starts after the restore hears of a lost configuration
    Guards against a new instance serving the backup's configuration.
    Given a store, and an instance that has read it
    When the store loses 5 changes of others and configuration 2 with ports 443 and 8443
    And another instance starts
    And the other one hears the instance
    Then the other one has routes to ports 443 and 8443

  Scenario: Revisions that are reissued hide no change
    Guards against a watch from a lost revision that the store has again.
    Given a store, and an instance that has read it
    When the store loses the last 5 changes of others
    And target 1 says that it drains
    And the store makes 9 changes of others
    And the instance follows on
    Then new flows go to target 2 only

  Scenario: An instance hears of the restore from another one
    Guards against news of the new era being refused for a lower revision.
    Given a store, and an instance that has read it
    And another instance that has read it
    When the store loses the last 5 changes of others
    And target 1 says that it drains
    And the other instance follows on
    And the instance hears the other one
    Then new flows go to target 2 only

  Scenario: An instance that missed the restore misleads nobody
    Guards against old facts with a higher revision that undo later ones.
    Given a store, and an instance that has read it
    And another instance that has read it
    When the store loses the last 5 changes of others
    And target 1 says that it drains
    And the other instance follows on
    And the other one hears the instance
    Then the other one's new flows go to target 2 only

  Scenario: Equal revisions of two eras confirm nothing
    Guards against facts of a lost history that look fresh.
    Given a store, and an instance that has read it
    And another instance that has read it
    When the store loses the last 5 changes of others
    And target 1 says that it drains
    And the store makes 4 changes of others
    And the other instance follows on
    And the instance hears the other one
    Then new flows go to target 2 only

  Scenario: A draining target that the backup shows as ready gets no new flow
    Guards against a target's word being taken back by the backup.
    Given a store, and an instance that has read it
    When the store loses that target 1 drains
    And the instance follows on
    Then new flows go to target 2 only
    When target 1 writes nothing for 6 s
    Then new flows go to target 2 only
    When the instance follows on
    Then new flows go to targets 1 and 2

  Scenario: A target that the backup lacks keeps its flows until it has written again
    Guards against resets of open flows whose targets live.
    Given a store, and an instance that has read it
    When the store loses that target 3 has registered
    And the instance follows on
    Then packets of target 3 are still forwarded
    When target 3 registers again
    And the instance follows on
    Then new flows go to targets 1 and 2 and 3

  Scenario: A draining target that the backup lacks keeps its flows and gets no new one
    Guards against resets, and against new flows on a target that leaves.
    Given a store, and an instance that has read it
    When the store loses that target 3 has registered and drains
    And the instance follows on
    Then packets of target 3 are still forwarded
    And new flows go to targets 1 and 2
    And no target is waited for

  Scenario: A target that has gone gets no new flow though the backup has it
    Guards against flows to an address that nobody serves any more.
    Given a store, and an instance that has read it
    When the store loses that target 1 has gone
    And the instance follows on
    Then new flows go to target 2 only
    When target 1 registers again
    And the instance follows on
    Then new flows go to targets 1 and 2

  Scenario: The store is restored twice in a row
    Guards against a second restore that makes the first one's losses forgotten.
    Given a store, and an instance that has read it
    When the store loses that target 1 drains
    And the instance follows on
    And the store is restored from a backup
    And the instance follows on
    Then new flows go to target 2 only

  Scenario: A draining target goes between two restores of one backup
    Guards against a target that counts as ready since it was not listed.
    Given a store, and an instance that has read it
    When the store loses that target 1 drains
    And the instance follows on
    And target 1 goes
    And the instance follows on
    And the store is restored from the same backup again
    And the instance follows on
    Then new flows go to target 2 only

  Scenario: A drained zone that the backup does not know stays drained
    Guards against an operator's order being taken back by the backup.
    Given a store, and an instance that has read it
    When the store loses that zone "a" is drained
    And the instance follows on
    Then it knows that zone "a" is drained
    When nobody drains zone "a" again for 6 s
    Then it knows that zone "a" is drained
    When the instance follows on
    Then it knows that no zone is drained

  Scenario: A zone that is drained again and taken back is open at once
    Guards against an order that outlives its end.
    Given a store, and an instance that has read it
    When the store loses that zone "a" is drained
    And the instance follows on
    And the operator drains zone "a"
    And the instance follows on
    And the operator takes zone "a" back
    And the instance follows on
    Then it knows that no zone is drained

  Scenario: A replica that still has lost numbers hides no change
    Guards against orders and routes that are never read for a lost revision.
    Given a store, and an instance that has read it
    When another instance starts, and a replica tells it lost orders to drain
    And the operator drains zone "a"
    And the operator writes configuration 2 with ports 8443
    And the other instance follows on once
    Then the other one knows that zone "a" is drained
    And the other one has routes to ports 8443

  Scenario: The key of the instances is lost and written again
    Guards against instances that start later and make a key of their own.
    Given a store, and an instance that has read it
    And 3 instances that have learnt the key
    When the store loses the key
    And the 3 instances check the key
    Then all of them and the store have the key of before

  Scenario: Another key was made before the lost one was written again
    Guards against a zone in two halves that do not believe each other.
    Given a store, and an instance that has read it
    And 3 instances that have learnt the key
    When the store loses the key
    And an instance that starts learns the key
    And the 3 instances check the key
    Then all of them have the key of the one that started

  Scenario: Followers check the key when the store was restored
    Guards against a lost key that nobody misses.
    Given a store, and an instance that has read it
    Then it has not asked for a check of the key
    When the store is restored from a backup
    And the instance follows on
    Then it has asked for 1 check of the key

  Scenario: Random writes, restores and restarts
    Guards against orders of events that no scenario has thought of.
    Given 400 plays of writes, restores and restarts
    Then hypothesis finds no play in which an instance goes back or stays wrong
