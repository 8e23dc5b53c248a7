Feature: Bad input
  A daemon answers invalid input with a result code or closes the connection,
  and continues to serve valid requests.

  Scenario: Invalid input on every port
    Given a queensland deployment with 2 daemons
    And a team tontine with a key
    When bytes that are not HTTP are sent to both ports of daemon-0
    And malformed and oversized bodies are posted to every path of daemon-0
    And a client without the peer secret connects to daemon-0
    And a peer sends malformed messages to daemon-0
    Then every body was refused with a result code
    And the client without the secret was rejected
    And team tontine gets an answer from each daemon
    And every process is still running
