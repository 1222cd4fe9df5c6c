Feature: The gateway as a process of its own

  Scenario: A stop lets a stream end and leaves no trace
    Given a gateway process between stand-ins
    When it is told to stop while a stream runs
    Then the stream comes whole and the process exits with 0
    And its log tells start, drain and stop

  Scenario: A killed process comes back with what the store has
    Given a gateway process between stand-ins
    When it is killed, the configuration changes and it is started again
    Then it serves by the new configuration

  Scenario: A log that nobody reads holds no request up
    Given a gateway process between stand-ins
    When 400 requests are sent and nobody reads its log
    Then all of them are answered with 200

  Scenario: A process that was paused serves on and sends nothing late
    Given a gateway process between stand-ins
    When it is paused past the deadline of an order that it has received
    Then the order never runs and the next one runs once

  Scenario Outline: Wrong settings are told in one line
    Given settings of a gateway with <fault>
    When the process is started
    Then it exits with 3 and tells "<text>"

    Examples:
      | fault             | text               |
      | no file           | can't be read      |
      | no TOML           | isn't TOML         |
      | a missing field   | nodeName           |
      | a wrong type      | graceS             |
      | a damaged address | HOST:PORT          |
