Feature: The pages about operating are true

  Scenario: Every command block of the operations page runs as written
    Given the cfg stand-in platform with 3 entries that follow it
    When the command blocks of "OPERATIONS.md" are run in order
    Then every documented command ends as the page says

  Scenario: The entry settings that the operations page shows are taken
    Then the settings shown in "OPERATIONS.md" load without an error

  Scenario: The page of error codes is written from the catalogue
    Then the page "ERRORS.md" is the one that the error catalogue gives
    And every documented exit code is one of the cfg command
