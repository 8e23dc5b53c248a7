Feature: Jobs on the users' platform

  Background:
    Given a platform with 3 daemons and 4 workers

  Scenario: A job of two steps is completed
    When a job of 3 tasks and then 2 tasks of 200 ms is submitted
    Then it is shown as completed
    And 5 tasks were started, none of them twice

  Scenario: A job that arrives twice is one job
    When a job of 3 tasks and then 1 tasks of 100 ms is submitted
    And the same job is submitted at every daemon
    Then it is shown as completed
    And 4 tasks were started, none of them twice

  Scenario: The owner is killed
    When a job of 4 tasks and then 2 tasks of 1500 ms is submitted
    And the owner is killed
    Then it is shown as completed
    And 6 tasks were started, none of them twice

  Scenario: The owner is told to end
    When a job of 4 tasks and then 2 tasks of 1500 ms is submitted
    And the owner is told to end
    Then it is shown as completed
    And 6 tasks were started, none of them twice

  Scenario: A cancelled job's tasks are stopped
    When a job of 2 tasks and then 2 tasks of 60000 ms is submitted
    And it is cancelled
    Then it is shown as cancelled
    And nothing is started any more

  Scenario: A key that no configuration holds
    When a job is submitted with the key "wrong"
    Then the answer is 401

  Scenario: The store is down
    When the store is down
    And a job is submitted with the key "key-a"
    Then the answer is 503 with a time to come back
    When the store is back
    And a job of 2 tasks and then 1 tasks of 100 ms is submitted
    Then it is shown as completed

  Scenario: An unknown job
    When the state of a job that nobody submitted is asked for
    Then the answer is 410
