Feature: A small world of entries, targets and callers holds together

  Scenario: Nothing is lost, doubled or left in doubt on a lossy path
    One packet in a hundred is lost, one doubled, some overtake others.
    Callers see whole answers, feeds without a gap, and no doubt at all.
    When the proof world runs 5 quiet seeds from 1
    Then every proof checker passed each of them
    And no caller was left in doubt

  Scenario: Two faults at a time in random order
    Entries die, pause and restart, targets fail in every way, zones are
    cut, the platform is away, and operators stop, add, drain and rotate in
    between: two of these at a time, in a random order.
    When the proof world runs 20 seeds with 2 faults from 100
    Then every proof checker passed each of them
