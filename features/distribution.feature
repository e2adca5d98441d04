Feature: The newest configuration is in force everywhere, and never reverts

  Scenario: An older revision from any side is not adopted
    A watch delivers late, the store answers with an old value, a peer is
    behind. Adopted, targets that have left would come back and an operator
    would see an accepted change revert.

    Given a distribution with revision 7 in force
    When the distribution's read gives revision 6
    And the distribution's peer "e1" gives revision 5
    Then the distribution adopts nothing more and stays at 7

  Scenario: A jump in the revision is taken
    Given a distribution with revision 7 in force
    When the distribution's read gives revision 12
    Then the distribution adopts revision 12

  Scenario: A peer that states a higher revision is asked at once
    Given a distribution with revision 7 in force
    When the distribution hears that "e1" has revision 8
    Then the distribution fetches from "e1"
    When the distribution's peer "e1" gives revision 8
    Then the distribution adopts revision 8

  Scenario: A peer that does not answer is passed over for another
    The only peer that a cut-off instance has heard of the change from dies
    before it hands the change over.

    Given a distribution with revision 7 in force
    When the distribution hears that "e1" has revision 8
    Then the distribution fetches from "e1"
    When the distribution's peer "e1" gives nothing
    And the distribution hears that "e1,e2" has revision 8
    Then the distribution fetches from "e2" within 1 s

  Scenario: A store that lags behind what a watch delivered is read again soon
    The watch shows a new root, and the read that follows is answered by a
    replica that lags. The change would wait for the next repair read.

    Given a distribution with revision 7 in force
    When the distribution's watch shows revision 8
    And the distribution's read gives revision 7
    Then the distribution reads again within 2 s

  Scenario: A watch that died silently delays a change by a repair read at most
    Given a distribution with revision 7 in force that watches
    Then the distribution reads again within 12 s

  Scenario: A watch that ends at once is not opened in a tight loop
    The platform refuses watches for an hour. Each instance opening another
    at once would keep the platform down.

    Given a distribution with revision 7 in force that watches
    When the distribution's watch ends at once 20 times
    Then the distribution waited at least 60 s in all to open them

  Scenario: Reads of a platform that is down become rare
    Given a distribution with revision 7 in force
    When the distribution's reads fail for 300 s
    Then the distribution read at most 30 times

  Scenario: A cold start with the platform down takes the highest of its peers' answers
    The platform is down and an instance is replaced. It asks its peers; one
    of them has been cut off and still has an old revision.

    Given a cold distribution with peers "e1,e2,e3"
    When the distribution's read fails
    And the distribution's peer "e1" gives revision 5
    Then the distribution adopts nothing yet
    When the distribution's peer "e2" gives revision 8
    And the distribution's peer "e3" gives nothing
    Then the distribution adopts revision 8

  Scenario: A cold start does not wait for a peer that never answers
    Given a cold distribution with peers "e1,e2,e3"
    When the distribution's read fails
    And the distribution's peer "e1" gives revision 5
    Then the distribution adopts revision 5 after 1.1 s

  Scenario: A cold start with neither platform nor peer adopts nothing
    Given a cold distribution with peers "e1"
    When the distribution's read fails
    And the distribution's peer "e1" gives revision 0
    Then the distribution adopts nothing yet

  Scenario: A cold start knows its peers from the settings when the platform is down
    Given a cold distribution with the seed "127.0.0.1:9"
    When the distribution's read fails
    Then the distribution fetches from "127.0.0.1:9"

  Scenario: A missed key rotation is repaired through any peer
    An instance was cut off while a key was published and signed with. It
    cannot read its peers' datagrams and the platform is down; it would
    refuse valid tokens until the platform is back.

    Given a distribution with revision 7 in force
    And the distribution's live peers are "e1"
    When the distribution's read fails
    And the distribution sees 1 sign of being behind
    Then the distribution fetches from "e1"

  Scenario: Forged signs of being behind cause few reads
    Anybody can send tokens with an invented key id. If each caused a read,
    one sender could use up the platform's rate for all.

    Given a distribution with revision 7 in force
    When the distribution sees 1000 signs of being behind in 10 s
    Then the distribution read at most 6 times

  Scenario: A few instances of each zone watch and the others do not
    Given 24 entries in 4 zones
    Then 2 distributions in each zone watch
    When one watcher of each zone is lost
    Then 2 distributions in each zone watch
    And at most one distribution in each zone changed

  Scenario: A change reaches every entry through few reads
    Given a distribution fleet of 24 entries in 4 zones
    When revision 8 is published to the distribution fleet
    Then the whole distribution fleet has revision 8 within 3 s
    And the platform's root was read at most 12 times for it

  Scenario: A zone that is cut off serves its revision and catches up later
    A zone is cut off from the others and from the platform. It goes on
    with the last revision, and nothing older ever comes into force.

    Given a distribution fleet of 24 entries in 4 zones
    When zone "z1" of the distribution fleet is cut off
    And revision 8 is published to the distribution fleet
    Then the distribution fleet outside "z1" has revision 8 within 3 s
    And zone "z1" of the distribution fleet still has revision 7
    When zone "z1" of the distribution fleet is joined again
    Then the whole distribution fleet has revision 8 within 5 s
    And no entry of the distribution fleet went back

  Scenario: A peer of an older era does not bring a lost configuration back
    Guards against peers that undo a restore by what the platform has lost.

    Given a distribution with revision 7 in force
    When the distribution's read gives revision 5 of era 2
    Then the distribution adopts revision 5
    When the distribution hears that "e1" has revision 9
    And the distribution's peer "e1" gives revision 9
    Then the distribution stays at revision 5 of era 2

  Scenario: An entry that starts during a restore takes what the platform has
    Guards against an entry that starts by the highest number that it hears.

    Given a cold distribution with peers "e1,e2"
    When the distribution's peer "e1" gives revision 9
    And the distribution's read gives revision 7 of era 2
    And the distribution's peer "e2" gives nothing
    Then the distribution stays at revision 7 of era 2

  Scenario: An entry that started by a lost configuration takes the platform's
    Guards against an entry that a peer of the older era holds back for good.

    Given a cold distribution with peers "e1"
    When the distribution's read fails
    And the distribution's peer "e1" gives revision 9
    Then the distribution adopts revision 9
    When the distribution's read gives revision 7 of era 2
    Then the distribution stays at revision 7 of era 2

  Scenario: A platform that has lost every configuration takes none away
    Guards against entries that serve nobody until somebody publishes again.

    Given a distribution with revision 7 in force
    When the distribution's read gives revision 0 of era 2
    Then the distribution adopts nothing more and stays at 7

  Scenario: An engine takes a later era's configuration and none of before
    Guards against flows that are served by what the platform has lost.

    Given an engine with revision 5 of era 1 in force
    When the engine is given revision 3 of era 2
    And the engine is given revision 9 of era 1
    Then the engine has revision 3 of era 2 in force

  Scenario: A zone that was cut off during a restore does not undo it
    Guards against a zone that spreads the lost configuration when it is back.

    Given a distribution fleet of 24 entries in 4 zones
    When revision 8 is published to the distribution fleet
    Then the whole distribution fleet has revision 8 within 3 s
    When zone "z1" of the distribution fleet is cut off
    And the distribution fleet's platform loses and reissues revision 8
    Then the distribution fleet outside "z1" has era 2 within 3 s
    And zone "z1" of the distribution fleet still has revision 8
    When zone "z1" of the distribution fleet is joined again
    Then the whole distribution fleet has era 2 within 5 s
    And no entry of the distribution fleet went back
