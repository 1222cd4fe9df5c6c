Feature: A gateway runs as a separate process

  Scenario: A stopping process lets an open stream end and exits without an error
    Given a gateway process with a stand-in store and stand-in upstreams
    When the process gets a stop signal while a stream is open
    Then the stream is complete and the process exits with 0
    And its log records the start, the drain and the stop in this order

  Scenario: A killed process reads the current configuration from the store when it is restarted
    Given a gateway process with a stand-in store and stand-in upstreams
    When the process is killed, the configuration changes and the process is restarted
    Then the process serves requests by the new configuration

  Scenario: Requests are not blocked when nobody reads the log
    Given a gateway process with a stand-in store and stand-in upstreams
    When 400 requests are sent and nobody reads the process's log
    Then all of them are answered with 200

  Scenario: A process that was paused sends no expired request and continues to serve
    Given a gateway process with a stand-in store and stand-in upstreams
    When the process is paused beyond the deadline of a request that it has received
    Then the expired request never runs and the next one runs once

  Scenario Outline: Invalid settings are reported in one line
    Given gateway settings with <fault>
    When the process is started
    Then the process exits with 3 and reports "<text>"

    Examples:
      | fault             | text               |
      | no file           | can't be read      |
      | invalid TOML      | isn't TOML         |
      | a missing field   | nodeName           |
      | a wrong type      | graceS             |
      | a bad address     | HOST:PORT          |
