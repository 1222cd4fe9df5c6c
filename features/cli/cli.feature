Feature: The command line offers what the operators' API offers

  Background:
    Given an entry of the trial environment and one of production

  Scenario Outline: A command prints its result as text or as JSON
    When "<command>" is run by "delta"
    Then it exits with OK and prints "<text>"
    And with --json it prints a JSON document with "<key>"

    Examples:
      | command                                       | text                        | key          |
      | config check crocusvalve/demo/trial.toml              | delta: 10 customers         | environment  |
      | config diff crocusvalve/demo/trial.toml               | no changes                  | revision     |
      | config diff crocusvalve/demo/trial.toml examples/production.toml | 60.0 -> 1800.0   | path         |
      | config show                                   | [members.delta.models       | document     |
      | config history --n 3                          | REVISION                    | entries      |
      | domain out can-tho                            | can-tho is out by revision  | by_notice    |
      | domain in can-tho                             | can-tho is in by revision   | revision     |
      | rollout status                                | delta/assess-small@v2       | rollouts     |
      | rollout start assess-small v2 --stages 0.5 --stages 1 | roll-out assess-small-v2 has started | revision |
      | rollout withdraw assess-small@v2              | is withdrawn by revision    | revision     |
      | usage --since 2026-01-01 --until 2026-02-01   | 2026-01-01T00:00:00Z        | entries      |
      | status                                        | 1/16                        | upstreams    |
      | key new                                       | key_sha256:                 | sha256       |

  Scenario Outline: The exit code distinguishes the kinds of failure
    Given the store is <store>
    When "<command>" is run by "<member>"
    Then it exits with <exit> and the error text contains "<text>"
    And with --json it prints a JSON document with "error"

    Examples:
      | store | member | command                                   | exit        | text              |
      | up    | delta  | status --timeout-s -1                     | USAGE       | (0, 600] seconds  |
      | up    | delta  | usage --since soon                        | USAGE       | ISO 8601          |
      | up    | delta  | config check Makefile                     | INVALID     | must be TOML      |
      | up    | delta  | config check gone.toml                    | INVALID     | readable          |
      | up    | delta  | settings check crocusvalve/demo/trial.toml        | INVALID     | one of entry      |
      | up    | delta  | domain out hanoi                          | INVALID     | no failure domain |
      | up    | delta  | rollout start log-small v2                | INVALID     | a model of this   |
      | up    | delta  | config apply crocusvalve/demo/trial.toml --base 7 | CONFLICT    | newest is 1       |
      | up    | delta  | rollout withdraw sfax/log-small@v1        | FORBIDDEN   | another member    |
      | up    | nobody | status                                    | FORBIDDEN   | invalid_api_key   |
      | up    | delta  | status --url http://127.0.0.1:9           | UNREACHABLE | no entry          |
      | down  | delta  | rollout start assess-small v2 --stages 0.7 | REFUSED    | platform_down     |

  Scenario Outline: A wrong command or argument is a usage error
    When "<command>" is run by "delta"
    Then it exits with USAGE

    Examples:
      | command            |
      | nothing            |
      | config check       |
      | domain out         |
      | status --port x    |
      | config apply a b c |

  Scenario Outline: Help ends with an example
    When "<command> --help" is run by "delta"
    Then it exits with OK and prints "crocusvalve <example>"

    Examples:
      | command         | example                    |
      | config check    | config check examples      |
      | config apply    | config apply trial.toml    |
      | config promote  | config promote --url       |
      | domain out      | domain out can-tho         |
      | rollout start   | rollout start assess-small |
      | settings check  | settings check entry.toml  |
      | entry           | entry entry.toml           |
      | standin engine  | standin engine delta       |
      | explain         | explain 9f9bc7df040f74cc   |

  Scenario: A shown document is edited and applied, and an outdated copy is a conflict
    Given the output of "config show" for "delta" is saved to two files
    When "sfax" changes its section in the meantime
    And the first file is applied with another weight
    Then it exits with OK and prints "in force as revision 3"
    When the second file is applied with another weight
    Then it exits with CONFLICT and the error text contains "newest is 3"

  Scenario: A dangerous change needs confirmation
    Given the output of "config show" for "delta" is saved to two files
    When the first file is applied with a failure domain taken out of service
    Then it exits with INVALID and the error text contains "confirm with --yes"
    When the first file is applied with a failure domain taken out of service and --yes
    Then it exits with OK and prints "warning: this domain takes no new work"

  Scenario: A section is promoted from trial to production
    When the section of "delta" is promoted with --dry-run
    Then it exits with OK and prints "would change at revision 1"
    When the section of "delta" is promoted with --yes
    Then it exits with OK and prints "stage_s: 1800.0 -> 60.0"
    And only the section of "delta" has changed in production

  Scenario Outline: A process stops gracefully on a signal
    Given a process that runs a role until it gets a signal
    When it gets <signal>
    Then the role drains and the process exits 0

    Examples:
      | signal  |
      | SIGTERM |
      | SIGINT  |
