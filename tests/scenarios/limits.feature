Feature: Upper limits of teams
  No team has more running than its upper limit, over all daemons and shards.

  Scenario: A limit holds while it is changed and a daemon dies
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    And team tontine may run at most 6 slots
    When team tontine submits 30 tasks that never end to each daemon
    Then team tontine runs 6 slots within 10 seconds
    When daemon-1 is killed
    And operators lower the limit of team tontine to 3 slots
    Then team tontine runs 3 slots within 15 seconds
    And team tontine never ran more than 6 slots
