Feature: One owner for each worker
  Whatever happens to daemons, store and workers, no worker is given more than
  it has, no task runs twice at a time, and no work starts where it must not.

  Scenario: An owner is killed under load
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    And a batch job of 40 tasks of 4 seconds
    When daemon-1 is killed
    Then every task of the job runs to its end within 25 seconds
    And no worker was given more than it has
    And no task was started twice at a time

  Scenario: A paused owner wakes after its lease has lapsed
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    And a batch job of 40 tasks of 4 seconds
    When daemon-1 is paused for 9 seconds
    Then every task of the job runs to its end within 25 seconds
    And no worker was given more than it has
    And no task was started twice at a time

  Scenario: Placement goes on while the store is down
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When the store goes down for 9 seconds
    Then idempotent requests are answered meanwhile by every daemon
    And no worker was given more than it has
    And no task was started twice at a time

  Scenario: A zone is taken out and its work moves
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    And a batch job of 30 tasks of 8 seconds
    When operators take zone qld-b out
    Then nothing runs in zone qld-b within 8 seconds
    And nothing starts in zone qld-b from 6 seconds after
    And every task of the job runs to its end within 25 seconds
    And no task was started twice at a time

  Scenario: A worker says that it leaves before the host list does
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When worker registry-000 says that it leaves
    And 5 seconds pass
    And a batch job of 60 tasks of 1 seconds is sent
    Then no task was started on worker registry-000 since

  Scenario: All daemons are restarted one after another under load
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When each daemon is restarted by SIGTERM while requests are sent
    Then every request that was taken was answered whole
    And every daemon exited with 0
    And no request was started twice

  Scenario: A daemon shuts down while the store is down
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When the store goes down for good
    Then daemon-1 exits with 0 after SIGTERM
