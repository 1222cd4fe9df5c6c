Feature: An invalid document is refused with an error for every problem

  Scenario Outline: The error for a problem names the file, key, value and allowed range
    Given the trial document
    And the line <line> in table members.<table>
    Then it is refused, naming "<table>", "<shown>" and "<allowed>"

    Examples: numbers and texts
      | table                       | line                   | shown          | allowed               |
      | delta.customers.coop-ke-sach | weight = nan          | nan            | in [0.01, 1000]       |
      | delta.customers.coop-ke-sach | burst = 0             | 0              | in [1, 1e+06]         |
      | delta.customers.coop-ke-sach | burst = "many"        | 'many'         | a whole number        |
      | delta.customers.coop-ke-sach | bursts = 1            | 1              | one of the keys       |
      | delta.customers.coop-ke-sach | quality_target = 1.5  | 1.5            | in [0, 1]             |
      | delta.customers.coop-ke-sach | key_sha256 = "demo"   | (hidden)       | 64 lower-case         |
      | delta.classes.assessment    | kind = "job"           | 'job'          | one of lookup, answer |
      | delta.classes.assessment    | deadline_s = -1        | -1             | in [0.01, 604800]     |
      | delta.classes.assessment    | alarm_before_s = 90000 | 90000          | at most deadline_s    |
      | delta.classes.assessment    | priority = 7           | 7              | one of 0, 1, 2        |
      | delta.classes.sluice-order  | hedge_after_s = 0.1    | 0.1            | 0 for an order        |
      | delta.upstreams.assess-1    | warm_limit = 1         | 1              | at least cold_limit   |
      | delta.upstreams.assess-1    | agent = "can-tho"      | 'can-tho'      | HOST:PORT             |
      | delta.upstreams.assess-1    | agent = "10.0.0.1:0"   | '10.0.0.1:0'   | HOST:PORT             |
      | delta.upstreams.assess-1    | url = "file:///x"      | 'file:///x'    | http or https         |
      | delta.domains.can-tho       | state = "away"         | 'away'         | one of in, out        |
      | delta.policy                | routing = "best"       | 'best'         | one of expected_wait  |

    Examples: references
      | table                       | line                   | shown          | allowed               |
      | delta.upstreams.assess-1    | domain = "sfax-a"      | 'sfax-a'       | a domain of this      |
      | delta.upstreams.assess-1    | serves = ["assess-small@v9"] | v9       | MODEL@VERSION         |
      | delta.upstreams.assess-1    | serves = ["sfax/log-small@v1"] | sfax   | of a usable model     |
      | delta.upstreams.assess-1    | agent = "127.0.0.1:7102" | 7102         | no other upstream     |
      | delta.upstreams.probe-1     | serves = ["assess-small@v1"] | assess   | empty for a plain     |
      | delta.models.assess-small   | current = "v3"         | 'v3'           | a version of this     |
      | delta.models.assess-large   | shared_with = ["oran"] | 'oran'         | another member        |
      | delta.services.sluice-gates | upstreams = ["assess-1"] | 'assess-1'   | a plain upstream      |
      | delta.services.sluice-gates | repeatable = true      | 'sluice-order' | of kind lookup        |
      | delta.services.sluice-gates | class_name = "advice"  | 'advice'       | of kind order         |
      | delta.customers.coop-ke-sach | allowed = ["gpt-*"]   | 'gpt-*'        | a pattern that        |
      | delta.customers.coop-ke-sach | classes = ["chat"]    | 'chat'         | a class of this       |
      | delta.classes.advice        | default_model = "nil"  | 'nil'          | a usable model        |
      | delta.cascades.assess       | steps = ["nil"]        | 'nil'          | a usable model        |
      | delta.cascades.assess       | policy = "any"         | 'any'          | one of quality        |
      | delta.rollouts.assess-small-v2 | version = "v3"      | 'v3'           | a version of the      |
      | delta.rollouts.assess-small-v2 | stages = [0.5, 0.5] | (0.5, 0.5)     | fractions that increase |
      | delta.rollouts.assess-small-v2 | stages = [0.5, 1.1] | (0.5, 1.1)     | within (0, 1]         |
      | delta.rollouts.assess-small-v2 | policy = "dice"     | 'dice'         | one of sequential     |

  Scenario: A key hash that customers of two members have is refused
    Given the trial document
    And customer "sfax/archive" with the key of customer "delta/coop-ke-sach"
    Then it is refused, naming "sfax.customers.archive.key_sha256", "(hidden)" and "no other"

  Scenario: All problems are reported at once
    Given the trial document
    And the line weight = 0 in table members.delta.customers.coop-ke-sach
    And the line kind = "job" in table members.delta.classes.advice
    And the line steps = [] in table members.sfax.cascades.log
    Then 3 problems are reported

  Scenario Outline: A document that is too large, too deeply nested or not valid TOML is refused
    Given a document with <content>
    Then it is refused, naming "", "<shown>" and "<allowed>"

    Examples:
      | content               | shown           | allowed      |
      | a member with a dot   | 'delta.x'       | like         |
      | 9 million bytes       | 9000000 bytes   | at most      |
      | arrays 50000 deep     | nested too deep | documented   |
      | a number of 9000 digits | digits        | TOML         |
      | a table named twice   | twice           | TOML         |
      | no closing quote      | Unterminated            | TOML         |

  Scenario: A section with too many customers is refused
    Given the trial document with 2001 more customers for "delta"
    Then it is refused, naming "members.delta.customers", "2011 entries" and "at most 2000"
