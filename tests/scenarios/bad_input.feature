Feature: Bad input
  Whatever reaches a daemon's ports, it answers with a numbered code or hangs
  up, and goes on with its work.

  Scenario: Garbage at every port
    Given a queensland deployment with 2 daemons
    And a team tontine with a key
    When bytes that are no HTTP reach both ports of daemon-0
    And malformed and oversized bodies reach every path of daemon-0
    And a stranger without the peers' secret calls daemon-0
    And a peer sends daemon-0 messages that are malformed
    Then every body was refused with a numbered code
    And the stranger was turned away
    And team tontine gets an answer from each daemon
    And every process still runs
