Feature: Operators manage their own member through the API

  Background:
    Given an entry with the trial document in force

  Scenario Outline: A call without an operator's key is refused
    When <method> <path> is called with key "<key>"
    Then the answer is 401 with code "invalid_api_key" at step "authenticate"

    Examples:
      | method | path         | key                         |
      | GET    | config       |                             |
      | PUT    | config       | demo-delta-coop-ke-sach     |
      | POST   | config/check | demo-delta-operator         |
      | GET    | usage        | demo-delta-operator-other   |
      | GET    | status       | x                           |
      | PUT    | domains/can-tho | demo-sfax-archive        |
      | POST   | rollouts     |                             |
      | POST   | withdrawals  |                             |

  Scenario: An entry without a configuration is not ready
    Given no document has been put in force
    When GET config is called with key "demo-delta-operator-water-desk"
    Then the answer is 503 with code "not_ready" at step "authenticate"

  Scenario Outline: Bad input gets a coded refusal
    When <method> <path> is called by "delta" with body <body>
    Then the answer is <status> with code "<code>" at step "<step>"
    And nothing was published

    Examples:
      | method | path            | body                                     | status | code           | step         |
      | PUT    | config          | {                                        | 400    | bad_json       | parse        |
      | PUT    | config          | {"base": "x", "document": ""}            | 400    | bad_request    | parse        |
      | PUT    | config          | {"base": 1, "document": "", "x": 1}      | 400    | bad_request    | parse        |
      | PUT    | config          | {"base": 1, "document": "a ="}           | 422    | config_invalid | parse        |
      | PUT    | config          | {"base": 9, "document": ""}              | 409    | conflict       | apply        |
      | PUT    | domains/hanoi   | {"state": "out"}                         | 404    | not_found      | admin        |
      | PUT    | domains/sfax-a  | {"state": "out"}                         | 404    | not_found      | admin        |
      | PUT    | domains/can-tho | {"state": "away"}                        | 400    | bad_request    | parse        |
      | POST   | rollouts        | {"model": "assess-small"}                | 400    | bad_request    | parse        |
      | POST   | rollouts        | {"model": "log-small", "version": "v2"}  | 422    | config_invalid | check        |
      | POST   | withdrawals     | {"version": "sfax/log-small@v1"}         | 403    | forbidden      | edit_document |
      | POST   | withdrawals     | {"version": "assess-small@v9"}           | 404    | not_found      | edit_document |
      | GET    | usage?since=x   | - | 400    | bad_request    | parse        |
      | GET    | usage?since=9&until=8 | - | 400    | bad_request    | parse        |
      | GET    | config/history?n=0 | - | 400    | bad_request    | parse        |

  Scenario: A member sees nothing of a rival
    When "sfax" asks for configuration, history, usage, roll-outs and status
    Then no answer names a customer, an upstream, an operator or a count of "delta"

  Scenario: A change is planned, applied and seen in the history
    When "delta" plans and applies the weight 3.5 for customer "coop-ke-sach"
    Then both tell one change of "members.delta.customers.coop-ke-sach.weight"
    And revision 2 is in force with author "delta/water-desk"

  Scenario: A document that reaches into a rival's section is refused
    When "delta" reaches for customer "archive" of "sfax" with the weight 3.5
    Then the change is refused with code "forbidden"
    And nothing was published

  Scenario: Faults of the own section are all told and name the file
    When "delta" applies the weight -1 for customer "coop-ke-sach"
    Then the change is refused with code "config_invalid"
    And the refusal names "my.toml", "coop-ke-sach.weight" and "in [0.01, 1000]"

  Scenario Outline: Operators' bodies have a limit of their own
    Given callers' bodies are limited to 1000 bytes
    When "delta" applies a document of <size> bytes
    Then the change is refused with code "<code>"

    Examples:
      | size    | code           |
      | 3000000 | config_invalid |
      | 4500000 | config_invalid |
      | 5300000 | body_too_large |

  Scenario: Two operators of a member race
    Given both operators of "delta" have read revision 1
    When the first applies the weight 3.5 and the second the weight 4.5 for "coop-ke-sach"
    Then the second is refused with a conflict that names revision 2

  Scenario: Operators of two members do not hinder each other
    Given "delta" has read revision 1
    When "sfax" changes its section 3 times, once during the publication by "delta"
    And "delta" applies its change
    Then all 4 changes are in force

  Scenario Outline: Domains and withdrawals work while the store is down
    Given the store is <store>
    When "delta" takes "can-tho" out and withdraws "assess-small@v2"
    Then both are accepted by <means>
    And roll-out "assess-small-v2" of the document is <state>

    Examples:
      | store | means    | state     |
      | up    | revision | withdrawn |
      | down  | notice   | running   |

  Scenario: A change during a store outage is refused and says so
    Given the store is down
    When "delta" applies the weight 3.5 for customer "coop-ke-sach"
    Then the change is refused with code "platform_down"
    And the refusal tells when to come back

  Scenario: The client goes on to the next entry and tells lost answers
    Then a client with a dead first address is answered by the second
    And a client with only a dead address is told that nobody answered
    And a client whose answer is lost is told that its change may be in force
