Feature: Asking what happened
  An analyst with nothing but the command line learns what happened and why.

  Scenario: A job that waits and a job that ran
    Given a queensland deployment with 2 daemons
    And a team tontine with a key
    And an analyst with a key
    When team tontine submits a batch job of 7 whole actuarial workers for 3 seconds
    And team tontine submits a batch job of 1 whole actuarial workers for 0 seconds
    Then why-waiting says of the last job "no worker there has room"
    And history lists 2 pieces of work
    And explain tells within 15 seconds of the last job "It was done."
    And audit names "grant key k-tontine"
    And top shows the share of team tontine
