Feature: The store is followed through its faults

  Scenario: A listing of many pages is whole
    Given a store with 25 targets that lists 10 objects a page
    When a source lists it
    Then it has 25 targets and the configuration
    And it has told the targets first

  Scenario: A change of targets is heard without reading the configuration
    Each call costs.  The store's revision counts every change, and this one
    is explained by what the watch told.
    Given a store with 3 targets that lists 10 objects a page
    When a source lists it
    And a target begins to drain
    Then the next watch tells the target and calls the store once

  Scenario: A change of the configuration is heard from the revision alone
    The watch waits for targets only.  Were its revision not compared, a
    dropped route would stay in force for ever.
    Given a store with 3 targets that lists 10 objects a page
    When a source lists it
    And the configuration changes
    Then the next watch tells the new configuration

  Scenario: The history is gone
    The store forgets its history, and a watch cannot go on from where it
    was.  Changes in the gap would never be heard.
    Given a store with 3 targets that lists 10 objects a page
    When a source lists it
    And a target leaves and the store forgets its history
    Then the next watch fails as gone, and a list lacks the target

  Scenario: A connection goes silent for good
    No error comes, ever.  Only a time-out of our own shows it, and a new
    connection works.
    Given a store with 3 targets that lists 10 objects a page
    When a source lists it
    And the store falls silent
    Then the next watch ends by a time-out of its own
    And a list works once the store answers again

  Scenario: A conditional write that somebody else has won
    Two instances make the key at the same moment; with two keys half of
    the zone would not believe the other half.
    Given a store with 3 targets that lists 10 objects a page
    When 5 instances learn the key at once
    Then all of them have the same key

  Scenario: A route whose services have no weight is left out, alone
    Choosing among no services would end the packet actor of every instance
    in the same moment.
    Given a store with 3 targets that lists 10 objects a page
    When the configuration has a second route without any weight
    And a source lists it
    Then it has 3 targets and the configuration

  Scenario: An answer that is no listing ends nothing
    A proxy in between answers with a page of its own, well-formed JSON but
    no listing.  If the task ended, so would all instances together.
    Given a store with 3 targets that lists 10 objects a page
    And a follower of it
    When the store answers nonsense for a while
    Then the follower lists all once the store is well again


  Scenario: Changes in quick succession are heard together
    A release replaces targets, and each of their registrations changes
    several times in a second.  A call for each of them would use up the
    store's rates, and each call is paid for.
    Given a follower of a source that always has changes
    When it has made 4 calls
    Then it has paused before each but the first two of them
    And no wait with its pause is longer than the longest wait

  Scenario: An instance takes over from a follower that is cut off
    Guards against a takeover that waits for a change of targets before it
    reads a changed configuration.
    Given a follower that has listed a quiet source at its start
    When it begins to follow
    Then its first call is a watch that does not wait, and its second one waits
    When it leaves the store to others and takes over again
    Then its first call is a watch that does not wait, and its second one waits

  Scenario: An instance takes over long after it has heard the store
    Guards against a watch of a history that the store has dropped, whose
    refusal delays the takeover.
    Given a follower that has listed a quiet source at its start
    And its last answer was long ago
    When it begins to follow
    Then its first call is a list

  Scenario: An old copy of the key is as good as a fresh one
    Each instance needs the key once a start, and a fresh answer costs ten
    times as much.  That there is no key yet is believed from a fresh
    answer only.
    Given a store with 3 targets that lists 10 objects a page
    When 5 instances learn the key at once
    And another instance learns the key
    Then the other one has made 1 call, and allowed it to be stale

  Scenario: A store that turns an instance away is not pressed
    For seconds the store answers this instance with 429 or 503.  Refused
    calls are paid for too, and a retry three times a second of every
    refused instance would slow the store for the others.
    Given a follower of a source that always fails
    When it has failed 6 times
    Then its pauses grow to 1 s with half of it either way, and no further

  Scenario: The store is away for hours
    Each failed call doubles the pause up to its bound.  A count of failures
    that grows without end overflows the arithmetic after a thousand calls;
    all instances would end in the same minute of a long outage.
    Given a follower of a source that always fails
    When it may go on until it has failed 3000 times
    Then its pauses stay within 1.5 s and it still runs

  Scenario: Entries of another writer hide no target
    Another program writes to the store where targets register: fields are
    missing or bent, and some bytes are no text.  Were one of them an error,
    no instance would hear of any target again.
    Given a store with 3 targets that lists 2 objects a page
    And entries of another writer among them
    When a source lists it
    Then the 3 targets are whole and the other entries name none
    And a watch tells a change beside a new entry of the other writer
    And each such entry was logged once, with a code

  Scenario: Bytes that are no text hide no target
    One entry holds bytes that are no text, or a number without an end.
    Then an answer with such bytes in one entry is read

  Scenario Outline: A value nested <depth> deep hides no target
    Guards against one entry that makes a whole answer unreadable, and against
    an error of the parser that ends the follower.
    Given a store with 3 targets that lists 500 objects a page
    And entries with values nested <depth> deep and a number of 5000 digits
    When a source lists it
    Then the 3 targets are whole and no other entry names one

    Examples: Depths that the parser reads, and that it does not
      | depth  |
      | 20     |
      | 400    |
      | 2000   |
      | 100000 |

  Scenario: A nested value of any depth is refused as a field
    Guards against depths that the parser reads and a later step does not.
    Then no depth of a value between 850 and 1010 raises anything

  Scenario: An order to drain a zone is heard from the revision alone
    The watch waits for targets only.  Were its revision not compared, flows
    would be opened in the zone until its machines are taken away.
    Given a store with 3 targets that lists 10 objects a page
    When a source lists it
    Then no zone is drained, and that is told before the routes are
    When an operator drains zone "b"
    Then the next watch tells that zone "b" is drained
    When an operator takes zone "b" back
    Then the next watch tells that no zone is drained

  Scenario: A zone is drained while the routes are read
    The orders were listed a moment before.  Taken for explained by the
    later answer, the order would never be heard.
    Given a store with 3 targets that lists 10 objects a page
    When an operator drains zone "b" while a source reads the routes
    Then the next watch tells that zone "b" is drained

  Scenario: An instance has read old orders at its start
    Each instance reads them once a start, from a replica that may be seconds
    behind.  Believed for good, an order of just before would be missed.
    Given a store with 3 targets that lists 10 objects a page
    When an operator drains zone "b" and a replica does not know it yet
    And a source lists it
    Then its first call for orders was content with an old answer
    And the next watch tells that zone "b" is drained

  Scenario: A replica that is behind has never heard of such orders
    It answers that there is no such kind of objects, without a revision.
    Taken as of now, later news of the first order would look old.
    Given a store with 3 targets that lists 10 objects a page
    When an operator drains zone "b" and a replica knows no such orders
    And a source lists it
    Then what it tells of drained zones is as of no revision
    And the next watch tells that zone "b" is drained

  Scenario: An order holds whatever its entry says
    Its name is the zone.  An entry that is being deleted is in force, too;
    one whose name cannot be read hides no other.
    Given a store with 3 targets that lists 10 objects a page
    When odd orders to drain zones are written
    And a source lists it
    Then the zones of the orders that have names are drained
