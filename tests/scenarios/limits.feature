Feature: Upper limits of teams
  No team uses more than its upper limit, summed over all daemons and shards.

  Scenario: A limit holds while it is changed and a daemon is killed
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    And team tontine has an upper limit of 6 slots
    When team tontine submits 30 tasks that never end to each daemon
    Then team tontine uses 6 slots within 10 seconds
    When daemon-1 is killed
    And operators lower the limit of team tontine to 3 slots
    Then team tontine uses 3 slots within 15 seconds
    And team tontine never used more than 6 slots
