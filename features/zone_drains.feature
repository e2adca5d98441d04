Feature: A zone that operators drain gets no new flow

  Operators drain an availability zone before they take its machines away.
  A feed that is opened there all the same is cut off when they do; feeds
  that are open stay until their callers close them.

  Scenario: New flows go to other zones, open ones stay
    When the proof story "drained zone" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-drained" is taken out

  Scenario: The order comes between a SYN and its copies
    The first SYN went to a target there.  Its copies are openings too, and
    one that follows the first would open a feed in the drained zone.
    When the proof story "drained copy" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-drained" is taken out

  Scenario: The zone is also cut off, and looked after by probes
    Now and then a new flow tries whether a zone is back.  In a drained zone
    that flow would stay.
    When the proof story "drained probe" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-drained" is taken out

  Scenario: No other target is left
    The last targets are never taken away for looking bad.  An order is no
    look: the caller is refused.
    When the proof story "drained last" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-drained" is taken out

  Scenario: Registrations lapse while the store is away
    Targets whose registration may come back are the last resort.
    When the proof story "drained lapse" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-drained" is taken out

  Scenario: All zones are drained
    Nobody may serve.  A caller that is left waiting learns it only at its
    deadline.
    When the proof story "drained all" is played
    Then the proof checkers have no objection
    But they object once the guard "drained-refused" is taken out

  Scenario: The own zone is drained and then cut off
    What may serve is out of reach, and what is in reach may not.  Sent
    beyond the cut, each caller waits for its whole deadline.
    When the proof story "drained and cut" is played
    Then the proof checkers have no objection
    But they object once the guard "drained-beyond-cut" is taken out

  Scenario: An order is taken back and given again
    News comes late and twice.  An older state must not undo a newer one,
    whether it is an order or its end.
    When the proof story "drained again" is played
    Then the proof checkers have no objection
    But they object once the guard "rising-facts" is taken out

  Scenario: An instance hears of the order from another one
    It has lost the store.  Unheard, it would go on opening flows there.
    When the proof story "drained beat" is played
    Then the proof checkers have no objection
    But they object once the guard "drains-told" is taken out

  Scenario: An instance starts while the store is away
    All it has is what another instance knows.
    When the proof story "drained snapshot" is played
    Then the proof checkers have no objection

  Scenario: A target of the zone writes its registration anew
    When the proof story "drained target changes" is played
    Then the proof checkers have no objection
    But they object once the guard "zone-drained" is taken out
