Feature: Administration from the command line
  Operators state an intent, see the plan and confirm it.

  Scenario: A day of an operator
    Given a queensland deployment with 2 daemons
    And an operator with a key of their own
    When the operator runs: change create-team --yes --team=tontine --workspace=north --share=2.5
    And the operator runs: grant --team=tontine
    And the operator runs: change put-service --yes --service=watch --team=tontine --replicas=2 --needs={"slots":1}
    And the operator runs: change worker-out --yes --worker=registry-000
    And the operator runs: show workers-out
    Then the output names registry-000
    When the operator runs: show keys
    Then the output names operator
    And the output does not name the digest of a key
    When the operator runs: export SNAPSHOT
    And the operator runs: plan remove-team --team=tontine
    Then the output names service watch stops
    When the operator runs: change remove-team --yes --team=tontine
    And the operator runs: show teams
    Then the output does not name tontine
    When the operator runs: restore SNAPSHOT --yes
    And the operator runs: show teams
    Then the output names tontine
    When the operator runs: audit
    Then the output names remove team tontine
    And the output names restore the snapshot
    And an analyst's key is refused a change as NOT_ALLOWED
