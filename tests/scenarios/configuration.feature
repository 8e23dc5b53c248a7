Feature: Changes of the configuration and keys
  An accepted change is in force everywhere within seconds and never reverts;
  every daemon rejects a withdrawn key.

  Scenario: Two operators confirm conflicting changes
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When two operators confirm changes of team tontine made on the same plan
    Then one change is accepted and the other is answered with a new plan
    And the change is in force at every daemon within 5 seconds
    And the audit lists every change once

  Scenario: A lost store answer, a store outage and a restart
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When the store loses the answer to a change of team tontine
    Then that change is accepted
    When the store is down while daemon-2 is killed and started again
    Then daemon-0 still accepts work of team tontine
    And a change is refused as STORE_UNAVAILABLE
    When the store is up again
    Then the change is in force at every daemon within 15 seconds
    When the configuration in the store is corrupted
    Then daemon-0 still accepts work of team tontine
    And the next change is accepted

  Scenario: A key is withdrawn while a daemon is paused
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When daemon-2 is paused
    And operators withdraw the key of team tontine
    Then every running daemon refuses the key within 5 seconds
    When daemon-2 is resumed after 8 seconds
    Then daemon-2 never accepts the key
