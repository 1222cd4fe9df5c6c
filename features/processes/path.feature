Feature: The whole path as separate processes

  Background:
    Given two entries, four agents, their upstreams and the platform as processes

  Scenario: A caller's requests are answered whole and billed once
    When a chat request is sent to entry 0
    And a streamed chat request is sent to entry 1
    And an order with key "open-1" is sent to entry 0
    And a durable request with key "assess-1" is sent to entry 1
    Then all were answered whole
    And the usage of the member shows 4 requests
    And each process stops by SIGTERM with exit code 0

  Scenario: Bad input costs no upstream work
    Then these requests are refused with their codes at entry 0
      | fault                      | status | code                    |
      | not JSON                   | 400    | bad_json                |
      | no messages                | 400    | bad_request             |
      | unknown model              | 404    | model_not_found         |
      | unknown class              | 400    | unknown_class           |
      | bad deadline               | 400    | bad_deadline            |
      | order without key          | 400    | missing_idempotency_key |
      | service in another class   | 400    | unknown_class           |
      | wrong key                  | 401    | invalid_api_key         |
      | forged session             | 400    | bad_header              |
      | body too large             | 413    | body_too_large          |
      | unknown path               | 404    | not_found               |
    And no upstream has done any work

  Scenario: An idempotency key stands for one request
    When a durable request with key "assess-3" is sent to entry 0
    And the same durable request with key "assess-3" is sent to entry 1
    Then both answers are of one request
    And another durable request with key "assess-3" is refused with code "idempotency_key_reused"

  Scenario: A session keeps its version through the death of its entry
    Given a session that entry 0 opened with version "v1"
    When version "v2" becomes current
    And entry 0 is killed
    Then the session is answered by version "v1" at entry 1
    And a new session is answered by version "v2" at entry 1
    When version "v1" is withdrawn
    Then the session is refused with code "version_withdrawn" and "not_run" at entry 1

  Scenario: A caller that breaks the protocol ends its own connection alone
    When a caller sends data on a closed stream of HTTP/2 to entry 0
    Then a chat request is answered at entry 0
    And entry 0 is still running
