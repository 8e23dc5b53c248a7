Feature: Request path
  A request travels from the caller through any daemon to a worker and back.

  Scenario: Every daemon returns complete answers
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When team tontine sends 4 requests to each daemon
    Then every answer carries the content of its own request
    And every daemon explains the last request from admission to completion

  Scenario: Jobs and refusals
    Given a queensland deployment with 1 daemons
    And a team tontine with a key
    When team tontine submits a batch job of 3 tasks
    Then the job is done within 10 seconds
    And a request with the key of another team is refused as WRONG_TEAM
    And a request with an unknown field is refused as BAD_INPUT
