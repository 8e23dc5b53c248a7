Feature: Jobs on the users' platform

  Background:
    Given a platform with 3 daemons and 4 workers

  Scenario: A job of two steps is completed
    When a job of 3 tasks and then 2 tasks of 200 ms is submitted
    Then its state becomes completed
    And 5 tasks were started, none of them twice

  Scenario: A job that is submitted twice runs once
    When a job of 3 tasks and then 1 tasks of 100 ms is submitted
    And the same job is submitted to every daemon
    Then its state becomes completed
    And 4 tasks were started, none of them twice

  Scenario: The owner is killed
    When a job of 4 tasks and then 2 tasks of 1500 ms is submitted
    And the owner is killed
    Then its state becomes completed
    And 6 tasks were started, none of them twice

  Scenario: The owner is terminated
    When a job of 4 tasks and then 2 tasks of 1500 ms is submitted
    And the owner is terminated
    Then its state becomes completed
    And 6 tasks were started, none of them twice

  Scenario: A cancelled job's tasks are stopped
    When a job of 2 tasks and then 2 tasks of 60000 ms is submitted
    And it is cancelled
    Then its state becomes cancelled
    And no more tasks are started

  Scenario: A key that is not in the configuration
    When a job is submitted with the key "wrong"
    Then the response status is 401

  Scenario: The store is down
    When the store is down
    And a job is submitted with the key "key-a"
    Then the response status is 503 with a Retry-After header
    When the store is up again
    And a job of 2 tasks and then 1 tasks of 100 ms is submitted
    Then its state becomes completed

  Scenario: An unknown job
    When the state of a job that was never submitted is requested
    Then the response status is 410
