Feature: A non-idempotent request runs at most once
  Callers retry with the same id, through any daemon, during failures.

  Scenario: The daemon that received the requests is killed
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When team tontine sends 12 payouts to daemon-0, which is killed meanwhile
    And every payout is sent again to daemon-1 and daemon-2 at once
    Then every payout is answered completely and ran once
    And no payout that was reported as not run ever ran

  Scenario: The store loses answers to writes that took effect
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When the store loses the next 10 answers to ledger writes
    And team tontine sends 12 payouts to every daemon
    Then every payout is answered completely and ran once

  Scenario: The store is down past the deadline
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When the store goes down for 5 seconds
    And team tontine sends 6 payouts to every daemon with a start deadline of 2 seconds
    Then no payout ran more than once
    And no payout that was reported as not run ever ran
    And every payout has an outcome

  Scenario: A daemon is paused until its partitions have other owners
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When daemon-1 is paused for 9 seconds while tontine sends 12 payouts
    And every payout is sent again to daemon-1 and daemon-2 at once
    Then every payout is answered completely and ran once

  Scenario: Open connections to workers stop responding
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When open connections to all workers stop responding
    And team tontine sends 4 payouts of 3000000 bytes to every daemon
    Then every payout is answered completely and ran once

  Scenario: A job's home is killed while the job runs
    Given a queensland deployment with 3 daemons
    And a team tontine with a key
    When team tontine submits 6 jobs of 4 tasks that take 2 seconds each
    And daemon-2 is killed after each job has ended in part
    Then every job is done within 25 seconds
    And no task of a job was started twice

  Scenario: A caller disconnects in the middle of its request
    Given a queensland deployment with 1 daemons
    And a team tontine with a key
    When 20 callers send an incomplete payout and disconnect
    And team tontine sends 4 payouts to every daemon
    Then every payout is answered completely and ran once
    And nothing else ran
