Feature: Targets that fail some of their requests get no new flows

  Scenario: A target swallows requests
    Its health endpoint says well and it answers others, so its callers wait
    out their deadlines and send the request again: a feed stalls while the
    session looks open.
    When the proof story "swallowed requests" is played
    Then the proof checkers have no objection

  Scenario: A target takes requests and never answers
    Answers to others prove it alive, and each caller that it keeps waits
    until it gives up.
    When the proof story "hanging requests" is played
    Then the proof checkers have no objection
    But they object once the guard "outliers" is taken out
    But they object once the guard "overdue" is taken out

  Scenario: A target resets flows
    The caller opens another flow at once and may meet the same target again.
    When the proof story "reset requests" is played
    Then the proof checkers have no objection
    But they object once the guard "overdue" is taken out

  Scenario: A target answers with errors
    They come at once, so it looks idle and gets more flows than others.
    Callers see error pages on a part of their requests.
    When the proof story "quick errors" is played
    Then the proof checkers have no objection
    But they object once the guard "short-answers" is taken out

  Scenario: All targets of a service fail some requests
    It is the service or the network.  If some targets were avoided for it,
    the others would queue for nothing.
    When the proof story "all targets alike" is played
    Then the proof checkers have no objection
    But they object once the guard "outlier-peers" is taken out

  Scenario: An instance is ill
    All requests through it fail, on whatever target.  Its word alone would
    take targets away from callers of all instances.
    When the proof story "ill instance" is played
    Then the proof checkers have no objection
    But they object once the guard "outlier-peers" is taken out

  Scenario: A target is full
    Callers press, its queue is full, and it turns some requests away at
    once.  Were it avoided for that, its load would fill the next targets,
    so that callers lose more than by the burst itself.
    When the proof story "full targets" is played
    Then the proof checkers have no objection
    But they object once the guard "outlier-full" is taken out

  Scenario: Many targets fail
    Were all of them avoided, all requests would run the others down,
    so that callers who still get answers would lose them.
    When the proof story "many targets fail" is played
    Then the proof checkers have no objection
    But they object once the guard "outlier-share" is taken out

  Scenario: A target serves again
    It was avoided for a while.  If it stayed out for good, a service would
    lose its targets one after the other.
    When the proof story "served again" is played
    Then the proof checkers have no objection
    But they object once the guard "outlier-return" is taken out
