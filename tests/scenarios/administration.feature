Feature: Administration from the command line
  Operators submit an intent, review the plan and confirm it.

  Scenario: An operator manages teams, services, workers and keys
    Given a queensland deployment with 2 daemons
    And an operator with a personal key
    When the operator runs: change create-team --yes --team=tontine --workspace=north --share=2.5
    And the operator runs: grant --team=tontine
    And the operator runs: change put-service --yes --service=watch --team=tontine --replicas=2 --needs={"slots":1}
    And the operator runs: change worker-out --yes --worker=registry-000
    And the operator runs: show workers-out
    Then the output contains registry-000
    When the operator runs: show keys
    Then the output contains operator
    And the output does not contain the digest of a key
    When the operator runs: export SNAPSHOT
    And the operator runs: plan remove-team --team=tontine
    Then the output contains service watch stops
    When the operator runs: change remove-team --yes --team=tontine
    And the operator runs: show teams
    Then the output does not contain tontine
    When the operator runs: restore SNAPSHOT --yes
    And the operator runs: show teams
    Then the output contains tontine
    When the operator runs: audit
    Then the output contains remove team tontine
    And the output contains restore the snapshot
    And a change with an analyst's key is refused as NOT_ALLOWED
