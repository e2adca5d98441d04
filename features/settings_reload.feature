Feature: Settings that change while an instance runs

  The platform places the settings file anew as a whole, mostly with a
  signal.  A restart for each change would cost the instance's flows a
  detour, and a bad file the instance.

  Scenario: Changed seeds are asked for other instances
    Guards against an instance that stays alone with seeds that are gone.
    Given two instances that do not know each other
    When the first one's seeds change to the other
    Then each knows of both

  Scenario: A changed bound shortens the waits for the store
    Guards against a promise that holds only after the next start.
    Given a follower that has waited 5 s for changes
    When the bound is shortened so that it waits 1 s
    Then its next wait is 1 s

  Scenario: A changed bound moves the age at which others take over
    Guards against instances that take a slow healthy follower for a dead one.
    Given a directory whose follower waits 1 s
    When the wait becomes 5 s
    Then facts that are 5 s old are fresh, and no outage of the store is seen

  Scenario: A changed cold limit binds the next opening
    Guards against a cold target that gets as much as a warm one.
    Given a packet task without routes and targets
    And its only target is cold
    When a cold target's limit becomes none at all
    Then the next opening is dropped as "cold_targets"
    When the limit is lifted
    Then the next opening reaches the target

  Scenario: Flows of the last second count under a changed cold limit
    Guards against a target that gets its whole budget twice in a second.
    Given an instance that has opened 3 flows on a cold target
    When a cold target's limit is halved to 3 flows of this instance
    Then it may open none there in this second, and 3 in the next

  Scenario Outline: A changed link capacity moves the rank in the whole zone
    Guards against instances that rank each other differently for good.
    Given a zone of 8 instances that know each other
    When the settings of the last one name a link of capacity <capacity>
    Then all instances have the same order with it at place <place>

    Examples:
      | capacity | place |
      | 12       | 1     |
      | 5        | 2     |
      | 1        | 8     |

  Scenario: The others are told of a changed link
    Guards against an instance that alone knows of its new rank.
    Given an instance that knows nobody
    When its settings name a seed and a link of capacity 5
    Then the seed is told of a link of capacity 5

  Scenario: Each task is told what is its own
    When a node adopts changed settings
    Then packets, follower and directory are told, and the grace is its own

  Scenario Outline: A bad value names its field and keeps what is in force
    Guards against a typing error that ends or cripples an instance.
    Given settings in force from a file
    When the file says <line> under <section> and a signal comes
    Then the settings in force are the old ones
    And one line refuses them with code "<code>" and names "<field>"

    Examples:
      | section | line                     | code    | field                  |
      | bounds  | grace_s = 0              | CFG-004 | bounds.grace_s         |
      | bounds  | grace_s = -1             | CFG-004 | bounds.grace_s         |
      | bounds  | grace_s = nan            | CFG-004 | bounds.grace_s         |
      | bounds  | config_apply_ms = "soon" | CFG-004 | bounds.config_apply_ms |
      | bounds  | config_apply_ms = 100    | CFG-004 | bounds.config_apply_ms |
      | bounds  | drain_ms = -3000         | CFG-004 | bounds.drain_ms        |
      | bounds  | grace_s = true           | CFG-004 | bounds.grace_s         |
      | bounds  | cold_over = -1           | CFG-004 | bounds.cold_over       |
      | bounds  | cold_slack = inf         | CFG-004 | bounds.cold_slack      |
      | limits  | link_mbps = inf          | CFG-004 | limits.link_mbps       |
      | top     | seeds = [7]              | CFG-004 | seeds                  |
      | top     | seeds = ["10.0.0.9"]     | CFG-004 | seeds                  |
      | top     | seeds = [                | CFG-001 | node.toml              |

  Scenario Outline: A number out of bounds does not keep an instance down
    Guards against a restart that ends where the running program went on.
    When an instance starts with <line> under <section>
    Then it starts with <field> as <value>
    And it says that <place> is bad, at the start and as a refused file

    Examples:
      | section | line                   | field      | value      | place                  |
      | bounds  | grace_s = 0            | grace_s    | 0          | bounds.grace_s         |
      | bounds  | grace_s = -1           | grace_s    | 0          | bounds.grace_s         |
      | bounds  | config_apply_ms = 100  | apply_s    | 0.5        | bounds.config_apply_ms |
      | bounds  | config_apply_ms = inf  | apply_s    | 1e6        | bounds.config_apply_ms |
      | bounds  | drain_ms = -1          | drain_s    | 0.5        | bounds.drain_ms        |
      | bounds  | cold_over = -1         | cold_limit | None       | bounds.cold_over       |
      | limits  | link_mbps = -1         | capacity   | 0          | limits.link_mbps       |
      | top     | seeds = ["10.0.0.9"]   | seeds      | ()         | seeds                  |
      | top     | seeds = ["h:80", "h:"] | seeds      | ("h", "h") | seeds                  |

  Scenario: One cold bound that is switched off leaves the other
    Guards against a limit that a restart lifts or makes total.
    When an instance starts with cold_over = -1 and cold_slack = 7
    Then it starts with a cold limit of 0 and 7

  Scenario Outline: A start without what an instance needs is refused
    When an instance starts with <line> under <section>
    Then it does not start

    Examples:
      | section | line             |
      | top     | seeds = [        |
      | top     | seeds = "h:80"   |
      | bounds  | grace_s = "long" |

  Scenario: A file that is gone keeps what is in force
    Given settings in force from a file
    When the file is removed and a signal comes
    Then the settings in force are the old ones
    And one line refuses them with code "CFG-008" and names "node.toml"

  Scenario: A file caught half-written is read again
    Guards against a change that is lost since its signal came too early.
    Given settings in force from a file
    When a signal comes while half of a changed file is written
    Then the settings in force are the old ones
    When the rest is written and no signal comes
    Then the settings in force are the changed ones

  Scenario: Half of a file that is valid by itself is not adopted
    Guards against bounds that fall back for a moment.
    Given settings in force from a file
    When a look comes while a changed file lacks its bounds
    Then the settings in force are the old ones
    When the rest is written and no signal comes
    Then the settings in force are the changed ones
    And they were adopted once

  Scenario: A file that changes right after its signal was heard
    Guards against a change in the same tick of the file's clock.
    Given settings in force from a file
    When a signal comes, and the file changes without another time or length
    Then the settings in force are the changed ones

  Scenario: A bad file turns good without another time or length
    Guards against a file that is never read again, as after its rights alone
    were mended.
    Given settings in force from a file
    When a bad file stays for 3 looks, and turns good in the same tick
    Then the settings in force are the changed ones

  Scenario: A change without a signal is adopted
    Given settings in force from a file
    When the file is changed and no signal comes
    Then the settings in force are the changed ones
    And one line tells the changed fields, old and new

  Scenario: A signal without a change does nothing
    Given settings in force from a file
    When 3 signals come and the file stays as it is
    Then the settings in force are the old ones
    And no line is written and nothing is counted

  Scenario: A quiet file is looked at and not read
    Given settings in force from a file
    When the file has stayed the same for 2 looks
    Then further looks do not read it

  Scenario: A field that needs a restart is told, the others are adopted
    Guards against an operator who waits for a change that cannot come.
    Given settings in force from a file
    When the file moves the instance to another zone with other seeds
    Then the seeds are in force and the zone is the old one
    And one line names the zone as needing a restart

  Scenario: Signals that wait are one, and a stop goes first
    Guards against a stop that waits behind a storm of signals.
    Given 5 signals of changed settings that wait
    When the signals are handled until the stop that follows the first look
    Then the file was looked at once
    When a stop waits behind 5 signals of changed settings
    Then the file is not looked at any more

  Scenario: A stop does not wait for a look that takes long
    Guards against a huge file, or a pipe in its place, that keeps the
    instance in rotation until it is killed.
    Then a process that is stopped while a look hangs ends by itself

  Scenario: A signal while the program is loaded does not end it
    Guards against a start that dies of the signal's default action.
    Then a process that is signalled in its first steps goes on to its tasks

  Scenario: Any sequence of good and bad files ends in the last good one
    Then hypothesis finds no sequence of files, looks and signals that does not

  Scenario: No file breaks the reading of settings
    An error in it would end the process.
    Then hypothesis finds no value that raises an error of its own

  Scenario: Signals in quick succession while packets flow
    Guards against packets that are lost or wait while a file is read.
    Given a store with two services of two targets each
    And three forwarding instances behind routers
    When 40 flows are opened and each makes 1 request
    And all instances get 30 changed files and signals while the flows make requests
    Then no flow was reset and every request was answered
    And the last file is in force everywhere without a restart
    And the store is asked with the wait of the last file
    When a bad file comes without a signal
    Then the instance tells it and counts it as refused
    And explaining the instance tells of changed and of refused settings
