Feature: Analysis from the command line
  An analyst finds out what happened and why with the command line alone.

  Scenario: A waiting job and a finished job
    Given a queensland deployment with 2 daemons
    And a team tontine with a key
    And an analyst with a key
    When team tontine submits a batch job of 7 tasks that fill an actuarial worker for 9 seconds
    And team tontine submits a batch job of 1 tasks that fill an actuarial worker for 0 seconds
    Then why-waiting reports for the last job "no worker there has room"
    And history lists 2 work items
    And explain reports for the last job within 15 seconds "It was done."
    And audit contains "grant key k-tontine"
    And top shows the share of team tontine
