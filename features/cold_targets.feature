Feature: A cold target gets few new flows from all instances together

  A target that has just started is slow and empty.  Each instance finds it
  the least loaded one; if all send their next flows there, its queue fills
  and an inventor's search waits behind dozens of others.

  Scenario: All instances of a zone press onto cold targets
    When the proof story "cold rush" is played
    Then the proof checkers have no objection
    But they object once the guard "cold-owners" is taken out

  Scenario: All instances have lost power
    Each of them knows only itself when it is back, and callers return all
    at once.
    When the proof story "cold after power" is played
    Then the proof checkers have no objection
    But they object once the guard "cold-young" is taken out

  Scenario: Instances come and go
    Others learn of it at different moments, and two sets of instances take
    themselves for the ones that may open flows.
    When the proof story "cold restarts" is played
    Then the proof checkers have no objection

  Scenario: Many instances join, and the others have not heard of them
    Both sets choose whom a cold target takes flows from, each by what it
    knows.
    When the proof story "cold two views" is played
    Then the proof checkers have no objection
    But they object once the guard "cold-part" is taken out

  Scenario: Instances are cut off, each alone
    Each still reaches callers and targets.  One that forgets the others
    takes itself for the only one.
    When the proof story "cold cut off" is played
    Then the proof checkers have no objection
    But they object once the guard "cold-recent" is taken out

  Scenario: Warm targets have room
    When the proof story "cold beside warm" is played
    Then the proof checkers have no objection
    But they object once the guard "cold-owners" is taken out

  Scenario: The cold target is in another zone
    When the proof story "cold of other zone" is played
    Then the proof checkers have no objection

  Scenario: All targets of a service are cold
    Callers repeat their SYN while they wait, and a target has room again
    within a second.  Turned away at once, they would use up their tries.
    When the proof story "cold all" is played
    Then the proof checkers have no objection
    But they object once the guard "cold-owners" is taken out

  Scenario: A zone is taken back
    Its targets may have started anew while it was drained; their
    registrations tell of it a heartbeat later.
    When the proof story "cold return" is played
    Then the proof checkers have no objection
    But they object once the guard "cold-return" is taken out

  Scenario: Nobody has set a bound
    When the proof story "cold without limit" is played
    Then the proof checkers have no objection

  Scenario: Any order of starts, deaths and cuts keeps the budget
    Then hypothesis finds no order of events that gives a cold target too much
