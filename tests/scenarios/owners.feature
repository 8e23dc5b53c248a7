Feature: One owner for each worker
  During any failure of daemons, store or workers, no worker is allocated more
  than its capacity, no task runs twice at the same time, and no work starts on
  an excluded worker.

  Scenario: An owner is killed under load
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    And a batch job of 40 tasks of 4 seconds
    When daemon-1 is killed
    Then every task of the job ends within 25 seconds
    And no worker was allocated more than its capacity
    And no task ran twice at the same time

  Scenario: A paused owner resumes after its lease has expired
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    And a batch job of 40 tasks of 4 seconds
    When daemon-1 is paused for 9 seconds
    Then every task of the job ends within 25 seconds
    And no worker was allocated more than its capacity
    And no task ran twice at the same time

  Scenario: Placement goes on while the store is down
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When the store goes down for 9 seconds
    Then every daemon answers idempotent requests during the outage
    And no worker was allocated more than its capacity
    And no task ran twice at the same time

  Scenario: A zone is evacuated and its work moves
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    And a batch job of 30 tasks of 8 seconds
    When operators take zone qld-b out of service
    Then nothing runs in zone qld-b within 8 seconds
    And nothing starts in zone qld-b later than 6 seconds after that
    And every task of the job ends within 25 seconds
    And no task ran twice at the same time

  Scenario: A worker announces its departure before the host list changes
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When worker registry-000 announces its departure
    And 5 seconds pass
    And a batch job of 60 tasks of 1 seconds is submitted
    Then no task was started on worker registry-000 after the submission

  Scenario: All daemons are restarted one after another under load
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When each daemon is restarted by SIGTERM while requests are sent
    Then every accepted request was answered completely
    And every daemon exited with status 0
    And no request was started twice

  Scenario: A daemon shuts down while the store is down
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When the store goes down permanently
    Then daemon-1 exits with status 0 after SIGTERM
