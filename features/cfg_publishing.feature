Feature: A configuration is published by one conditional write

  Background:
    Given a cfg store in memory
    And a cfg of 6 services is published by "amal"

  Scenario: A publication is in force whole, with its audit entry
    When "omar" publishes queue limit 7 for service "s1" because "trial"
    Then the cfg publication is accepted as revision 2
    And the cfg in force has queue limit 7 for service "s1"
    And the cfg audit entry of revision 2 is by "omar" because "trial"
    And it says that "service.s1.queue_limit" went from "64" to "7"

  Scenario: A publication without a message is refused
    When "omar" publishes queue limit 7 for service "s1" because " "
    Then the cfg publication is refused with "OPS-004"
    And the cfg in force has revision 1

  Scenario: The design size fits the platform's values and a change stays small
    Given a cfg of 2300 services with 4600 targets is published by "amal"
    Then no cfg object is longer than 1000000 bytes
    When "omar" publishes queue limit 7 for service "s1" because "trial"
    Then the cfg change wrote fewer than 40000 bytes

  Scenario: A lost answer is settled as won, and the change stands once
    The platform applies the write and the connection breaks before the
    answer arrives. An operator who is told "failed" applies again, and the
    trail shows the change twice or undoes what came between.

    Given the cfg store loses the answer of the next root write
    When "omar" publishes queue limit 7 for service "s1" because "trial"
    Then the cfg publication is accepted as revision 2
    And write ids in the cfg audit trail are unique

  Scenario: A lost answer is settled as won although another change followed
    The answer is lost, and before the writer looks again a second operator
    has published on top. The version alone would tell the first that the
    race is lost, and the change would be made a second time.

    Given the cfg store loses the answer of the next root write
    And "huda" publishes token life 300 before the cfg writer looks again
    When "omar" publishes queue limit 7 for service "s1" because "trial"
    Then the cfg publication is accepted as revision 2
    And the cfg in force has revision 3
    And the cfg in force has queue limit 7 for service "s1"

  Scenario: A write that never arrived loses to the one that did
    Given the cfg store drops the next root write
    And "huda" publishes token life 300 before the cfg writer looks again
    When "omar" publishes queue limit 7 for service "s1" because "trial"
    Then the cfg publication is refused with "OPS-001"
    And it names the cfg change of "huda"
    And the cfg in force has queue limit 64 for service "s1"

  Scenario: A write that takes effect late is not made twice
    The write waits inside the platform. The writer reads the old root, so
    the write seems to have failed; a moment later it takes effect after all.

    Given the cfg store delays the next root write until the writer tries again
    When "omar" publishes queue limit 7 for service "s1" because "trial"
    Then the cfg publication is accepted as revision 2
    And the cfg in force has revision 2

  Scenario: An outage right after the write leaves a doubt that repeating settles
    Given the cfg store loses the answer of the next root write
    And the cfg store goes down after it
    When "omar" publishes queue limit 7 for service "s1" because "trial"
    Then the cfg publication is refused with "PLT-002"
    When the cfg store is up again and "omar" repeats the publication
    Then the cfg publication is accepted as revision 2
    And write ids in the cfg audit trail are unique

  Scenario: A repeated publication does not undo what followed the first
    The first try took effect unheard, a second operator set the same value
    anew, and then the first repeats. Made again, the old change would come
    back on top of the new one.

    Given the cfg store loses the answer of the next root write
    And the cfg store goes down after it
    When "omar" publishes queue limit 7 for service "s1" because "trial"
    And the cfg store is up again and "huda" sets queue limit 9 for service "s1"
    And the cfg store is up again and "omar" repeats the publication
    Then the cfg publication is accepted as revision 2
    And the cfg in force has queue limit 9 for service "s1"

  Scenario: A platform that is down changes nothing
    Given the cfg store is down
    When "omar" publishes queue limit 7 for service "s1" because "trial"
    Then the cfg publication is refused with "PLT-001"

  Scenario: Answers lost while parts are written leave no doubt
    Answers of several writes in a row are lost before the root is written.
    Nothing is in force yet, so "it may be in force" would be untrue.

    Given the cfg store loses the answers of the next 2 writes
    When "omar" publishes queue limit 7 for service "s1" because "trial"
    Then the cfg publication is accepted as revision 2
    Given the cfg store loses the answers of the next 99 writes
    When "omar" publishes queue limit 8 for service "s1" because "trial"
    Then the cfg publication is refused with "PLT-001"
    And the cfg in force has revision 2

  Scenario: A change made from an older revision is refused with what came since
    Two operators take copies of the folder. The second to apply would undo
    the first one's change without ever having seen it.

    Given "huda" has published token life 300 for service "s2"
    When "omar" publishes queue limit 7 for service "s1" from cfg revision 1
    Then the cfg publication is refused with "OPS-001"
    And it names the cfg change of "huda"
    And the cfg in force has revision 2

  Scenario: A lagging store cannot make a change look reverted
    A replica of the platform's store answers with yesterday's root. A writer
    that believes it would put yesterday's configuration on top of today's.

    Given "huda" has published token life 300 for service "s2"
    And the cfg store answers reads with the state before that
    When "omar" publishes queue limit 7 for service "s1" because "trial"
    Then the cfg publication is refused with "OPS-001"
    When "omar" publishes queue limit 7 for service "s1" from cfg revision 2
    Then the cfg publication is refused with "PLT-003"

  Scenario Outline: A document that is not whole is not adopted
    A part is missing or was altered in the platform. An entry instance that
    took the rest would tell callers that their service does not exist.

    When a cfg <object> in the store is <damage>
    Then reading the cfg in force finds "PLT-005" and gives none

    Examples:
      | object | damage  |
      | part   | missing |
      | part   | altered |
      | root   | altered |

  Scenario: Unused parts are pruned, and only those
    Each change leaves a part behind. A pruner that was paused for hours acts
    on what it had read; deleting a part that is in force again would take
    services away from every entry that starts later.

    When 130 cfg changes are published one after another
    Then the cfg store holds fewer than 75 parts and a whole cfg
    When 130 cfg changes are published one after another
    Then a cfg pruner that was paused at each of these revisions harms nothing

  Scenario: A slow reader is not told of damage when parts were pruned
    A reader has the root and waits; meanwhile so much changes that a part of
    its root is gone. Nothing is damaged, and nobody should be called.

    When a slow reader has read the cfg root and 80 changes follow
    Then the slow reader has cfg revision 81

  Scenario: A value beyond the platform's limit is refused before it is sent
    When a cfg value of 1000001 bytes is put into the store
    Then the cfg store refuses it with "PLT-004"

  Scenario: Every configuration survives its encoding
    Then generated cfgs are the same after encoding and decoding
    And a generated cfg bundle trimmed by its older one is completed by it

  Scenario: 200 racing changes from 4 operators, none lost, doubled or reverted
    Four operators change their own services through the platform at the same
    moment, each trying again from what is in force after a lost race, while
    some answers are lost on the way.

    Given the cfg stand-in platform over gRPC with a published cfg
    When 4 operators make 50 racing cfg changes each while answers get lost
    Then the cfg in force is revision 201 and holds every accepted change
    And the cfg audit trail has each write id once and every step in order

  Scenario: A cfg revision that the platform lost and reissued is in force
    Guards against a change that entries ignore since they know its number.
    Given a cfg store in memory
    And a cfg of 2 services is published by "ana"
    And an entry has read the cfg
    When the platform loses that "ana" sets the queue limit of "s0" to 50
    And "omar" sets the queue limit of "s1" to 60 and the entry reads the cfg
    Then the entry has the cfg in force that the platform has

  Scenario: A change planned before a restore does not undo a reissued one
    Guards against a base that is taken for another change of its number.

    Given "huda" has published token life 300 for service "s2"
    And the cfg store loses that, and "ana" publishes token life 200 instead
    When "omar" publishes queue limit 7 for service "s1" from cfg revision 2
    Then the cfg publication is refused with "OPS-001"
    And the cfg in force has revision 2

  Scenario: A root write that a restore overtakes does not undo a reissued one
    Guards against a version that the restored store has given out again.

    Given "huda" has published token life 300 for service "s2"
    And right before the next root write the cfg store loses that, and "ana" publishes token life 200 instead
    When "omar" publishes queue limit 7 for service "s1" because "trial"
    Then the cfg publication is refused with "OPS-001"
    And the cfg in force has queue limit 64 for service "s1"
    And the cfg in force has revision 2

  Scenario: A pruner that a restore overtakes harms nothing
    Guards against parts that only the lost configurations did without.

    Given "huda" has published token life 300 for service "s2"
    When a cfg pruner has read the root after 130 changes and the store loses them
    Then the cfg store has a whole cfg of revision 1
