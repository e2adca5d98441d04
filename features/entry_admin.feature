Feature: Operators see and stop an entry instance through its administration API

  Scenario: Status says what an instance does
    Given an administered entry "e1" without TLS
    And revision 1 is published for the administered entry
    When the administered entry's status is asked for until it has revision 1
    Then the administered entry's status names "e1" in zone "z1"
    And the administered entry's status lists the service "search" with its target
    And the administered entry's page "/ready" answers 200
    And the administered entry's page "/metrics" shows "cornelgap_cfg_revision 1"

  Scenario: Status and metrics name the era of what is in force
    Guards against operators who take a lost revision for the reissued one.

    Given an administered entry "e1" without TLS
    And revision 1 is published for the administered entry
    When the administered entry's status is asked for until it has revision 1
    And the administered entry's platform loses and reissues revision 1
    Then the administered entry's status comes to name revision 1 of era 2
    And the administered entry's page "/metrics" shows "cornelgap_cfg_era 2"

  Scenario: An instance without a configuration is not ready
    Given an administered entry "e1" without TLS
    Then the administered entry's page "/ready" answers 503

  Scenario: A drain begins a planned stop and it ends by itself
    Given an administered entry "e1" without TLS
    When the administered entry is told to drain
    Then the administered entry ends its planned stop

  Scenario: An instance that the configuration drains begins a planned stop
    Given an administered entry "e1" without TLS
    And revision 1 that drains "e1" is published for the administered entry
    Then the administered entry ends its planned stop

  Scenario: With mutual TLS a caller without a certificate hears nothing
    Somebody in the instances' network finds the port of the administration
    API. Without authentication they could stop all instances one by one.

    Given an administered entry "e1" with mutual TLS for the operators ""
    When the administered entry is told to drain without a certificate
    Then the administered entry's answer is UNAVAILABLE
    And the administered entry is not leaving

  Scenario: Only those whom the settings name may stop an instance
    Each entry instance has a certificate of the same authority. One that
    was taken over could stop all the others.

    Given an administered entry "e1" with mutual TLS for the operators "operator"
    When the administered entry is told to drain by "entry"
    Then the administered entry's answer is PERMISSION_DENIED
    And the administered entry is not leaving
    When the administered entry is told to drain by "operator"
    Then the administered entry ends its planned stop

  Scenario: TLS that is not spoken of is an error, not off
    A setting is forgotten when a new team installs an instance. Taken for
    "off", the token keys would be open to everybody until somebody looks.

    Given settings of an administered entry without a section for TLS
    Then loading the administered entry's trust gives "CFG-005"

  Scenario: An instance keeps itself on the platform's list and takes itself off
    Given an administered entry "e1" without TLS
    Then the platform lists the administered entry with its addresses
    When the administered entry is stopped
    Then the platform does not list the administered entry

  Scenario: A misspelt section or option of an instance's settings is an error
    An operator writes [admn] and believes that only two people may stop the
    instance, while everybody with a certificate of the fleet may.

    Given a settings file of an administered entry with "[admn]\noperators = a\n[admin]\noperator = b"
    Then loading the administered entry's settings gives "CFG-002,CFG-003"

  Scenario: Settings of an instance load with all their sections
    Given a settings file of an administered entry with "[admin]\noperators = a\n[logs]\nlinks = debug\n[seeds]\na = 127.0.0.1:9"
    Then loading the administered entry's settings gives ""
