Feature: The complete request path through separate processes

  Background:
    Given a cluster of two entries, four agents, their upstreams and the platform as separate processes

  Scenario: A caller's requests are answered completely and billed once
    When a chat request is sent to entry 0
    And a streamed chat request is sent to entry 1
    And an order with key "open-1" is sent to entry 0
    And a durable request with key "assess-1" is sent to entry 1
    Then all were answered completely
    And the member's usage counts 4 requests
    And each entry and agent exits with code 0 after SIGTERM

  Scenario: Invalid requests are refused without any upstream work
    Then entry 0 refuses these faulty requests with the given status and code
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

  Scenario: An idempotency key identifies one request
    When a durable request with key "assess-3" is sent to entry 0
    And the same durable request with key "assess-3" is sent to entry 1
    Then both responses have the same request id
    And a different durable request with key "assess-3" is refused with code "idempotency_key_reused"

  Scenario: A session keeps its version when its entry is killed
    Given a session that entry 0 opened with version "v1"
    When version "v2" becomes current
    And entry 0 is killed
    Then the session is answered by version "v1" at entry 1
    And a new session is answered by version "v2" at entry 1
    When version "v1" is withdrawn
    Then the session is refused with code "version_withdrawn" and execution status "not_run" at entry 1

  Scenario: A protocol violation closes only the connection of the caller that commits it
    When a caller sends data on a closed HTTP/2 stream to entry 0
    Then a chat request is answered at entry 0
    And entry 0 is still running
