Feature: Membership believes what peers answer, not what the list says

  Scenario: A dead instance that is still listed is noticed within a second or so
    An entry instance dies and the platform's list shows it for minutes.
    Relaying to it until the list catches up would stall every feed whose
    home it was.

    Given a membership of 6 entries, all heard at 0 s
    When entry "e2" is silent and packets go to it from 1 s to 3 s
    Then the membership calls "e2" lost between 1.9 s and 2.3 s
    And the membership calls the other entries live

  Scenario: A lost exchange or two does not make a peer look dead
    One packet in a hundred is lost. Were one loss enough, flows would be
    re-homed all day, and each time a hold in progress ends in doubt.

    Given a membership of 6 entries, all heard at 0 s
    When entry "e2" answers only the third ask after 1 s
    Then the membership never called "e2" lost

  Scenario: A process that stood still does not take its own pause for silence
    An entry instance is paused for ten seconds. On waking, the answers of
    its peers still lie unread in its socket. Taking the pause for silence
    would re-home every relayed flow at once.

    Given a membership of 6 entries, all heard at 0 s
    When the membership's own process stands still from 1 s to 11 s after asking
    Then the membership calls nobody lost on waking

  Scenario: Another process under the same name is not the one that a token names
    An entry instance restarts at the same address and has forgotten its
    windows. Taken for the old one, it might run a request a second time.

    Given a membership of 6 entries, all heard at 0 s
    When entry "e2" is heard with another boot
    Then the membership calls the old boot of "e2" lost and the new one live

  Scenario: A boot that was never heard is lost only once its name has answered
    An entry instance has restarted and opened flows; this one still knows
    its former process. Calling the new one lost would take live flows away
    from it after each restart.

    Given a membership of 6 entries, all heard at 0 s
    Then a token that names a new boot of "e2" does not make it look lost
    When entry "e2" is heard with the boot that it had
    Then the membership calls the new boot of "e2" lost

  Scenario: One burst that is lost as a whole makes nobody look dead
    A full buffer here swallows the packets relayed to all peers at one
    moment. Were one unanswered ask enough, all flows would be re-homed.

    Given a membership of 40 entries, all heard at 0 s
    When one burst to all of the membership's entries is lost at 1 s
    Then the membership calls nobody lost at 2.1 s

  Scenario: A late datagram of a replaced process is no sign of life
    A datagram of a process that was replaced arrives late. Believed, it
    would make the live process look lost and move all its flows.

    Given a membership of 6 entries, all heard at 0 s
    When entry "e2" is heard with another boot
    And a late datagram of the old boot of "e2" arrives
    Then the membership calls the old boot of "e2" lost and the new one live

  Scenario: A new instance that is not listed yet counts as soon as it is heard
    Given a membership of 6 entries, all heard at 0 s
    When the unlisted entry "e9" is heard
    Then the membership lists "e9" as live

  Scenario: A stale list does not undo what a leaving instance has said
    An instance tells its peers that it leaves, and the list still shows it
    as staying. New flows sent to it would have to move at once.

    Given a membership of 6 entries, all heard at 0 s
    When entry "e2" says that it leaves and the stale list shows it as staying
    Then the membership does not list "e2" as live

  Scenario: An instance of which only the name is known is asked for, then lost
    Given a membership of 6 entries, all heard at 0 s
    When packets want to go to the unknown entry "e9" from 1 s to 3 s
    Then the membership says that an address is missing
    And the membership calls "e9" lost between 1.9 s and 2.3 s

  Scenario Outline: Asking stays within its budget at any size
    At the design size each instance asking everybody once a second would
    spend fifty times what control may use, and feeds would stall behind it.

    Given a membership fleet of <size> entries that hear each other
    When the membership fleet runs for 20 s
    Then each entry sent and received at most <bytes> control bytes a second
    And each entry heard from at least <heard> others

    Examples:
      | size | bytes | heard |
      | 6    | 1500  | 5     |
      | 96   | 2000  | 95    |

  Scenario: News of a revision is told at once to those who lack it
    Given a membership of 6 entries, all heard at 0 s
    When the membership's own entry adopts revision 8 at 0.1 s
    Then the membership asks 4 peers at 0.12 s

  Scenario: Lost peers do not take the asking of the others
    A zone is cut off. If the pings all went to its silent instances, a
    death in the own zone would be noticed late.

    Given a membership of 40 entries, all heard at 0 s
    When 20 of the membership's entries are silent until 30 s
    Then each other entry was asked by the membership after 20 s

  Scenario: An instance that starts while the platform is down asks the peers that a peer names
    The platform is frozen, and a new entry instance takes the configuration
    from a peer. It has no list, so it would ask nobody, and nobody would
    learn its address: each flow that it opens would be re-homed at once and
    its caller's holds end in doubt.

    Given a membership that knows nobody
    When a peer names 3 entries to the membership
    Then the membership takes none of them for live before it answers
    And the membership asks these 3 entries

  Scenario: What a peer names does not replace what is known already
    A peer's view of addresses is older than what an instance says itself.
    Overwriting it would send datagrams to where nobody is any more.

    Given a membership of 6 entries, all heard at 0 s
    When a peer names "e2" at another address to the membership
    Then the membership keeps the address of "e2"

  Scenario: A peer's datagrams tell of a later era by a lower revision
    Guards against entries that ask nobody for the restored configuration.

    Given an entry with revision 5 of era 1 and its peer with 3 of era 2
    When the membership's two entries have talked
    Then only the one of era 1 knows of a peer that is ahead
