Feature: The whole path
  A request goes from its caller to a worker and back over any daemon.

  Scenario: Requests are answered whole by every daemon
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When team tontine sends 4 requests to each daemon
    Then every answer carries the content of its own request
    And any daemon explains the last request from admission to its end

  Scenario: Jobs and refusals
    Given a queensland deployment with 1 daemons
    And a team tontine with a key
    When team tontine submits a batch job of 3 tasks
    Then the job is done within 10 seconds
    And a request with the key of another team is refused as WRONG_TEAM
    And a request with an unknown field is refused as BAD_INPUT
