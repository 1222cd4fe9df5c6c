Feature: All settings of a process are validated at once

  Scenario Outline: Valid settings are loaded
    Given valid <role> settings
    When they are loaded
    Then the settings are those of node "<node>"

    Examples:
      | role     | node           |
      | entry    | entry-1        |
      | agent    | agent-assess-1 |
      | platform | platform-1     |

  Scenario: A key is read from its file
    Given valid entry settings
    And a session key in a separate file
    When they are loaded
    Then their session key is that of the file and is not in their repr

  Scenario Outline: The error for a problem names the file, key, value and allowed range
    Given valid <role> settings
    And the line <line> instead of the key <key>
    When they are loaded
    Then the settings are refused, naming "<key>", "<shown>" and "<allowed>"

    Examples:
      | role     | key                | line                          | shown     | allowed                  |
      | entry    | http.port          | http.port = 70000             | 70000     | in [0, 65535]            |
      | entry    | http.port          | http.port = "web"             | 'web'     | a whole number           |
      | entry    | http.prot          | http.prot = 80                | 80        | one of the keys host     |
      | entry    | node_id            | node_id = "Node 1"            | Node 1    | text like                |
      | entry    | node_id            |                               | (missing) | present                  |
      | entry    | domain             | domain = "can-tho"            | can-tho   | text like                |
      | entry    | platform.url       | platform.url = "ftp://x"      | ftp://x   | http or https            |
      | entry    | platform.timeout_s | platform.timeout_s = nan      | nan       | in [0.01, 60] seconds    |
      | entry    | peers              | peers = ["127.0.0.1"]         | 127.0.0.1 | HOST:PORT                |
      | entry    | internal_key       | internal_key = "short-secret" | (hidden)  | at least 16              |
      | entry    | internal_key       |                               | (hidden)  | set, or                  |
      | entry    | session_key        | session_key_file = "gone.key" | gone.key  | readable file            |
      | entry    | tls                | tls.cert = "setup.cfg"        | one of    | both cert and key        |
      | entry    | log.format         | log.format = "xml"            | xml       | one of text, json        |
      | entry    | config_poll_s      | config_poll_s = 60            | 60        | in [0.05, 5] seconds     |
      | agent    | upstream_url       | upstream_url = "127.0.0.1:1"  | 127.0.0.1 | http or https            |
      | agent    | upstream_id        | upstream_id = "assess-1"      | assess-1  | text like                |
      | agent    | entries            | entries = []                  | ()        | at least one address     |
      | agent    | role               | role = "entry"                | entry     | agent                    |
      | platform | seed               | seed = -1                     | -1        | in [0,                   |

  Scenario: All problems are reported at once and no secret key is shown
    Given valid entry settings
    And the line http.port = -1 instead of the key http.port
    And the line internal_key = "short-secret" instead of the key internal_key
    And the line unknown_thing = 1 instead of the key region
    When they are loaded
    Then 4 problems are reported and none contains "short-secret"

  Scenario: A file that is not valid TOML is refused
    Given settings with the text "role ="
    When they are loaded
    Then the settings are refused, naming "file", "Invalid value" and "TOML"
